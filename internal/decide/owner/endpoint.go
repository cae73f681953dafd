package owner

import (
	"math"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// hold says what this owner knows of its right to an endpoint.
type hold int

const (
	// unseen: no look under the present fence has succeeded.
	unseen hold = iota
	// held: the endpoint obeys the present fence.
	held
	// foreign: the endpoint obeys a higher fence.
	foreign
)

// runID names a run on an endpoint.
type runID struct {
	key job.Key
	run int
}

// endpoint is the state of one endpoint.
type endpoint struct {
	Endpoint
	// missingFrom is when the list stopped naming the endpoint, else zero.
	missingFrom time.Time
	hold        hold
	// fence is what calls to the endpoint carry. It rises by climb epochs, twice
	// as many each time, while the endpoint has seen a higher one.
	fence Fence
	climb uint64
	// clock is the newest reading of the endpoint's clock, read at clockAt at
	// the latest.
	clock   Moment
	clockAt time.Time
	// until is the latest lease end that was sent.
	until        Moment
	seenBorn     int64
	acknowledged int64
	runs         []*run
	used         job.Room
	// unclaimed counts the runs whose room is unknown.
	unclaimed int
	// look is the number of the look in flight, or zero.
	look uint64
	// probe is set while that look counts among the pool's probes.
	probe    bool
	nextLook time.Time
	failures int
	// owned is set once the endpoint has obeyed the present fence.
	owned bool
	// claimBy is when runs that no home has claimed are to end, or zero.
	claimBy time.Time
	// seenAt is when the newest look that succeeded was sent.
	seenAt time.Time
	// unsteadyUntil is how long looks are short, since answers get lost.
	unsteadyUntil time.Time
	// restUntil is when the endpoint may start tasks again.
	restUntil time.Time
	speed     speed
	// like is what is known of like endpoints, once it was asked for.
	like   *speed
	health health
}

// find returns a run on the endpoint, or nil.
func (e *endpoint) find(id runID) *run {
	for _, r := range e.runs {
		if r.id == id {
			return r
		}
	}
	return nil
}

// free returns the room that is left.
func (e *endpoint) free() job.Room { return e.Room.Minus(e.used) }

// seenTime is how long a look vouches for an endpoint. It exceeds the wait of
// any look.
const seenTime = 1500 * time.Millisecond

// usable reports whether the endpoint may start tasks now.
func (e *endpoint) usable(now time.Time, missingWait time.Duration) bool {
	return e.hold == held && !e.Draining && e.failures == 0 && e.unclaimed == 0 &&
		e.Born == e.seenBorn && now.Sub(e.seenAt) <= seenTime && !now.Before(e.restUntil) &&
		(e.missingFrom.IsZero() || now.Sub(e.missingFrom) < missingWait)
}

// onTrial reports whether the endpoint runs the single task that it may run
// after a rest.
func (e *endpoint) onTrial() bool { return e.health.trial && len(e.runs) > 0 }

// read takes a reading of the endpoint's clock that arrived now.
func (e *endpoint) read(now time.Time, clock Moment) {
	if clock > e.clock {
		e.clock, e.clockAt = clock, now
	}
}

// leaseEnd returns the lease end to ask for, on the endpoint's clock. An
// endpoint shortens a longer lease to the longest that it grants.
func (e *endpoint) leaseEnd(now time.Time, lease time.Duration) Moment {
	if e.unclaimed > 0 {
		// Homes of these runs may have started their tasks elsewhere by then.
		lease = min(lease, e.claimBy.Sub(now))
	}
	until := e.clock + Moment((now.Sub(e.clockAt) + lease).Milliseconds())
	e.until = max(e.until, until)
	return e.until
}

// lapsed reports whether everything that this owner ever leased on the endpoint
// has surely ended, even when the endpoint's clock is slow. Another owner may
// have taken it over and kept runs for as long as it waits for their homes.
func (e *endpoint) lapsed(now time.Time, cfg *Config) bool {
	if e.until == 0 {
		return true
	}
	left := time.Duration(float64(e.until-e.clock)/(1-cfg.ClockError)) * time.Millisecond
	return now.Sub(e.clockAt) > left+cfg.AdoptWait+claimMargin+lapseMargin
}

const (
	// lapseMargin covers the time in which an endpoint ends what has lapsed.
	lapseMargin = 60 * time.Millisecond
	// claimMargin covers the time in which a run that no home has claimed is
	// stopped.
	claimMargin = 100 * time.Millisecond
)

// speed learns how long an endpoint takes for tasks against their estimates.
type speed struct {
	ratio  float64
	weight float64
}

const (
	// speedWeight is the share of the newest run in the learned ratio.
	speedWeight = 0.08
	// speedFull is the number of runs from which on an endpoint's own ratio
	// counts alone.
	speedFull = 8
)

// over returns the learned ratio, where few runs are known together with that of
// like endpoints.
func (s *speed) over(like *speed) float64 {
	if s.weight >= speedFull || like == nil {
		return s.ratio
	}
	own := s.weight / speedFull
	return own*s.ratio + (1-own)*like.ratio
}

// learn takes the ratio of a run's time to its estimate.
func (s *speed) learn(ratio float64) {
	ratio = math.Min(math.Max(ratio, 0.1), 20)
	s.weight++
	share := math.Max(speedWeight, 1/s.weight)
	s.ratio += share * (ratio - s.ratio)
}

// likeness names the endpoints that are likely to be equally fast.
type likeness struct {
	dataCentre ident.DataCentre
	kind       string
}

// likeSpeed returns what is known of endpoints like e.
func (p *Pool) likeSpeed(e *endpoint) *speed {
	if e.like == nil {
		k := likeness{dataCentre: e.DataCentre, kind: e.Kind}
		if p.speeds[k] == nil {
			p.speeds[k] = &speed{ratio: 1}
		}
		e.like = p.speeds[k]
	}
	return e.like
}

// health counts failures in a row and the rests that they caused.
type health struct {
	failed int
	rests  int
	// trial allows a single task after a rest.
	trial bool
}

// failuresToRest is the number of failures in a row after which an endpoint
// rests. Single failures are mostly the fault of a task.
const failuresToRest = 2

func (h *health) succeed() { *h = health{} }

// fail takes a failed run and returns how long the endpoint rests.
func (h *health) fail(cfg *Config) time.Duration {
	h.failed++
	if h.failed < failuresToRest && !h.trial {
		return 0
	}
	h.rests++
	h.trial = true
	d := cfg.Cooldown << min(h.rests-1, 8)
	return min(d, cfg.CooldownMax)
}

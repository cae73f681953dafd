package owner

import (
	"math"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// ownership says what this owner knows about its ownership of an endpoint. It
// owns the endpoints that Pool.owns selects, and holds those of them that have
// accepted its fence and answer its polls.
type ownership int

const (
	// ownershipUnknown: the endpoint has not accepted the current fence yet, or
	// has since failed a poll, restarted or no longer been selected by
	// Pool.owns, so that another owner may hold it.
	ownershipUnknown ownership = iota
	// ownershipHeld: the endpoint has accepted the current fence, and no poll
	// has failed since.
	ownershipHeld
	// ownershipForeign: the endpoint has seen a higher fence of another owner.
	ownershipForeign
)

// runID identifies a run on an endpoint.
type runID struct {
	key job.Key
	run int
}

// endpoint is the state of one endpoint.
type endpoint struct {
	Endpoint
	// missingSince is when the endpoint disappeared from the list, or zero
	// while it is listed.
	missingSince time.Time
	ownership    ownership
	// fence is sent with calls to the endpoint. If the endpoint has seen a
	// higher fence, or has restarted, this one is raised by fenceStep epochs.
	// fenceStep doubles with each raise until a poll succeeds.
	fence     Fence
	fenceStep uint64
	// outbidding is set while the fence was raised above that of another owner
	// and no poll has been accepted with it. acquiredAt is when one last was.
	outbidding bool
	acquiredAt time.Time
	// clock is the latest reading of the endpoint's clock, which arrived at
	// clockReadAt.
	clock       EndpointTime
	clockReadAt time.Time
	// leaseUntil is the latest lease end that this owner, or another one before
	// it, can have requested.
	leaseUntil EndpointTime
	// lastIncarnation is the Incarnation as of the latest poll.
	lastIncarnation int64
	// acknowledged is the number of the latest end that was handled.
	acknowledged int64
	runs         []*run
	usedRoom     job.Room
	// unclaimed counts the runs that no home has claimed. Their room is
	// unknown.
	unclaimed int
	// pollCall is the number of the poll in flight, or zero. Polls of sweeps
	// and other immediate polls do not count.
	pollCall uint64
	// pollIsProbe is set while that poll counts towards the pool's
	// probesInFlight.
	pollIsProbe bool
	nextPoll    time.Time
	// pollFailures counts the failed polls in a row.
	pollFailures int
	// fenceAccepted is set once the endpoint has accepted a fence of this
	// owner. Unlike ownershipHeld, it stays set while polls fail and after a
	// restart. It is cleared when polls of a held endpoint end because
	// Pool.owns no longer selects it, and by Reclaim.
	fenceAccepted bool
	// claimDeadline is when runs that no home has claimed must end, or zero.
	claimDeadline time.Time
	// polledAt is when the latest successful poll was sent.
	polledAt time.Time
	// unreliableUntil is the end of the period of short poll waits after a lost
	// answer.
	unreliableUntil time.Time
	// cooldownUntil is when the endpoint may start tasks again after failures.
	cooldownUntil time.Time
	slowdown      slowdown
	// groupSlowdown is the learned slowdown of the endpoint's group, or nil
	// until it is first needed.
	groupSlowdown *slowdown
	health        health
	// outageAt is when a poll first failed since the last one that was answered,
	// and refused is set once a connection was refused since. crashNoted is set
	// once the crash was counted for the runs.
	outageAt   time.Time
	refused    bool
	crashNoted bool
	// suspect is the task that the endpoint is set apart for, or nil.
	suspect *task
}

// findRun returns a run on the endpoint, or nil.
func (e *endpoint) findRun(id runID) *run {
	for _, r := range e.runs {
		if r.id == id {
			return r
		}
	}
	return nil
}

// free returns the room that is left.
func (e *endpoint) free() job.Room { return e.Room.Sub(e.usedRoom) }

// pollValidity is how long an endpoint stays usable after a successful poll. It
// exceeds the wait of any poll.
const pollValidity = 1500 * time.Millisecond

// usable reports whether the state of the endpoint allows it to start tasks. It
// does not consider its free room; see Pool.canStart.
func (e *endpoint) usable(now time.Time, missingGrace time.Duration) bool {
	return e.ownership == ownershipHeld && !e.Draining && e.pollFailures == 0 && e.unclaimed == 0 &&
		e.Incarnation == e.lastIncarnation && now.Sub(e.polledAt) <= pollValidity && !now.Before(e.cooldownUntil) &&
		!e.outbidding &&
		(e.missingSince.IsZero() || now.Sub(e.missingSince) < missingGrace)
}

// unreachableFailures is the number of failed polls in a row from which on an
// endpoint counts as unreachable. Retries of refused connections reach it within
// about 0.2 s, so that a lost answer or a short cut does not.
const unreachableFailures = 4

// unreachable reports whether the endpoint has failed to answer for some time.
func (e *endpoint) unreachable() bool { return e.pollFailures >= unreachableFailures }

// probationBusy reports whether the endpoint already has the single run that it
// may have after a cooldown.
func (e *endpoint) probationBusy() bool { return e.health.probation && len(e.runs) > 0 }

// updateClock records a reading of the endpoint's clock that arrived now.
func (e *endpoint) updateClock(now time.Time, clock EndpointTime) {
	if clock > e.clock {
		e.clock, e.clockReadAt = clock, now
	}
}

// extendLease returns the lease end to request, on the endpoint's clock, and
// records it in leaseUntil. An endpoint shortens a lease that exceeds the
// longest one it grants, and ignores one that ends before an earlier one.
func (e *endpoint) extendLease(now time.Time, lease time.Duration) EndpointTime {
	if e.unclaimed > 0 {
		// After the claim deadline, the homes of these runs may have placed
		// their tasks again, so that they run elsewhere.
		lease = min(lease, e.claimDeadline.Sub(now))
	}
	leaseUntil := e.clock + EndpointTime((now.Sub(e.clockReadAt) + lease).Milliseconds())
	e.leaseUntil = max(e.leaseUntil, leaseUntil)
	return leaseUntil
}

// leaseExpired reports whether all leases that this owner, and those before it,
// requested on the endpoint have certainly expired, even if the endpoint's clock
// is slow. It allows for another owner that has acquired the endpoint since and
// keeps its runs until their homes had time to claim them.
func (e *endpoint) leaseExpired(now time.Time, cfg *Config) bool {
	if e.leaseUntil == 0 {
		return true
	}
	remaining := time.Duration(float64(e.leaseUntil-e.clock)/(1-cfg.ClockError)) * time.Millisecond
	return now.Sub(e.clockReadAt) > remaining+cfg.ClaimGrace+claimMargin+expiryMargin
}

const (
	// expiryMargin covers the time that an endpoint takes to end runs whose
	// lease has expired.
	expiryMargin = 60 * time.Millisecond
	// claimMargin covers the time that it takes to stop an unclaimed run.
	claimMargin = 100 * time.Millisecond
)

// slowdown is the learned ratio of run time to estimate, which is higher for
// slower endpoints. weight is the number of runs that it is based on.
type slowdown struct {
	ratio  float64
	weight float64
}

const (
	// minRatioShare is the minimum weight of the latest run in the moving
	// average of ratios.
	minRatioShare = 0.08
	// ownRatioRuns is the number of runs from which on only an endpoint's own
	// ratio counts.
	ownRatioRuns = 8
)

// blendedRatio returns the learned ratio. If it is based on few runs, it is
// blended with the ratio of the endpoint's group.
func (s *slowdown) blendedRatio(group *slowdown) float64 {
	if s.weight >= ownRatioRuns || group == nil {
		return s.ratio
	}
	ownShare := s.weight / ownRatioRuns
	return ownShare*s.ratio + (1-ownShare)*group.ratio
}

// recordRatio adds the ratio of a run's time to its estimate.
func (s *slowdown) recordRatio(ratio float64) {
	ratio = math.Min(math.Max(ratio, 0.1), 20)
	s.weight++
	share := math.Max(minRatioShare, 1/s.weight)
	s.ratio += share * (ratio - s.ratio)
}

// speedGroup identifies endpoints that are likely to be equally fast.
type speedGroup struct {
	dataCentre ident.DataCentre
	kind       string
}

// slowdownOfGroup returns the learned slowdown of the endpoint's group.
func (p *Pool) slowdownOfGroup(e *endpoint) *slowdown {
	if e.groupSlowdown == nil {
		group := speedGroup{dataCentre: e.DataCentre, kind: e.Kind}
		if p.groupSlowdowns[group] == nil {
			p.groupSlowdowns[group] = &slowdown{ratio: 1}
		}
		e.groupSlowdown = p.groupSlowdowns[group]
	}
	return e.groupSlowdown
}

// health counts the failures in a row and the cooldowns that they caused.
type health struct {
	failuresInRow int
	cooldowns     int
	// probation limits the endpoint to a single run at a time after a cooldown,
	// until a run is done. A refused start that leads to a cooldown sets it as
	// well, without counting as a failure.
	probation bool
}

// cooldownFailures is the number of failures in a row that lead to a cooldown.
// Single failures are mostly the fault of a task.
const cooldownFailures = 2

func (h *health) clearFailures() { *h = health{} }

// countFailure records a failed run and returns the cooldown of the endpoint,
// or zero.
func (h *health) countFailure(cfg *Config) time.Duration {
	h.failuresInRow++
	if h.failuresInRow < cooldownFailures && !h.probation {
		return 0
	}
	h.cooldowns++
	h.probation = true
	cooldown := cfg.Cooldown << min(h.cooldowns-1, 8)
	return min(cooldown, cfg.CooldownMax)
}

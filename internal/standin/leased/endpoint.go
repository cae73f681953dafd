// Package leased stands in for endpoints that have room and run tasks under
// leases. An Endpoint is a state machine: its caller passes in the time, which
// may be simulated.
package leased

import (
	"cmp"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// Work says how long a task runs and whether it fails then.
type Work struct {
	Time  time.Duration
	Fails bool
}

// run is something that runs.
type run struct {
	key  job.Key
	run  int
	from time.Time
	ends time.Time
	work Work
}

// Endpoint is the state of one endpoint. It obeys the highest fence that it has
// seen, and starts whatever its owner tells it to.
type Endpoint struct {
	Entry owner.Endpoint
	// Plan returns the work of a task.
	Plan func(key job.Key) Work
	// Needs returns the room that a task takes.
	Needs func(key job.Key) job.Room
	// LeaseMax is the longest lease, and Rate the speed of its clock against
	// real time.
	LeaseMax time.Duration
	Rate     float64
	// OnStart and OnEnd observe the runs.
	OnStart func(now time.Time, key job.Key, run int)
	OnEnd   func(now time.Time, key job.Key, run int, how owner.How)

	born    time.Time
	fence   owner.Fence
	until   owner.Moment
	runs    []run
	ended   []owner.Ended
	number  int64
	highest map[job.Key]int
}

// Boot begins a new life, which runs nothing and has seen no fence.
func (e *Endpoint) Boot(now time.Time) {
	for _, r := range e.runs {
		e.observe(now, r, owner.EndOther)
	}
	e.born = now
	e.Entry.Born = now.UnixMilli()
	e.fence, e.until, e.runs, e.ended, e.number = 0, 0, nil, nil, 0
	e.highest = map[job.Key]int{}
}

// clock returns the time on the endpoint's own clock.
func (e *Endpoint) clock(now time.Time) owner.Moment {
	return owner.Moment(float64(now.Sub(e.born).Microseconds())*e.Rate/1000) + 1000
}

// Advance ends what is due by now.
func (e *Endpoint) Advance(now time.Time) {
	if len(e.runs) > 0 && e.clock(now) > e.until {
		for len(e.runs) > 0 {
			e.end(now, 0, owner.EndLapsed)
		}
	}
	for i := 0; i < len(e.runs); i++ {
		if !e.runs[i].ends.After(now) {
			how := owner.EndDone
			if e.runs[i].work.Fails {
				how = owner.EndFailed
			}
			e.end(now, i, how)
			i--
		}
	}
}

// Next returns when Advance is due next, or the zero time.
func (e *Endpoint) Next(now time.Time) time.Time {
	var next time.Time
	if len(e.runs) == 0 {
		return next
	}
	next = now.Add(time.Duration(float64(e.until-e.clock(now)+1)/e.Rate*1000) * time.Microsecond)
	for _, r := range e.runs {
		if r.ends.Before(next) {
			next = r.ends
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

func (e *Endpoint) observe(now time.Time, r run, how owner.How) {
	if e.OnEnd != nil {
		e.OnEnd(now, r.key, r.run, how)
	}
}

func (e *Endpoint) end(now time.Time, i int, how owner.How) {
	r := e.runs[i]
	e.runs = slices.Delete(e.runs, i, i+1)
	e.number++
	e.ended = append(e.ended, owner.Ended{Number: e.number, Key: r.key, Run: r.run, How: how})
	e.highest[r.key] = max(e.highest[r.key], r.run)
	e.observe(now, r, how)
}

// Ended reports whether ends wait to be acknowledged.
func (e *Endpoint) Ended() bool { return len(e.ended) > 0 }

// Running returns the keys of what runs.
func (e *Endpoint) Running() []job.Key {
	keys := make([]job.Key, len(e.runs))
	for i, r := range e.runs {
		keys[i] = r.key
	}
	return keys
}

// Used returns the room that the runs take.
func (e *Endpoint) Used() job.Room {
	var used job.Room
	for _, r := range e.runs {
		used = used.Plus(e.Needs(r.key))
	}
	return used
}

// obey takes a fence, and reports false when a higher one was seen.
func (e *Endpoint) obey(f owner.Fence) bool {
	if f < e.fence {
		return false
	}
	e.fence = f
	return true
}

// extend prolongs the lease, at most to the longest that is granted.
func (e *Endpoint) extend(now time.Time, until owner.Moment) {
	longest := e.clock(now) + owner.Moment(e.LeaseMax.Milliseconds())
	e.until = max(e.until, min(until, longest))
}

// Start starts a run.
func (e *Endpoint) Start(now time.Time, s owner.Start) owner.Answered {
	e.Advance(now)
	a := owner.Answered{Call: s.Number, Clock: e.clock(now)}
	switch {
	case !e.obey(s.Fence):
		a.Reply = owner.Fenced
	case s.Until <= a.Clock:
		a.Reply = owner.Late
	case slices.ContainsFunc(e.runs, func(r run) bool { return r.key == s.Key && r.run == s.Run }):
		e.extend(now, s.Until)
	case s.Run <= e.highest[s.Key]:
		e.extend(now, s.Until)
		a.Reply = owner.OldRun
	default:
		e.extend(now, s.Until)
		w := e.Plan(s.Key)
		e.runs = append(e.runs, run{key: s.Key, run: s.Run, from: now, ends: now.Add(w.Time), work: w})
		if e.OnStart != nil {
			e.OnStart(now, s.Key, s.Run)
		}
	}
	return a
}

// Stop stops a run, or prevents its start.
func (e *Endpoint) Stop(now time.Time, s owner.Stop) owner.Answered {
	e.Advance(now)
	a := owner.Answered{Call: s.Number, Clock: e.clock(now)}
	if !e.obey(s.Fence) {
		a.Reply = owner.Fenced
		return a
	}
	for i := range e.runs {
		if e.runs[i].key == s.Key && e.runs[i].run <= s.Run {
			e.end(now, i, owner.EndStopped)
			break
		}
	}
	e.highest[s.Key] = max(e.highest[s.Key], s.Run)
	return a
}

// Look renews the lease and returns the lists. The caller waits for an end
// first.
func (e *Endpoint) Look(now time.Time, l owner.Look) owner.Looked {
	e.Advance(now)
	out := owner.Looked{Call: l.Number, Clock: e.clock(now), Born: e.Entry.Born}
	if !e.obey(l.Fence) {
		out.Reply = owner.Fenced
		return out
	}
	if l.Until > 0 {
		e.extend(now, l.Until)
	}
	e.ended = slices.DeleteFunc(e.ended, func(end owner.Ended) bool { return end.Number <= l.Acknowledged })
	return e.lists(now, out)
}

// Lists returns the lists for a look that has waited.
func (e *Endpoint) Lists(now time.Time, l owner.Look) owner.Looked {
	e.Advance(now)
	return e.lists(now, owner.Looked{Call: l.Number, Clock: e.clock(now), Born: e.Entry.Born})
}

func (e *Endpoint) lists(now time.Time, out owner.Looked) owner.Looked {
	for _, r := range e.runs {
		percent := int(100 * now.Sub(r.from) / max(1, r.ends.Sub(r.from)))
		out.Running = append(out.Running, owner.Running{Key: r.key, Run: r.run, Percent: percent})
	}
	out.Ended = slices.Clone(e.ended)
	slices.SortFunc(out.Ended, func(a, b owner.Ended) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

package owner

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// A suspect is a waiting task that was on an endpoint that crashed. It runs
// alone on an endpoint, so that another crash costs no other task and shows its
// cause. Few suspects run at a time, as each may cost an endpoint.

// suspectPart is the part of the endpoints, as 1/suspectPart, that may be set
// apart for suspects, beside a first one.
const suspectPart = 64

// addSuspect records that a waiting task is a suspect.
func (p *Pool) addSuspect(t *task) {
	t.suspect = true
	if !t.listedAsSuspect {
		t.listedAsSuspect = true
		p.suspects = append(p.suspects, t)
	}
}

// startSuspects starts suspects on endpoints that are set apart for them and
// have no runs left. It does not start those that can no longer end in time, and
// gives up those of them that have run.
func (p *Pool) startSuspects(now time.Time) {
	p.suspects = slices.DeleteFunc(p.suspects, func(t *task) bool {
		t.listedAsSuspect = t.queued
		return !t.queued
	})
	p.releaseApart(now)
	if len(p.suspects) == 0 || now.Before(p.pausedUntil) {
		return
	}
	slices.SortStableFunc(p.suspects, func(a, b *task) int {
		return cmp.Or(boolCompare(a.startedLast, b.startedLast), a.batch.deadline.Compare(b.batch.deadline))
	})
	polledSince := sync.OnceValue(p.allPolledSince)
	for _, t := range slices.Clone(p.suspects) {
		if now.Add(t.batch.needs.Estimate).After(t.batch.deadline) {
			if t.mayHaveRun {
				p.giveUp(now, t)
			}
			continue
		}
		if !p.safeToStart(now, polledSince, t) || len(p.runsByTask[t.key]) > 0 {
			continue
		}
		if e := p.endpointApart(now, t); e != nil && len(e.runs) == 0 && p.window.Free(p.startsInFlight) > 0 {
			p.reserveRun(now, t, e)
			p.sendStart(now, t)
		}
	}
	p.releaseApart(now)
}

// boolCompare orders false before true.
func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// releaseApart frees the endpoints whose suspect has ended, has another run, or
// cannot run there.
func (p *Pool) releaseApart(now time.Time) {
	p.apart = slices.DeleteFunc(p.apart, func(e *endpoint) bool {
		t := e.suspect
		keep := p.mayUse(now, e) && ((t.queued && p.couldRun(t.batch, e)) || (t.run != nil && t.run.endpoint == e))
		if !keep {
			e.suspect = nil
		}
		return !keep
	})
}

// endpointApart returns the endpoint that is set apart for the suspect. It sets
// one apart if there are not too many: the one where the task is expected to end
// first.
func (p *Pool) endpointApart(now time.Time, t *task) *endpoint {
	if i := slices.IndexFunc(p.apart, func(e *endpoint) bool { return e.suspect == t }); i >= 0 {
		return p.apart[i]
	}
	if len(p.apart) >= 1+len(p.sortedEndpoints)/suspectPart {
		return nil
	}
	var best *endpoint
	var bestTime time.Duration
	for _, e := range p.sortedEndpoints {
		if e.suspect != nil || e.probationBusy() || !p.mayUse(now, e) || !p.couldRun(t.batch, e) || p.conflicts(now, t.batch, e) {
			continue
		}
		if took := p.timeToEmpty(now, e) + p.expectedTime(t.batch, e); best == nil || took < bestTime {
			best, bestTime = e, took
		}
	}
	if best != nil {
		best.suspect = t
		p.apart = append(p.apart, best)
	}
	return best
}

// couldRun reports whether a task of the batch may run on the endpoint once
// nothing else does.
func (p *Pool) couldRun(b *batch, e *endpoint) bool {
	return p.suits(b, e) && b.needs.Room.Fits(e.Room)
}

// timeToEmpty returns how long the runs of the endpoint are expected to go on.
func (p *Pool) timeToEmpty(now time.Time, e *endpoint) time.Duration {
	var longest time.Duration
	for _, r := range e.runs {
		if r.task != nil {
			longest = max(longest, p.expectedTime(r.task.batch, e)-now.Sub(r.knownSince))
		}
	}
	return longest
}

// expectedTime returns how long a task of the batch is expected to run on the
// endpoint.
func (p *Pool) expectedTime(b *batch, e *endpoint) time.Duration {
	expected := float64(b.needs.Estimate) * e.slowdown.blendedRatio(p.slowdownOfGroup(e))
	if p.remote(b, e) {
		expected *= p.cfg.RemoteFactor
	}
	return time.Duration(expected)
}

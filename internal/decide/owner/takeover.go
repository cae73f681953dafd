package owner

import "time"

// unpolled returns the number of known endpoints that have not been polled since
// the pool became active.
func (p *Pool) unpolled() int {
	n := 0
	for _, e := range p.sortedEndpoints {
		if e.polledAt.Before(p.activatedAt) {
			n++
		}
	}
	return n
}

// reportTakeover emits a TakeoverEvent once all known endpoints have been
// polled.
func (p *Pool) reportTakeover(now time.Time) {
	if p.takeoverReported || len(p.sortedEndpoints) == 0 || p.unpolled() > 0 {
		return
	}
	p.takeoverReported = true
	e := TakeoverEvent{After: now.Sub(p.activatedAt), Endpoints: len(p.sortedEndpoints)}
	for _, endpoint := range p.sortedEndpoints {
		e.Runs += len(endpoint.runs)
	}
	p.actions = append(p.actions, e)
}

// reportStart emits an event for a start that is safe only if no earlier owner
// has a run of the task.
func (p *Pool) reportStart(now time.Time, t *task) {
	var basis StartBasis
	switch {
	case t.foreignStartUntil.IsZero() && p.takeoverReported:
		return
	case t.foreignStartUntil.IsZero():
		basis = BasisNew
	case now.Sub(t.foreignStartUntil) >= p.cfg.ForeignStartDelay:
		basis = BasisDelay
	default:
		basis = BasisPolled
	}
	unpolled := p.unpolled()
	if basis == BasisNew && unpolled == 0 {
		return
	}
	p.addRunEvent(now, StartedAfterTakeover, t.run)
	e := p.actions[len(p.actions)-1].(RunEvent)
	e.Basis, e.Unpolled = basis, unpolled
	p.actions[len(p.actions)-1] = e
}

package owner

import "time"

// A run of a task may go on at an earlier owner, or without any, when its job
// reaches this owner through another home: the caller submits a job again whose
// home it has lost. Such an order looks like that of a new job. The run shows in
// the polls of its endpoint. It ends by Config.ForeignStartDelay after the loss
// of its home, unless several owners that find it are lost one after the other,
// and the order comes Config.ResubmitDelay after that loss at the earliest.

// newTaskSafe reports whether a task may start that its home has not placed
// before. It may once all known endpoints were polled since the takeover, or
// when a run of an earlier submission must have ended.
func (p *Pool) newTaskSafe(now time.Time, t *task) bool {
	if p.takeoverComplete || now.Sub(p.activatedAt) >= p.cfg.ForeignStartDelay {
		return true
	}
	return now.Sub(t.batch.placedAt) >= p.cfg.ForeignStartDelay-p.cfg.ResubmitDelay
}

// updateTakeover sets takeoverComplete once no known endpoint is left that may have
// runs which this owner has not seen. An endpoint that refuses connections has
// none, since its process has ended.
func (p *Pool) updateTakeover() {
	if p.takeoverComplete || len(p.sortedEndpoints) == 0 {
		return
	}
	for _, e := range p.sortedEndpoints {
		if e.polledAt.Before(p.activatedAt) && !e.refused {
			return
		}
	}
	p.takeoverComplete = true
}

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
	case t.foreignStartUntil.IsZero() && (p.takeoverComplete || now.Sub(p.activatedAt) >= p.cfg.ForeignStartDelay):
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

package owner

import (
	"slices"
	"time"
)

// restartStalled restarts tasks elsewhere that make no progress on the endpoint,
// which rests.
func (p *Pool) restartStalled(now time.Time, e *endpoint) {
	for _, r := range slices.Clone(e.runs) {
		if !p.stalled(now, r) {
			continue
		}
		t := r.task
		p.note(now, Stalled, r)
		p.stats.Restarts++
		// Unlike a failure, this is hardly the fault of the task.
		e.health.failed = max(e.health.failed, failuresToRest-1)
		p.rest(now, e)
		t.restarts++
		// The run keeps its key occupied until it is gone, so that the next one
		// starts only then.
		r.task = nil
		p.stop(r)
		p.requeue(t)
	}
}

const (
	// stallEstimates is how many times its expected time a task may run with
	// less than stallPercent of its work done, and stallMargin is added.
	stallEstimates = 2.5
	stallPercent   = 40
	stallMargin    = 150 * time.Millisecond
	// maxRestarts bounds the restarts of one task, since its estimate may be
	// wrong.
	maxRestarts = 1
)

// stalled reports whether a run has done far too little for its time, and a new
// one can still end before the deadline.
func (p *Pool) stalled(now time.Time, r *run) bool {
	t := r.task
	if t == nil || r.phase != running || r.percent >= stallPercent || t.restarts >= maxRestarts {
		return false
	}
	expected := time.Duration(float64(t.batch.needs.Estimate) * r.endpoint.speed.over(p.likeSpeed(r.endpoint)))
	if p.far(t.batch, r.endpoint) {
		expected = time.Duration(float64(expected) * p.cfg.FarFactor)
	}
	limit := time.Duration(stallEstimates*float64(expected)) + stallMargin
	return now.Sub(r.began) > limit && now.Add(t.batch.needs.Estimate).Before(t.batch.deadline)
}

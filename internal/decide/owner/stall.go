package owner

import (
	"slices"
	"time"
)

// restartStalled stops runs on the endpoint that make no progress and requeues
// their tasks. The endpoint gets a cooldown.
func (p *Pool) restartStalled(now time.Time, e *endpoint) {
	for _, r := range slices.Clone(e.runs) {
		if !p.stalled(now, r) {
			continue
		}
		t := r.task
		p.addRunEvent(now, Stalled, r)
		p.stats.Restarts++
		// Unlike a failure, a stall is hardly the fault of the task, so a
		// single one leads to a cooldown.
		e.health.failuresInRow = max(e.health.failuresInRow, cooldownFailures-1)
		p.recordFailure(now, e)
		t.restarts++
		// The stopping run still counts as a run of the task, so that the next
		// run starts only when it is gone.
		r.task = nil
		p.stop(r)
		p.requeue(t)
	}
}

const (
	// A run counts as stalled when it has less than stallPercent of its work
	// done after stallEstimates times its expected time plus stallMargin.
	stallEstimates = 2.5
	stallPercent   = 40
	stallMargin    = 150 * time.Millisecond
	// maxRestarts bounds the restarts of one task, since its estimate may be
	// wrong.
	maxRestarts = 1
)

// stalled reports whether a run has made too little progress for its time,
// while a new run could still end before the deadline.
func (p *Pool) stalled(now time.Time, r *run) bool {
	t := r.task
	if t == nil || r.phase != running || r.percent >= stallPercent || t.restarts >= maxRestarts {
		return false
	}
	expected := time.Duration(float64(t.batch.needs.Estimate) * r.endpoint.speed.blendedRatio(p.speedOfGroup(r.endpoint)))
	if p.remote(t.batch, r.endpoint) {
		expected = time.Duration(float64(expected) * p.cfg.RemoteFactor)
	}
	limit := time.Duration(stallEstimates*float64(expected)) + stallMargin
	return now.Sub(r.knownSince) > limit && now.Add(t.batch.needs.Estimate).Before(t.batch.deadline)
}

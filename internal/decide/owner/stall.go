package owner

import (
	"slices"
	"time"
)

// rerunStalled stops runs on the endpoint that have stalled and requeues their
// tasks. The endpoint gets a cooldown.
func (p *Pool) rerunStalled(now time.Time, e *endpoint) {
	for _, r := range slices.Clone(e.runs) {
		if !p.stalled(now, r) {
			continue
		}
		t := r.task
		p.addRunEvent(now, Stalled, r)
		p.stats.Reruns++
		// Unlike a failure, a stall is hardly the fault of the task, so a
		// single one leads to a cooldown.
		e.health.failuresInRow = max(e.health.failuresInRow, cooldownFailures-1)
		p.recordFailure(now, e)
		t.reruns++
		// The run stays in runsByTask until it has ended, and the next run does
		// not start before that.
		r.task = nil
		p.stop(r)
		p.requeue(t)
	}
}

const (
	// A run counts as stalled when it has less than stallPercent of its work
	// done after stallFactor times its expected time plus stallMargin.
	stallFactor  = 2.5
	stallPercent = 40
	stallMargin  = 150 * time.Millisecond
	// maxReruns bounds the reruns of one task after a stall, since its estimate
	// may be wrong.
	maxReruns = 1
)

// stalled reports whether a run has made too little progress for its time,
// while a new run could still end before the deadline.
func (p *Pool) stalled(now time.Time, r *run) bool {
	t := r.task
	if t == nil || r.phase != running || r.percent >= stallPercent || t.reruns >= maxReruns {
		return false
	}
	expected := p.expectedTime(t.batch, r.endpoint)
	limit := time.Duration(stallFactor*float64(expected)) + stallMargin
	return now.Sub(r.knownSince) > limit && now.Add(t.batch.needs.Estimate).Before(t.batch.deadline)
}

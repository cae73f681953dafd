package owner

import "time"

// forget records that a run may go on that this pool no longer follows. A task
// with its key waits as for the run of another owner.
func (p *Pool) forget(now time.Time, r *run) {
	p.forgotten[r.id.key] = now
	for _, t := range p.tasksOf(r.id.key) {
		t.noteRun()
	}
}

// forgetAll forgets all runs, before the pool drops its state.
func (p *Pool) forgetAll(now time.Time) {
	for key := range p.runsByTask {
		p.forgotten[key] = now
	}
}

// expireForgotten drops records of runs that this pool has forgotten for
// Config.ForeignStartDelay.
func (p *Pool) expireForgotten(now time.Time) {
	for key, at := range p.forgotten {
		if now.Sub(at) >= p.cfg.ForeignStartDelay {
			delete(p.forgotten, key)
		}
	}
}

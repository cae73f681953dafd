package owner

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// inheritedEnd is the end of a task that was done under an earlier owner, which
// exited before it reported the end.
type inheritedEnd struct {
	run        int
	endpoint   ident.EndpointID
	receivedAt time.Time
}

// inheritedRetention is how long the end of a task is kept for its home to
// place the task at the new owner.
const inheritedRetention = 3 * time.Second

// recordInherited handles the end of a run that this owner does not know. It
// finishes the task of the run, or keeps the end until the task is placed.
func (p *Pool) recordInherited(now time.Time, e *endpoint, end EndedRun) {
	if end.Reason != EndDone {
		return
	}
	for _, b := range p.batchesByJob[end.Key.Job] {
		t := b.tasks[end.Key.Index]
		if b.step == end.Key.Step && end.Key.Occurrence == 0 && t != nil && t.run == nil && !t.mayHaveStartedUntil.IsZero() {
			p.finishInherited(now, t, inheritedEnd{run: end.Run, endpoint: e.ID, receivedAt: now})
			return
		}
	}
	p.inheritedEnd[end.Key] = inheritedEnd{run: end.Run, endpoint: e.ID, receivedAt: now}
}

// finishIfInherited finishes a task that was done under an earlier owner, and
// reports whether there was such an end.
func (p *Pool) finishIfInherited(now time.Time, t *task) bool {
	i, ok := p.inheritedEnd[t.key]
	if !ok || t.mayHaveStartedUntil.IsZero() {
		return false
	}
	delete(p.inheritedEnd, t.key)
	p.finishInherited(now, t, i)
	return true
}

// finishInherited reports the end of a task under an earlier owner.
func (p *Pool) finishInherited(now time.Time, t *task, i inheritedEnd) {
	p.actions = append(p.actions, RunEvent{Event: Inherited, Key: t.key, Run: i.run, Endpoint: i.endpoint, PollAge: now.Sub(i.receivedAt)})
	p.finishTask(t, job.TaskEnd{Run: i.run, Outcome: job.Done, Endpoint: i.endpoint})
}

// forgetInherited drops ends whose task was not placed within
// inheritedRetention.
func (p *Pool) forgetInherited(now time.Time) {
	for key, i := range p.inheritedEnd {
		if now.Sub(i.receivedAt) >= inheritedRetention {
			delete(p.inheritedEnd, key)
		}
	}
}

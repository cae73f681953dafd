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

// inheritedRetention is how long an inherited end is kept until the task's home
// places the task at this owner.
const inheritedRetention = 3 * time.Second

// recordInherited handles the end of a run that this owner does not know. It
// finishes the task of the run, or keeps the end until the task is placed.
func (p *Pool) recordInherited(now time.Time, e *endpoint, end EndedRun) {
	tasks := p.tasksOf(end.Key)
	for _, t := range tasks {
		t.noteRun()
	}
	if end.Reason != EndDone {
		return
	}
	for _, t := range tasks {
		if t.run == nil && !t.foreignStartUntil.IsZero() {
			p.finishInherited(now, t, inheritedEnd{run: end.Run, endpoint: e.ID, receivedAt: now})
			return
		}
	}
	p.inheritedEnds[end.Key] = inheritedEnd{run: end.Run, endpoint: e.ID, receivedAt: now}
}

// finishIfInherited finishes a task that was done under an earlier owner, and
// reports whether there was such an end.
func (p *Pool) finishIfInherited(now time.Time, t *task) bool {
	inherited, ok := p.inheritedEnds[t.key]
	if ok {
		t.noteRun()
	}
	if !ok || t.foreignStartUntil.IsZero() {
		return false
	}
	delete(p.inheritedEnds, t.key)
	p.finishInherited(now, t, inherited)
	return true
}

// finishInherited reports the end of a task under an earlier owner.
func (p *Pool) finishInherited(now time.Time, t *task, inherited inheritedEnd) {
	p.actions = append(p.actions, RunEvent{Event: Inherited, Key: t.key, Run: inherited.run, Endpoint: inherited.endpoint, PollAge: now.Sub(inherited.receivedAt)})
	p.finishTask(t, job.TaskEnd{Run: inherited.run, Outcome: job.Done, Endpoint: inherited.endpoint})
}

// expireInherited drops ends whose task was not placed within
// inheritedRetention.
func (p *Pool) expireInherited(now time.Time) {
	for key, inherited := range p.inheritedEnds {
		if now.Sub(inherited.receivedAt) >= inheritedRetention {
			delete(p.inheritedEnds, key)
		}
	}
}

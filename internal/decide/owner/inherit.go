package owner

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// inherited is a task that was done under an earlier owner, which did not live
// to report it.
type inherited struct {
	run      int
	endpoint ident.EndpointID
	at       time.Time
}

// inheritTime is how long the end of a task waits for its home to place the task
// at the new owner.
const inheritTime = 3 * time.Second

// inherit takes the end of a run that this owner did not know.
func (p *Pool) inherit(now time.Time, e *endpoint, end Ended) {
	if end.How != EndDone {
		return
	}
	for _, b := range p.jobs[end.Key.Job] {
		t := b.tasks[end.Key.Index]
		if b.step == end.Key.Step && end.Key.Occurrence == 0 && t != nil && t.run == nil && !t.handed.IsZero() {
			p.finishInherited(now, t, inherited{run: end.Run, endpoint: e.ID, at: now})
			return
		}
	}
	p.inherited[end.Key] = inherited{run: end.Run, endpoint: e.ID, at: now}
}

// bequeathed finishes a task that was done under an earlier owner, and reports
// whether there was such an end.
func (p *Pool) bequeathed(now time.Time, t *task) bool {
	i, ok := p.inherited[t.key]
	if !ok || t.handed.IsZero() {
		return false
	}
	delete(p.inherited, t.key)
	p.finishInherited(now, t, i)
	return true
}

// finishInherited reports the end of a task under an earlier owner.
func (p *Pool) finishInherited(now time.Time, t *task, i inherited) {
	p.out = append(p.out, Note{Event: Inherited, Key: t.key, Run: i.run, Endpoint: i.endpoint, Seen: now.Sub(i.at)})
	p.finish(t, job.End{Run: i.run, Outcome: job.Done, Endpoint: i.endpoint})
}

// forgetInherited drops ends that no home asked for.
func (p *Pool) forgetInherited(now time.Time) {
	for key, i := range p.inherited {
		if now.Sub(i.at) >= inheritTime {
			delete(p.inherited, key)
		}
	}
}

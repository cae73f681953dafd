package owner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Place takes tasks of a home. Tasks that the pool has already are left as they
// are, and runs that it found on endpoints are adopted.
func (p *Pool) Place(now time.Time, home ident.Process, orders []job.Order) []Action {
	handed := false
	var placed []*batch
	for i := range orders {
		if b := p.place(now, home, &orders[i]); b != nil {
			placed = append(placed, b)
		}
		handed = handed || orders[i].Handed
	}
	if handed && p.active {
		p.glanceDue = true
		p.glanceAll(now)
	}
	p.dispatchNew(now, placed)
	return p.flush()
}

// place takes one order and returns its batch, or nil when the pool is not the
// owner.
func (p *Pool) place(now time.Time, home ident.Process, o *job.Order) *batch {
	id := batchID{home: home, job: o.Job, step: o.Step}
	if !p.active {
		p.handBack(home, o)
		return nil
	}
	b := p.batches[id]
	if b == nil {
		b = &batch{
			home: home, job: o.Job, step: o.Step, service: o.Service, payload: o.Payload, needs: o.Needs, kind: p.kindFor(o.Service, &o.Needs),
			placed: now, target: now.Add(o.Target), deadline: now.Add(o.Deadline), tasks: map[int]*task{},
		}
		p.batches[id] = b
		p.jobs[b.job] = append(p.jobs[b.job], b)
	}
	for i, index := range o.Indexes {
		t := b.tasks[index]
		if t == nil {
			p.add(now, b, index, o.FirstRuns[i], o.Handed)
			continue
		}
		if o.Handed && t.run == nil {
			t.handed, t.nextRun = now, max(t.nextRun, o.FirstRuns[i])
		}
	}
	return b
}

// handBack returns tasks that another owner should get.
func (p *Pool) handBack(home ident.Process, o *job.Order) {
	for _, index := range o.Indexes {
		key := job.Key{Job: o.Job, Step: o.Step, Index: index}
		p.ends[home] = append(p.ends[home], job.End{Key: key, Outcome: job.Unowned})
	}
}

// add takes one task. Runs of its key that are on an endpoint are adopted if
// nobody else wants them, and stopped otherwise.
func (p *Pool) add(now time.Time, b *batch, index, firstRun int, handed bool) {
	t := &task{
		batch:   b,
		key:     job.Key{Job: b.job, Step: b.step, Index: index},
		nextRun: firstRun,
	}
	b.tasks[index] = t
	for _, r := range slices.Clone(p.present[t.key]) {
		t.nextRun = max(t.nextRun, r.id.run+1)
		if t.run == nil && !r.claimed && r.phase == running {
			p.adopt(now, t, r)
			continue
		}
		if r.task != nil {
			p.note(now, Resubmitted, r)
			p.abandon(r.task)
		}
		p.stop(r)
	}
	if t.run != nil {
		return
	}
	if handed {
		t.handed = now
	}
	if !p.bequeathed(now, t) {
		p.enqueue(t)
	}
}

// abandon drops a task whose job was submitted again through another home.
func (p *Pool) abandon(t *task) {
	p.drop(t)
	if t.run != nil {
		t.run.task, t.run = nil, nil
	}
}

// adopt takes over a run that another owner started.
func (p *Pool) adopt(now time.Time, t *task, r *run) {
	e := r.endpoint
	r.claimed, r.room, r.task, t.run = true, t.batch.needs.Room, t, r
	p.note(now, Adopted, r)
	r.began = now
	t.ran = true
	e.unclaimed--
	e.used = e.used.Plus(r.room)
	p.stats.Adopted++
}

// seenSince returns the time since which the list of endpoints was read and
// every one of them looked at. What an earlier owner started before then shows
// in the lists of runs, and what it orders later is refused.
func (p *Pool) seenSince() time.Time {
	since := p.listedAt
	for _, e := range p.order {
		if e.seenAt.Before(since) {
			since = e.seenAt
		}
	}
	return since
}

// certain reports whether no earlier owner can have the task running.
func (p *Pool) certain(now, seen time.Time, t *task) bool {
	if now.Before(t.notBefore) {
		return false
	}
	return t.handed.IsZero() || !seen.Before(t.handed) || now.Sub(t.handed) >= p.cfg.OrphanWait
}

// glanceAll looks at all endpoints at once, so that tasks of another owner can
// start soon. Tasks that come shortly after others wait for the next round.
func (p *Pool) glanceAll(now time.Time) {
	if !p.glanceDue || now.Sub(p.glancedAt) < p.cfg.GlanceWait {
		return
	}
	p.glancedAt, p.glanceDue = now, false
	for _, e := range p.order {
		if e.hold == held && p.mine(e.Endpoint) {
			p.glance(now, e)
		}
	}
}

// Withdraw ends all tasks of a job that the home no longer wants.
func (p *Pool) Withdraw(home ident.Process, id job.ID) []Action {
	for _, b := range slices.Clone(p.jobs[id]) {
		if b.home == home {
			p.withdraw(b)
		}
	}
	return p.flush()
}

// HomeLost ends all tasks of a home that is gone.
func (p *Pool) HomeLost(home ident.Process) []Action {
	var gone []*batch
	for id, b := range p.batches {
		if id.home == home {
			gone = append(gone, b)
		}
	}
	slices.SortFunc(gone, func(a, b *batch) int {
		return cmp.Or(strings.Compare(string(a.job), string(b.job)), cmp.Compare(a.step, b.step))
	})
	for _, b := range gone {
		p.withdraw(b)
	}
	return p.flush()
}

func (p *Pool) withdraw(b *batch) {
	for _, index := range slices.Sorted(maps.Keys(b.tasks)) {
		t := b.tasks[index]
		r := t.run
		p.drop(t)
		if r != nil {
			r.task, t.run = nil, nil
			p.stop(r)
		}
	}
}

// drop forgets a task.
func (p *Pool) drop(t *task) {
	p.dequeue(t)
	delete(t.batch.tasks, t.key.Index)
	if len(t.batch.tasks) > 0 {
		return
	}
	b := t.batch
	delete(p.batches, batchID{home: b.home, job: b.job, step: b.step})
	left := slices.DeleteFunc(p.jobs[b.job], func(o *batch) bool { return o == b })
	if len(left) == 0 {
		delete(p.jobs, b.job)
		return
	}
	p.jobs[b.job] = left
}

// finish reports the end of a task and forgets it.
func (p *Pool) finish(t *task, end job.End) {
	end.Key, end.Waited = t.key, t.waited
	p.ends[t.batch.home] = append(p.ends[t.batch.home], end)
	p.drop(t)
}

// expire gives up waiting tasks whose deadline has passed.
func (p *Pool) expire(now time.Time) {
	p.forgetInherited(now)
	var late []*task
	for _, t := range p.waiting {
		if !now.Before(t.batch.deadline) {
			late = append(late, t)
		}
	}
	for _, t := range late {
		p.giveUp(now, t)
	}
}

// giveUp ends a task that waits.
func (p *Pool) giveUp(now time.Time, t *task) {
	t.waited = now.Sub(t.batch.placed)
	p.stats.Refused++
	outcome := job.Refused
	if t.ran || !t.handed.IsZero() {
		outcome = job.Overdue
	}
	p.finish(t, job.End{Outcome: outcome, RetryAfter: p.cfg.RetryAfter})
}

// requeue lets a task wait for another run.
func (p *Pool) requeue(t *task) {
	t.run = nil
	t.nextRun++
	p.enqueue(t)
}

// startBy returns when a task must start to end in time on an average endpoint.
func (b *batch) startBy() time.Time { return b.target.Add(-b.needs.Estimate) }

// enqueue inserts a task into the queue, which is sorted by startBy.
func (p *Pool) enqueue(t *task) {
	if t.queued {
		return
	}
	t.queued = true
	by := t.batch.startBy()
	at, _ := slices.BinarySearchFunc(p.waiting, by, func(o *task, by time.Time) int {
		if o.batch.startBy().After(by) {
			return 1
		}
		return -1
	})
	p.waiting = slices.Insert(p.waiting, at, t)
}

func (p *Pool) dequeue(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	p.removeWaiting(t)
}

// removeWaiting takes a task out of the queue.
func (p *Pool) removeWaiting(t *task) {
	by := t.batch.startBy()
	at, _ := slices.BinarySearchFunc(p.waiting, by, func(o *task, by time.Time) int {
		if o.batch.startBy().Before(by) {
			return -1
		}
		return 1
	})
	if i := slices.Index(p.waiting[at:], t); i >= 0 {
		p.waiting = slices.Delete(p.waiting, at+i, at+i+1)
	}
}

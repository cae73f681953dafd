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

// Place adds the tasks of a home. Runs of the tasks that the pool found on
// endpoints are adopted. Tasks that the pool already has keep their run. If
// another owner may have started them, their next run may get a higher number
// and waits for polls of all endpoints.
func (p *Pool) Place(now time.Time, home ident.Process, orders []job.Order) []Action {
	mayHaveStarted := false
	var placed []*batch
	for i := range orders {
		if b := p.place(now, home, &orders[i]); b != nil {
			placed = append(placed, b)
		}
		mayHaveStarted = mayHaveStarted || orders[i].MayHaveStarted
	}
	if mayHaveStarted && p.active {
		p.sweepDue = true
		p.sweep(now)
	}
	p.dispatchNew(now, placed)
	return p.flush()
}

// place adds the tasks of one order and returns their batch. It returns nil and
// reports their end if the pool is not active, or has too many waiting tasks.
func (p *Pool) place(now time.Time, home ident.Process, o *job.Order) *batch {
	id := batchID{home: home, job: o.Job, step: o.Step}
	if !p.active {
		p.endTasks(home, o, job.TaskEnd{Outcome: job.NotOwner})
		return nil
	}
	if p.waiting.len()+len(o.Indexes) > p.cfg.MaxWaiting && !o.MayHaveStarted && p.batches[id] == nil {
		p.stats.Shed += uint64(len(o.Indexes))
		p.endTasks(home, o, job.TaskEnd{Outcome: job.Refused, RetryAfter: p.cfg.RetryAfter})
		return nil
	}
	b := p.batches[id]
	if b == nil {
		b = &batch{
			home: home, job: o.Job, step: o.Step, priority: o.Priority, service: o.Service, payload: o.Payload, needs: o.Needs, taskClass: p.taskClassFor(o.Service, &o.Needs), load: p.loadOf(o.Service, o.Needs.RequiredLabel),
			placedAt: now, target: now.Add(o.Target), deadline: now.Add(o.Deadline), tasks: map[int]*task{},
		}
		// Later steps belong to jobs that have begun.
		b.surplus = !o.MayHaveStarted && o.Step == 0 && b.load.isSurplus(b.priority)
		p.batches[id] = b
		p.batchesByJob[b.job] = append(p.batchesByJob[b.job], b)
	}
	if !o.MayHaveStarted {
		b.countArrival(now, len(o.Indexes))
	}
	b.placing = true
	for i, index := range o.Indexes {
		t := b.tasks[index]
		if t == nil {
			p.addTask(now, b, index, o.MinRuns[i], o)
			continue
		}
		t.placement = o.Placement
		// The start of a task with a run may still be refused.
		if o.MayHaveStarted {
			p.waiting.noteStarted(b)
			t.foreignStartUntil, t.nextRun = now, max(t.nextRun, o.MinRuns[i])
			t.otherGroup = t.otherGroup || p.outsideGroup(b.home, o)
		}
	}
	b.placing = false
	p.dropEmpty(b)
	return b
}

// endTasks reports the same end for all tasks of an order, which are not added.
func (p *Pool) endTasks(home ident.Process, o *job.Order, end job.TaskEnd) {
	end.Placement = o.Placement
	for _, index := range o.Indexes {
		end.Key = job.Key{Job: o.Job, Step: o.Step, Index: index}
		p.pendingEnds[home] = append(p.pendingEnds[home], end)
	}
}

// addTask adds one task. A run of the same task that is on an endpoint is
// adopted if no home has claimed it, and stopped otherwise.
func (p *Pool) addTask(now time.Time, b *batch, index, minRun int, o *job.Order) {
	t := &task{
		batch:     b,
		key:       job.Key{Job: b.job, Step: b.step, Index: index},
		placement: o.Placement,
		nextRun:   minRun,
	}
	b.tasks[index] = t
	if !p.forgotten[t.key].IsZero() {
		t.noteRun()
	}
	for _, r := range slices.Clone(p.runsByTask[t.key]) {
		t.noteRun()
		t.nextRun = max(t.nextRun, r.id.run+1)
		if t.run == nil && !r.claimed && r.phase == running {
			p.adopt(now, t, r)
			continue
		}
		if r.task != nil {
			p.addRunEvent(now, Resubmitted, r)
			p.abandon(r.task)
		}
		p.stop(r)
	}
	if t.run != nil {
		return
	}
	if p.crashes.givenUp(t.key) {
		p.endCrashing(t, nil)
		return
	}
	if o.MayHaveStarted {
		b.touched = true
		t.foreignStartUntil, t.otherGroup = now, p.outsideGroup(b.home, o)
	}
	if !p.finishIfInherited(now, t) {
		p.enqueue(t)
	}
}

// abandon drops a task whose job was submitted again through another home, and
// detaches its run. The run itself is not stopped here.
func (p *Pool) abandon(t *task) {
	p.dropTask(t)
	if t.run != nil {
		t.run.task, t.run = nil, nil
	}
}

// adopt assigns a run that another owner started to its task.
func (p *Pool) adopt(now time.Time, t *task, r *run) {
	e := r.endpoint
	t.batch.touched = true
	r.claimed, r.room, r.task, t.run = true, t.batch.needs.Room, t, r
	p.addRunEvent(now, Adopted, r)
	r.knownSince = now
	t.noteRun()
	e.unclaimed--
	e.usedRoom = e.usedRoom.Add(r.room)
	p.stats.Adopted++
}

// allPolledSince returns the time since which the list of endpoints has been
// read and every known endpoint, including those missing from the list, has
// been polled successfully. Runs that another owner started before then are in
// the polled lists, and endpoints refuse its later calls, except for stops and
// polls of an owner that outbids this one's fence; see Pool.handleAcquired.
func (p *Pool) allPolledSince() time.Time {
	since := p.listedAt
	for _, e := range p.sortedEndpoints {
		if e.polledAt.Before(since) {
			since = e.polledAt
		}
	}
	return since
}

// safeToStart reports whether the task may start. It may not while its home is
// absent, nor before notBefore, nor while another owner may have it running:
// until all endpoints have been polled since foreignStartUntil, if that owner
// was of the same group and used no endpoint that this one never saw, or
// Config.ForeignStartDelay has passed. The same holds for a run of the task that
// this owner has forgotten. A task that its home has not placed before may be
// of a job that was submitted again; see newTaskSafe. Function polledSince
// returns the result of allPolledSince.
func (p *Pool) safeToStart(now time.Time, polledSince func() time.Time, t *task) bool {
	if now.Before(t.notBefore) || p.absentHomes[t.batch.home] {
		return false
	}
	since := t.foreignStartUntil
	if at := p.forgotten[t.key]; at.After(since) {
		since = at
	}
	if since.IsZero() {
		return p.newTaskSafe(now, t)
	}
	if now.Sub(since) >= p.cfg.ForeignStartDelay {
		return true
	}
	// The other owner may use an endpoint for MissingGrace after it left the list.
	allKnown := since.Sub(p.knownSince) >= p.cfg.MissingGrace
	return allKnown && !t.otherGroup && !polledSince().Before(since)
}

// sweep polls all held endpoints at once when tasks were placed that another
// owner may have started, so that these can start soon. Tasks that arrive
// within SweepInterval after a sweep wait for the next one.
func (p *Pool) sweep(now time.Time) {
	if !p.sweepDue || now.Sub(p.sweptAt) < p.cfg.SweepInterval {
		return
	}
	p.sweptAt, p.sweepDue = now, false
	for _, e := range p.sortedEndpoints {
		if e.ownership == ownershipHeld && p.owns(e.Endpoint) {
			p.pollNow(now, e)
		}
	}
}

// Withdraw drops all tasks of a job that its home no longer needs, and stops
// their runs.
func (p *Pool) Withdraw(now time.Time, home ident.Process, id job.ID) []Action {
	for _, b := range slices.Clone(p.batchesByJob[id]) {
		if b.home == home {
			p.withdraw(now, b)
		}
	}
	return p.flush()
}

// SetHomeAbsent records whether the link to a home is lost, or a heartbeat of it
// is awaited. Tasks of an absent home wait: it may have placed them at another
// owner, or its callers may have submitted their jobs again elsewhere.
func (p *Pool) SetHomeAbsent(home ident.Process, absent bool) {
	if absent {
		p.absentHomes[home] = true
		return
	}
	delete(p.absentHomes, home)
}

// AwaitsHomes reports whether a home is absent.
func (p *Pool) AwaitsHomes() bool { return len(p.absentHomes) > 0 }

// WithdrawTasksOf drops all tasks of a home that is gone or has placed its
// tasks at another owner, and stops their runs.
func (p *Pool) WithdrawTasksOf(now time.Time, home ident.Process) []Action {
	var homeBatches []*batch
	for id, b := range p.batches {
		if id.home == home {
			homeBatches = append(homeBatches, b)
		}
	}
	slices.SortFunc(homeBatches, func(a, b *batch) int {
		return cmp.Or(strings.Compare(string(a.job), string(b.job)), cmp.Compare(a.step, b.step))
	})
	for _, b := range homeBatches {
		p.withdraw(now, b)
	}
	return p.flush()
}

func (p *Pool) withdraw(now time.Time, b *batch) {
	for _, index := range slices.Sorted(maps.Keys(b.tasks)) {
		t := b.tasks[index]
		r := t.run
		if r != nil {
			p.addRunEvent(now, Withdrawn, r)
		}
		p.dropTask(t)
		if r != nil {
			r.task, t.run = nil, nil
			p.stop(r)
		}
	}
}

// dropTask removes a task from the queue and from its batch.
func (p *Pool) dropTask(t *task) {
	p.waiting.remove(t)
	delete(t.batch.tasks, t.key.Index)
	p.dropEmpty(t.batch)
}

// dropEmpty removes a batch without tasks.
func (p *Pool) dropEmpty(b *batch) {
	if len(b.tasks) > 0 || b.placing {
		return
	}
	delete(p.batches, batchID{home: b.home, job: b.job, step: b.step})
	remaining := slices.DeleteFunc(p.batchesByJob[b.job], func(o *batch) bool { return o == b })
	if len(remaining) == 0 {
		delete(p.batchesByJob, b.job)
		return
	}
	p.batchesByJob[b.job] = remaining
}

// finishTask reports the end of a task and drops it.
func (p *Pool) finishTask(t *task, end job.TaskEnd) {
	end.Key, end.Placement, end.Waited = t.key, t.placement, t.waited
	p.pendingEnds[t.batch.home] = append(p.pendingEnds[t.batch.home], end)
	p.dropTask(t)
}

// expireWaiting ends waiting tasks whose deadline has passed.
func (p *Pool) expireWaiting(now time.Time) {
	var expired []*task
	for t := range p.waiting.all() {
		if !now.Before(t.batch.deadline) {
			expired = append(expired, t)
		}
	}
	for _, t := range expired {
		p.giveUp(now, t)
	}
}

// giveUp ends a waiting task.
func (p *Pool) giveUp(now time.Time, t *task) {
	t.waited = now.Sub(t.batch.placedAt)
	p.stats.Refused++
	p.endUnserved(t, job.TaskEnd{RetryAfter: p.cfg.RetryAfter})
}

// endUnserved ends a task that this owner gives up. It is refused if no part of
// it can have run, here or at another owner, and overdue otherwise.
func (p *Pool) endUnserved(t *task, end job.TaskEnd) {
	end.Outcome = job.Refused
	if t.mayHaveRun || !t.foreignStartUntil.IsZero() {
		end.Outcome = job.Overdue
	}
	p.finishTask(t, end)
}

// requeue puts a task back into the queue for another run.
func (p *Pool) requeue(t *task) {
	t.run = nil
	t.nextRun++
	p.enqueue(t)
}

// startBy returns when a task must start to end in time on an average endpoint.
func (b *batch) startBy() time.Time { return b.target.Add(-b.needs.Estimate) }

// enqueue adds a task to the queue.
func (p *Pool) enqueue(t *task) {
	p.waiting.add(t)
	if p.crashes.suspect(t.key) {
		p.addSuspect(t)
	}
}

package home

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Ends records ends of tasks that the process from reports. It answers jobs
// that ended with them and places tasks that became ready.
func (t *Table) Ends(now time.Time, from ident.Process, ends []job.TaskEnd) []Action {
	changed := map[job.ID]*openJob{}
	for i := range ends {
		e := t.jobs[ends[i].Key.Job]
		if e == nil {
			continue
		}
		if t.end(now, e, from, &ends[i]) {
			changed[e.spec.ID] = e
		}
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		t.closeOrAdvance(now, changed[id])
	}
	return t.flush()
}

// end records one end of a task and reports whether the state of the job may
// have changed. It ignores keys that are out of range and tasks that are done.
func (t *Table) end(now time.Time, e *openJob, from ident.Process, end *job.TaskEnd) bool {
	k := end.Key
	if k.Step >= len(e.steps) || k.Index >= len(e.steps[k.Step].tasks) || k.Occurrence != 0 {
		return false
	}
	s := &e.steps[k.Step]
	task := &s.tasks[k.Index]
	if task.done {
		return false
	}
	if end.Outcome == job.NotOwner {
		if t.ownerKnown && from == t.owner {
			t.retries[e.spec.ID] = true
			t.retryAt = now.Add(placeRetryDelay)
		}
		return false
	}
	if len(e.ends) < maxKeptEnds || end.Outcome != job.Done {
		e.ends = append(e.ends[:min(len(e.ends), maxKeptEnds-1)], *end)
	}
	task.nextRun = max(task.nextRun, end.Run+1)
	switch end.Outcome {
	case job.Done:
		e.ran = true
		task.done = true
		s.remaining--
	case job.Failed:
		e.ran = true
		task.failures++
		if task.failures < e.settings.Attempts {
			t.retryTask(now, e, k)
		}
	case job.Refused:
		if e.refused == nil {
			e.refused = map[job.Key]bool{}
		}
		e.refused[k] = true
	case job.Overdue:
		e.ran = true
	}
	return true
}

// retryTask places one task again after a failed run. Without an owner it does
// nothing: the next owner gets all open tasks.
func (t *Table) retryTask(now time.Time, e *openJob, k job.Key) {
	if !t.ownerKnown {
		return
	}
	o := e.newOrder(now, k.Step)
	o.Indexes = []int{k.Index}
	o.FirstRuns = []int{e.steps[k.Step].tasks[k.Index].nextRun}
	t.actions = append(t.actions, Place{To: t.owner, Orders: []job.Order{o}})
}

// closeOrAdvance answers the job if it has ended, or else places the steps that
// are ready.
func (t *Table) closeOrAdvance(now time.Time, e *openJob) {
	remaining := 0
	for i := range e.steps {
		remaining += e.steps[i].remaining
		for k := range e.steps[i].tasks {
			if e.steps[i].tasks[k].failures >= e.settings.Attempts {
				t.close(now, e, Failed, "a task failed on every attempt that its route allows", 0)
				return
			}
		}
	}
	if remaining == 0 {
		t.close(now, e, Finished, "", 0)
		return
	}
	if n := len(e.ends); n > 0 {
		switch last := &e.ends[n-1]; last.Outcome {
		case job.Refused:
			t.close(now, e, e.abortResult(), "the owner refused a task", last.RetryAfter)
			return
		case job.Overdue:
			t.close(now, e, Overdue, "a task was given up", last.RetryAfter)
			return
		}
	}
	t.placeReadySteps(now, e)
}

// abortResult returns the result of an aborted job: Refused if none of its
// tasks can have run, or else Overdue.
func (e *openJob) abortResult() Result {
	if e.ran || len(e.refused) < e.pendingTasks() {
		return Overdue
	}
	return Refused
}

// pendingTasks returns the number of tasks that are not done in the steps that
// were placed.
func (e *openJob) pendingTasks() int {
	n := 0
	for i := range e.steps {
		if e.steps[i].placed {
			n += e.steps[i].remaining
		}
	}
	return n
}

// close answers the callers of a job and removes it from the table. The owner
// is told to stop a job that has not finished. An after of zero means
// retryAfter.
func (t *Table) close(now time.Time, e *openJob, result Result, reason string, after time.Duration) {
	delete(t.jobs, e.spec.ID)
	delete(t.retries, e.spec.ID)
	if result != Finished && e.mayHaveStarted && t.ownerKnown {
		t.actions = append(t.actions, Withdraw{To: t.owner, Job: e.spec.ID})
	}
	if after == 0 {
		after = retryAfter
	}
	t.keepResult(now, e.spec.ID, result)
	t.actions = append(t.actions, Answer{
		Requests: e.requests, Job: e.spec.ID, Result: result, RetryAfter: after, OpenFor: now.Sub(e.opened),
		Target: e.target.Sub(e.opened), Deadline: e.deadline.Sub(e.opened), Reason: reason, Route: e.settings.Route, ConfigVersion: e.settings.ConfigVersion, Ends: e.ends,
	})
}

// keepResult keeps a result for callers that submit the job again, and evicts
// old results.
func (t *Table) keepResult(now time.Time, id job.ID, result Result) {
	a := keptResult{id: id, result: result, at: now}
	t.kept[id] = a
	t.keptByAge = append(t.keptByAge, a)
	for len(t.keptByAge) > 0 && (now.Sub(t.keptByAge[0].at) > resultRetention || len(t.keptByAge) > maxKeptResults) {
		if old := t.keptByAge[0]; t.kept[old.id].at.Equal(old.at) {
			delete(t.kept, old.id)
		}
		t.keptByAge = t.keptByAge[1:]
	}
}

// RemoveRequest removes a request whose caller no longer waits. A job without
// requests is cancelled.
func (t *Table) RemoveRequest(now time.Time, id job.ID, r RequestID) []Action {
	e := t.jobs[id]
	if e == nil {
		return nil
	}
	left := e.requests[:0]
	for _, o := range e.requests {
		if o != r {
			left = append(left, o)
		}
	}
	e.requests = left
	if len(left) == 0 {
		t.close(now, e, Cancelled, "the caller left", 0)
	}
	return t.flush()
}

// Cancel cancels a job at its caller's request and reports whether it was open.
func (t *Table) Cancel(now time.Time, id job.ID) ([]Action, bool) {
	e := t.jobs[id]
	if e == nil {
		return nil, false
	}
	t.close(now, e, Cancelled, "the caller cancelled the job", 0)
	return t.flush(), true
}

// Tick ends jobs whose deadline has passed, and places tasks again that a
// process rejected because it did not own the endpoints.
func (t *Table) Tick(now time.Time) []Action {
	var expired []job.ID
	for id, e := range t.jobs {
		if !now.Before(e.deadline) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		e := t.jobs[id]
		result := Overdue
		if !e.mayHaveStarted {
			result = Refused
		}
		t.close(now, e, result, "the deadline passed", 0)
	}
	if len(t.retries) > 0 && t.ownerKnown && !now.Before(t.retryAt) {
		var orders []job.Order
		for _, id := range slices.Sorted(maps.Keys(t.retries)) {
			orders = append(orders, t.reissueOrders(now, t.jobs[id])...)
		}
		clear(t.retries)
		t.actions = append(t.actions, Place{To: t.owner, Orders: orders})
	}
	return t.flush()
}

// flush returns the collected actions and starts a new list.
func (t *Table) flush() []Action {
	actions := t.actions
	t.actions = nil
	return actions
}

package home

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// HandleEnds records the ends of tasks that the process given as from has
// reported. It closes the jobs that these ends finish, fail or abort, and
// places steps that have become ready.
func (t *Table) HandleEnds(now time.Time, from ident.Process, ends []job.TaskEnd) []Action {
	changed := map[job.ID]*openJob{}
	for i := range ends {
		j := t.jobs[ends[i].Key.Job]
		if j == nil {
			continue
		}
		if t.recordEnd(now, j, from, &ends[i]) {
			changed[j.spec.ID] = j
		}
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		t.closeOrAdvance(now, changed[id])
	}
	return t.flush()
}

// recordEnd records one end of a task and reports whether the state of the job
// may have changed. It ignores keys that are out of range or have an occurrence
// other than 0, and tasks that are done. Only an end of the latest placement of a
// task aborts the job, or leads to a retry: an earlier owner may report its end
// after the task has gone to another one. If the owner has rejected the task with
// job.NotOwner, the open tasks of the job are placed again after placeRetryDelay.
func (t *Table) recordEnd(now time.Time, j *openJob, from ident.Process, end *job.TaskEnd) bool {
	k := end.Key
	if k.Step >= len(j.steps) || k.Index >= len(j.steps[k.Step].tasks) || k.Occurrence != 0 {
		return false
	}
	s := &j.steps[k.Step]
	task := &s.tasks[k.Index]
	if task.done {
		return false
	}
	latest := task.closePlacement(from, end)
	if end.Outcome == job.NotOwner {
		if latest && t.ownerKnown && from == t.owner {
			t.rejectedJobs[j.spec.ID] = true
			t.placeAgainAt = now.Add(placeRetryDelay)
		}
		return false
	}
	// Once maxKeptEnds ends are kept, an end that is not Done replaces the last
	// one. Further Done ends are dropped.
	if len(j.ends) < maxKeptEnds || end.Outcome != job.Done {
		j.ends = append(j.ends[:min(len(j.ends), maxKeptEnds-1)], ReceivedEnd{TaskEnd: *end, From: from})
	}
	task.minRun = max(task.minRun, end.Run+1)
	switch end.Outcome {
	case job.Done:
		j.mayHaveRun = true
		task.done = true
		s.remaining--
	case job.Failed:
		j.mayHaveRun = true
		task.failures++
		if latest && task.failures < j.settings.Attempts {
			t.retryTask(now, j, k)
		}
	case job.Overdue:
		j.mayHaveRun = true
	case job.Crashed:
		j.mayHaveRun, j.crashed = true, true
	}
	if latest && (end.Outcome == job.Refused || end.Outcome == job.Overdue) {
		j.abort = end
	}
	return true
}

// retryTask places one task again after a failed run. Without an owner it does
// nothing: the next owner gets all open tasks.
func (t *Table) retryTask(now time.Time, j *openJob, k job.Key) {
	if !t.ownerKnown {
		return
	}
	o := t.newOrder(now, j, k.Step, []int{k.Index})
	t.actions = append(t.actions, Place{To: t.owner, Orders: []job.Order{o}})
}

// closeOrAdvance closes the job if it is finished, has failed or must be
// aborted, or else places the steps that are ready.
func (t *Table) closeOrAdvance(now time.Time, j *openJob) {
	if j.crashed {
		t.close(now, j, Failed, "endpoints crash that start one of its tasks", 0)
		return
	}
	remaining := 0
	for i := range j.steps {
		remaining += j.steps[i].remaining
		for k := range j.steps[i].tasks {
			if j.steps[i].tasks[k].failures >= j.settings.Attempts {
				t.close(now, j, Failed, "a task failed on every attempt that its route allows", 0)
				return
			}
		}
	}
	if remaining == 0 {
		t.close(now, j, Finished, "", 0)
		return
	}
	if j.abort != nil {
		reason := "the owner refused a task"
		if j.abort.Outcome == job.Overdue {
			reason = "the owner gave up a task that may have run"
		}
		t.close(now, j, j.abortResult(), reason, j.abort.RetryAfter)
		return
	}
	t.placeReadySteps(now, j)
}

// close answers the requests of a job and removes it from the table. Its tasks
// are withdrawn from all processes that may still start them, also when the job
// is finished: a later owner may have tasks that an earlier one has run. If
// retryAfter is zero, callers are told to retry after defaultRetryAfter.
func (t *Table) close(now time.Time, j *openJob, result Result, reason string, retryAfter time.Duration) {
	delete(t.jobs, j.spec.ID)
	delete(t.rejectedJobs, j.spec.ID)
	delete(t.held, j.spec.ID)
	for _, to := range j.openAt() {
		t.actions = append(t.actions, Withdraw{To: to, Job: j.spec.ID})
	}
	t.keepPlacements(now, j)
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	t.keepResult(now, j.spec.ID, result)
	answer := Answer{
		Requests: j.requests, Job: j.spec.ID, Result: result, RetryAfter: retryAfter, OpenFor: now.Sub(j.opened),
		Target: j.target.Sub(j.opened), Deadline: j.deadline.Sub(j.opened), Reason: reason, Route: j.settings.Route, ConfigVersion: j.settings.ConfigVersion, Ends: j.ends,
	}
	if t.ownerKnown {
		answer.Owner = t.owner
	}
	t.actions = append(t.actions, answer)
}

// keepResult keeps a result for callers that submit the job again, and evicts
// old results.
func (t *Table) keepResult(now time.Time, id job.ID, result Result) {
	kept := keptResult{id: id, result: result, at: now}
	t.keptResults[id] = kept
	t.keptResultsByAge = append(t.keptResultsByAge, kept)
	for len(t.keptResultsByAge) > 0 && (now.Sub(t.keptResultsByAge[0].at) > resultRetention || len(t.keptResultsByAge) > maxKeptResults) {
		if old := t.keptResultsByAge[0]; t.keptResults[old.id].at.Equal(old.at) {
			delete(t.keptResults, old.id)
		}
		t.keptResultsByAge = t.keptResultsByAge[1:]
	}
}

// RemoveRequest removes a request whose caller has disconnected. A job without
// requests is cancelled.
func (t *Table) RemoveRequest(now time.Time, id job.ID, r RequestID) []Action {
	j := t.jobs[id]
	if j == nil {
		return nil
	}
	remaining := j.requests[:0]
	for _, o := range j.requests {
		if o != r {
			remaining = append(remaining, o)
		}
	}
	j.requests = remaining
	if len(remaining) == 0 {
		t.close(now, j, Cancelled, "the caller left", 0)
	}
	return t.flush()
}

// Cancel cancels a job at its caller's request and reports whether it was open.
func (t *Table) Cancel(now time.Time, id job.ID) ([]Action, bool) {
	j := t.jobs[id]
	if j == nil {
		return nil, false
	}
	t.close(now, j, Cancelled, "the caller cancelled the job", 0)
	return t.flush(), true
}

// Tick closes jobs whose deadline has passed, and places the open tasks of jobs
// again if the owner rejected any of them with job.NotOwner.
func (t *Table) Tick(now time.Time) []Action {
	var expired []job.ID
	for id, j := range t.jobs {
		if !now.Before(j.deadline) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		j := t.jobs[id]
		t.close(now, j, j.abortResult(), "the deadline passed", 0)
	}
	t.expireReleases(now)
	if len(t.rejectedJobs) > 0 && t.ownerKnown && !now.Before(t.placeAgainAt) {
		var orders []job.Order
		for _, id := range slices.Sorted(maps.Keys(t.rejectedJobs)) {
			orders = append(orders, t.ordersForOwner(now, t.jobs[id])...)
		}
		clear(t.rejectedJobs)
		if len(orders) > 0 {
			t.actions = append(t.actions, Place{To: t.owner, Orders: orders})
		}
	}
	return t.flush()
}

// flush returns the collected actions and starts a new list.
func (t *Table) flush() []Action {
	actions := t.actions
	t.actions = nil
	return actions
}

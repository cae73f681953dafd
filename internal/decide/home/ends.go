package home

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Ends takes the ends of tasks that an owner reports.
func (t *Table) Ends(now time.Time, from ident.Process, ends []job.End) []Action {
	touched := map[job.ID]*entry{}
	for i := range ends {
		e := t.jobs[ends[i].Key.Job]
		if e == nil {
			continue
		}
		if t.end(now, e, from, &ends[i]) {
			touched[e.spec.ID] = e
		}
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		t.settle(now, touched[id])
	}
	return t.flush()
}

// end takes one end and reports whether the job may have changed.
func (t *Table) end(now time.Time, e *entry, from ident.Process, end *job.End) bool {
	k := end.Key
	if k.Step >= len(e.steps) || k.Index >= len(e.steps[k.Step].tasks) || k.Occurrence != 0 {
		return false
	}
	s := &e.steps[k.Step]
	task := &s.tasks[k.Index]
	if task.done {
		return false
	}
	if end.Outcome == job.Unowned {
		if t.owned && from == t.owner {
			t.again[e.spec.ID] = true
			t.againAt = now.Add(placeRetry)
		}
		return false
	}
	if len(e.ends) < keptEnds || end.Outcome != job.Done {
		e.ends = append(e.ends[:min(len(e.ends), keptEnds-1)], *end)
	}
	task.nextRun = max(task.nextRun, end.Run+1)
	switch end.Outcome {
	case job.Done:
		e.ran = true
		task.done = true
		s.left--
	case job.Failed:
		e.ran = true
		task.failures++
		if task.failures < e.terms.Attempts {
			t.placeTask(now, e, k)
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

// placeTask places one task again after a failed run.
func (t *Table) placeTask(now time.Time, e *entry, k job.Key) {
	if !t.owned {
		return
	}
	o := e.order(now, k.Step)
	o.Indexes = []int{k.Index}
	o.FirstRuns = []int{e.steps[k.Step].tasks[k.Index].nextRun}
	t.out = append(t.out, Place{To: t.owner, Orders: []job.Order{o}})
}

// settle answers a job that has ended, and else places what is ready.
func (t *Table) settle(now time.Time, e *entry) {
	left := 0
	for i := range e.steps {
		left += e.steps[i].left
		for k := range e.steps[i].tasks {
			if e.steps[i].tasks[k].failures >= e.terms.Attempts {
				t.close(now, e, Failed, "a task failed as often as its route allows", 0)
				return
			}
		}
	}
	if left == 0 {
		t.close(now, e, Finished, "", 0)
		return
	}
	if n := len(e.ends); n > 0 {
		switch last := &e.ends[n-1]; last.Outcome {
		case job.Refused:
			t.close(now, e, e.givenUp(), "the owner refused a task", last.RetryAfter)
			return
		case job.Overdue:
			t.close(now, e, Overdue, "a task was given up", last.RetryAfter)
			return
		}
	}
	t.advance(now, e)
}

// givenUp returns the result of a job that is given up: refused when nothing of
// it can have run.
func (e *entry) givenUp() Result {
	if e.ran || len(e.refused) < e.placedTasks() {
		return Overdue
	}
	return Refused
}

func (e *entry) placedTasks() int {
	n := 0
	for i := range e.steps {
		if e.steps[i].placed {
			n += e.steps[i].left
		}
	}
	return n
}

// close answers a job and forgets it.
func (t *Table) close(now time.Time, e *entry, result Result, reason string, after time.Duration) {
	delete(t.jobs, e.spec.ID)
	delete(t.again, e.spec.ID)
	if result != Finished && e.handed && t.owned {
		t.out = append(t.out, Withdraw{To: t.owner, Job: e.spec.ID})
	}
	if after == 0 {
		after = retryAfter
	}
	t.remember(now, e.spec.ID, result)
	t.out = append(t.out, Answer{
		Requests: e.requests, Job: e.spec.ID, Result: result, RetryAfter: after, Open: now.Sub(e.opened),
		Target: e.target.Sub(e.opened), Deadline: e.deadline.Sub(e.opened), Reason: reason, Route: e.terms.Route, ConfigVersion: e.terms.ConfigVersion, Ends: e.ends,
	})
}

// remember keeps a result for callers that ask again.
func (t *Table) remember(now time.Time, id job.ID, result Result) {
	a := answered{id: id, result: result, at: now}
	t.past[id] = a
	t.recent = append(t.recent, a)
	for len(t.recent) > 0 && (now.Sub(t.recent[0].at) > keepAnswers || len(t.recent) > maxAnswers) {
		if old := t.recent[0]; t.past[old.id].at.Equal(old.at) {
			delete(t.past, old.id)
		}
		t.recent = t.recent[1:]
	}
}

// Leave takes that a caller no longer waits. A job without callers ends.
func (t *Table) Leave(now time.Time, id job.ID, r Request) []Action {
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

// Cancel ends a job for its caller and reports whether it was open.
func (t *Table) Cancel(now time.Time, id job.ID) ([]Action, bool) {
	e := t.jobs[id]
	if e == nil {
		return nil, false
	}
	t.close(now, e, Cancelled, "the caller cancelled the job", 0)
	return t.flush(), true
}

// Tick gives up jobs whose deadline has passed and places again what an owner
// did not take.
func (t *Table) Tick(now time.Time) []Action {
	var late []job.ID
	for id, e := range t.jobs {
		if !now.Before(e.deadline) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		e := t.jobs[id]
		result := Overdue
		if !e.handed {
			result = Refused
		}
		t.close(now, e, result, "the deadline passed", 0)
	}
	if len(t.again) > 0 && t.owned && !now.Before(t.againAt) {
		var orders []job.Order
		for _, id := range slices.Sorted(maps.Keys(t.again)) {
			orders = append(orders, t.replace(now, t.jobs[id])...)
		}
		clear(t.again)
		t.out = append(t.out, Place{To: t.owner, Orders: orders})
	}
	return t.flush()
}

func (t *Table) flush() []Action {
	out := t.out
	t.out = nil
	return out
}

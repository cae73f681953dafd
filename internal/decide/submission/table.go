// Package submission tracks the submissions whose home is this process. The
// home of a submission is the process that issued its id: it queues the tasks,
// records their results, and gives the answer. An executor is the process that
// runs an attempt of a task, which may be another one. The package decides
// which ids are new, running, finished or expired, which attempt of a task
// counts, and when an answer is final.
//
// A task is delegated while its current attempt is assigned to an executor
// other than its home. A submission is repeatable if its tasks may run again
// after an attempt whose outcome is unknown; the code that adds it decides
// that, and allows it for idempotent single requests. A task gets a further
// attempt only through RequeueUnstarted, which needs proof that the attempt did
// not start, or through Retry, which works for repeatable submissions only.
package submission

import (
	"container/heap"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Config holds the settings of a Table.
type Config struct {
	Self       ident.Process
	DataCentre ident.DataCentre
	// Started is when the process started. Issue times are relative to it.
	Started time.Time
	// Retention is how long an id may be used after it was issued. The entry of
	// a submission is kept, and found by its id, at least this long after it
	// has finished.
	Retention time.Duration
	// MaxRetained is the most bytes of outputs kept for finished submissions.
	MaxRetained int
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	if c.Retention == 0 {
		c.Retention = 10 * time.Minute
	}
	if c.MaxRetained == 0 {
		c.MaxRetained = 64 << 20
	}
	return c
}

// Validate returns an error for the first field that is out of range.
func (c Config) Validate() error {
	bad := fault.New(fault.SettingsInvalid, fault.RanNo)
	switch {
	case !ident.ValidName(string(c.Self.Instance)):
		return bad.WithField("instance").WithDetail("must be 1 to 64 characters from a-z, 0-9 and inner hyphens")
	case !ident.ValidName(string(c.DataCentre)):
		return bad.WithField("data-centre").WithDetail("must be 1 to 64 characters from a-z, 0-9 and inner hyphens")
	case c.Retention < time.Second:
		return bad.WithField("retention").WithDetail("must be at least 1s")
	case c.MaxRetained < 0:
		return bad.WithField("max-retained").WithDetail("must not be negative")
	}
	return nil
}

// Table holds the submissions of one home process.
type Table struct {
	cfg     Config
	issuer  issuer
	entries map[uint64]*Entry
	// deadlines orders the open entries.
	deadlines deadlineHeap
	// finished lists the entries whose tasks are all final, in the order in
	// which they finished.
	finished []*Entry
	// withOutputs lists the finished entries that keep outputs, oldest first.
	// retainedBytes is the total size of these outputs.
	withOutputs   []*Entry
	retainedBytes int
	// delegated holds, by executor, the attempts that are assigned to other
	// processes.
	delegated map[ident.Process]map[ident.TaskID]ident.Attempt
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	cfg = cfg.Defaults()
	return &Table{
		cfg: cfg,
		issuer: issuer{
			process:    cfg.Self,
			dataCentre: cfg.DataCentre,
			started:    cfg.Started,
			retention:  cfg.Retention,
		},
		entries:   map[uint64]*Entry{},
		delegated: map[ident.Process]map[ident.TaskID]ident.Attempt{},
	}
}

// Issue returns n new ids.
func (t *Table) Issue(now time.Time, n int) []ident.SubmissionID { return t.issuer.issue(now, n) }

// Open returns the number of submissions with tasks that are not final.
func (t *Table) Open() int { return len(t.deadlines) }

// Len returns the number of submissions in the table.
func (t *Table) Len() int { return len(t.entries) }

// Find returns the entry of an id, or nil when the id is valid and nothing was
// submitted under it. Errors have kind IDUnknown or IDExpired.
func (t *Table) Find(now time.Time, id ident.SubmissionID) (*Entry, *fault.Error) {
	if e := t.entries[id.Sequence]; e != nil && e.Submission.ID == id {
		return e, nil
	}
	t.issuer.expire(now)
	switch {
	case id.Home() != t.cfg.Self, id.Sequence > t.issuer.lastIssued:
		return nil, fault.New(fault.IDUnknown, fault.RanNo).WithField("id")
	case t.entries[id.Sequence] != nil:
		return nil, fault.New(fault.IDUnknown, fault.RanNo).WithField("id").
			WithDetail("the issue time or the data centre is not the one issued with this sequence number")
	case id.Sequence <= t.issuer.lastExpired:
		return nil, fault.New(fault.IDExpired, fault.RanUnknown).WithField("id")
	}
	return nil, nil
}

// Match checks the digest of a resubmission against that of the first
// submission. It returns nil if they are equal, otherwise an error of kind
// IDConflict: the id was used with other content.
func (e *Entry) Match(digest uint64) *fault.Error {
	if e.digest != digest {
		return fault.New(fault.IDConflict, fault.RanUnknown).WithField("id")
	}
	return nil
}

// Add records a new submission and returns its tasks, to be queued in order.
// Find must have returned no entry and no error for the id. The digest is a
// hash of the submitted content.
func (t *Table) Add(now time.Time, s work.Submission, digest uint64, repeatable bool) (*Entry, []*work.Task) {
	e := &Entry{
		Submission: s,
		digest:     digest,
		repeatable: repeatable,
		tasks:      make([]task, len(s.Tasks)),
		openTasks:  len(s.Tasks),
	}
	t.entries[s.ID.Sequence] = e
	heap.Push(&t.deadlines, e)
	tasks := make([]*work.Task, len(s.Tasks))
	for i := range tasks {
		e.tasks[i].attempt = 1
		tasks[i] = e.currentAttempt(now, i)
	}
	return e, tasks
}

// findOpenTask returns the entry and the record of a task if attempt is its
// current one and the task is not final, otherwise nil.
func (t *Table) findOpenTask(id ident.TaskID, attempt ident.Attempt) (*Entry, *task) {
	e := t.entries[id.Submission.Sequence]
	if e == nil || e.Submission.ID != id.Submission || id.Index < 0 || id.Index >= len(e.tasks) {
		return nil, nil
	}
	k := &e.tasks[id.Index]
	if k.attempt != attempt || k.state == succeeded || k.state == failed {
		return nil, nil
	}
	return e, k
}

// CurrentAttempt returns the work.Task of the given attempt, with Enqueued set
// to now, if it is the current one and queued or assigned. It returns nil when
// the task is final or unknown, or the attempt is outdated.
func (t *Table) CurrentAttempt(now time.Time, id ident.TaskID, attempt ident.Attempt) *work.Task {
	e, k := t.findOpenTask(id, attempt)
	if k == nil {
		return nil
	}
	return e.currentAttempt(now, id.Index)
}

// Assign records that an attempt is assigned to the executor. It returns false
// when the attempt is already assigned or outdated, or the task is final or
// unknown. The attempt must then not be sent.
func (t *Table) Assign(id ident.TaskID, attempt ident.Attempt, executor ident.Process) bool {
	_, k := t.findOpenTask(id, attempt)
	if k == nil || k.state != queued {
		return false
	}
	k.state = assigned
	k.executor = executor
	if executor != t.cfg.Self {
		if t.delegated[executor] == nil {
			t.delegated[executor] = map[ident.TaskID]ident.Attempt{}
		}
		t.delegated[executor][id] = attempt
	}
	return true
}

// RequeueUnstarted replaces an assigned attempt that did not start. It must be
// called only with proof of that. It returns the next attempt, to be queued, or
// nil when the attempt is not assigned or outdated, or the task is final or
// unknown.
func (t *Table) RequeueUnstarted(now time.Time, id ident.TaskID, attempt ident.Attempt) *work.Task {
	return t.requeue(now, id, attempt)
}

// Retry replaces an assigned attempt whose outcome is unknown and returns the
// next one, to be queued. It returns nil for submissions that are not
// repeatable, and in the cases in which RequeueUnstarted does.
func (t *Table) Retry(now time.Time, id ident.TaskID, attempt ident.Attempt) *work.Task {
	e, k := t.findOpenTask(id, attempt)
	if e == nil || !e.repeatable {
		return nil
	}
	next := t.requeue(now, id, attempt)
	if next != nil {
		k.mayHaveRun = true
	}
	return next
}

// requeue sets an assigned task to queued, increments its attempt number, and
// returns the next attempt. It returns nil in the cases in which
// RequeueUnstarted does.
func (t *Table) requeue(now time.Time, id ident.TaskID, attempt ident.Attempt) *work.Task {
	e, k := t.findOpenTask(id, attempt)
	if k == nil || k.state != assigned {
		return nil
	}
	t.removeDelegated(k, id)
	k.state = queued
	k.attempt++
	return e.currentAttempt(now, id.Index)
}

// RecordResult records the outcome of an attempt, a success or a failure, which
// makes its task final. It returns the entry if this was its last open task,
// and reports whether the result counted: that of an outdated attempt or a
// final task does not.
func (t *Table) RecordResult(now time.Time, r *work.Result) (done *Entry, counted bool) {
	e, k := t.findOpenTask(r.Task, r.Attempt)
	if k == nil {
		return nil, false
	}
	if t.finishTask(now, e, k, r) {
		return e, true
	}
	return nil, true
}

// finishTask makes a task final and reports whether all tasks of the entry now
// are.
func (t *Table) finishTask(now time.Time, e *Entry, k *task, r *work.Result) bool {
	t.removeDelegated(k, r.Task)
	k.state, k.output = succeeded, r.Output
	if r.Failure != nil {
		k.state, k.output, k.failure = failed, nil, r.Failure
		if k.mayHaveRun && r.Failure.Ran == fault.RanNo {
			k.failure = fault.New(r.Failure.Kind, fault.RanUnknown).WithDetail(r.Failure.Detail)
		}
	}
	e.openTasks--
	if e.openTasks > 0 {
		return false
	}
	heap.Remove(&t.deadlines, e.heapIndex)
	e.buildAnswer(now)
	t.finished = append(t.finished, e)
	t.retainOutputs(e)
	return true
}

// removeDelegated removes a task from the delegated tasks of its executor.
func (t *Table) removeDelegated(k *task, id ident.TaskID) {
	if k.state != assigned || k.executor == t.cfg.Self {
		return
	}
	m := t.delegated[k.executor]
	delete(m, id)
	if len(m) == 0 {
		delete(t.delegated, k.executor)
	}
}

// Delegated returns the attempts that are assigned to process p, or none if p
// is the home itself.
func (t *Table) Delegated(p ident.Process) map[ident.TaskID]ident.Attempt { return t.delegated[p] }

// RemoteExecutors returns the other processes that have attempts of an entry
// assigned.
func (t *Table) RemoteExecutors(e *Entry) []ident.Process {
	seen := map[ident.Process]bool{}
	var ps []ident.Process
	for i := range e.tasks {
		k := &e.tasks[i]
		if k.state == assigned && k.executor != t.cfg.Self && !seen[k.executor] {
			seen[k.executor] = true
			ps = append(ps, k.executor)
		}
	}
	return ps
}

// FailOpenTasks makes all open tasks of an entry fail with the given kind. A
// queued task whose earlier attempts certainly did not run is reported as not
// run; the others may have run.
func (t *Table) FailOpenTasks(now time.Time, e *Entry, kind fault.Kind) {
	for i := range e.tasks {
		k := &e.tasks[i]
		if k.state == succeeded || k.state == failed {
			continue
		}
		ran := fault.RanNo
		if k.state == assigned {
			ran = fault.RanUnknown
		}
		r := work.Result{
			Task:    ident.TaskID{Submission: e.Submission.ID, Index: i},
			Attempt: k.attempt,
			Failure: fault.New(kind, ran),
		}
		if t.finishTask(now, e, k, &r) {
			return
		}
	}
}

// Overdue returns an open entry whose deadline has passed, or nil.
func (t *Table) Overdue(now time.Time) *Entry {
	if len(t.deadlines) == 0 || t.deadlines[0].Submission.Deadline.After(now) {
		return nil
	}
	return t.deadlines[0]
}

// OutputsDropped reports whether the outputs were dropped to save memory. The
// tasks ran, but the outputs can no longer be fetched.
func (e *Entry) OutputsDropped() bool { return e.outputsDropped }

// retainOutputs counts the outputs of a finished entry and drops the oldest
// outputs beyond MaxRetained. The newest outputs are kept in any case, since
// their caller has not fetched them yet.
func (t *Table) retainOutputs(e *Entry) {
	if e.outputBytes == 0 {
		return
	}
	t.retainedBytes += e.outputBytes
	t.withOutputs = append(t.withOutputs, e)
	for t.retainedBytes > t.cfg.MaxRetained && len(t.withOutputs) > 1 {
		t.dropOutputs(t.withOutputs[0])
		t.withOutputs[0] = nil
		t.withOutputs = t.withOutputs[1:]
	}
}

// dropOutputs drops the outputs of an entry.
func (t *Table) dropOutputs(e *Entry) {
	t.retainedBytes -= e.outputBytes
	e.outputBytes = 0
	e.outputsDropped = true
	e.answer.Outputs = nil
}

// Expire removes the entries that finished longer ago than the retention and
// whose ids have expired. These ids are refused as expired from then on.
func (t *Table) Expire(now time.Time) {
	t.issuer.expire(now)
	n := 0
	for n < len(t.finished) && now.Sub(t.finished[n].finishedAt) > t.cfg.Retention+markInterval {
		e := t.finished[n]
		if e.Submission.ID.Sequence > t.issuer.lastExpired {
			break
		}
		if e.outputBytes > 0 {
			// Both lists are in the order of finishing, so e is the first here.
			t.dropOutputs(e)
			t.withOutputs = t.withOutputs[1:]
		}
		delete(t.entries, e.Submission.ID.Sequence)
		t.finished[n] = nil
		n++
	}
	t.finished = t.finished[n:]
}

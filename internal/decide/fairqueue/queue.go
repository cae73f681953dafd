// Package fairqueue decides which waiting task of a service an instance starts
// next.
//
// Teams share the starts in proportion to their weights. Inside a team the
// submissions take turns, and inside a submission the tasks keep their order.
package fairqueue

import (
	"container/list"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Queue holds the waiting tasks of one service at one instance. A task id
// waits at most once. Queue is not safe for concurrent use.
type Queue struct {
	limit       int
	tasks       map[ident.TaskID]*entry
	submissions map[ident.SubmissionID]*submission
	teams       map[ident.Team]*team
	// ready holds the teams with waiting tasks, the next to be served first.
	ready     []*team
	deadlines deadlineHeap
	// virtual is the highest virtual time at which a task was served.
	virtual virtualTime
}

// entry is one waiting task.
type entry struct {
	task       *work.Task
	submission *submission
	// position is the index in the deadline heap, or noDeadline.
	position int
	// turn is the element in the submission's list, arrival the one in the
	// team's list.
	turn, arrival *list.Element
}

// submission holds the waiting tasks of one submission.
type submission struct {
	id   ident.SubmissionID
	team *team
	// entries holds the waiting tasks, the next first.
	entries list.List
	// turn is the element in the team's list.
	turn *list.Element
}

// New returns an empty queue for at most limit tasks.
func New(limit int) *Queue {
	return &Queue{
		limit:       limit,
		tasks:       make(map[ident.TaskID]*entry),
		submissions: make(map[ident.SubmissionID]*submission),
		teams:       make(map[ident.Team]*team),
	}
}

// SetLimit bounds the number of tasks that Push accepts. Tasks that wait
// already stay, even beyond the new limit.
func (q *Queue) SetLimit(n int) { q.limit = n }

// SetWeight sets the weight of a team, from 1 to maxWeight; other values are
// moved into that range. A team without a weight has weight 1.
func (q *Queue) SetWeight(name ident.Team, n int) { q.team(name).setWeight(n) }

// Forget drops the weight and the credit of a team that has left the
// configuration. It has no effect while tasks of the team wait.
func (q *Queue) Forget(name ident.Team) {
	if t := q.teams[name]; t != nil && t.waiting == 0 {
		delete(q.teams, name)
	}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.tasks) }

// Room returns how many more tasks Push accepts.
func (q *Queue) Room() int { return max(0, q.limit-len(q.tasks)) }

// Waiting returns the number of waiting tasks of a team.
func (q *Queue) Waiting(name ident.Team) int {
	if t := q.teams[name]; t != nil {
		return t.waiting
	}
	return 0
}

// Push adds a task behind the others of its submission. It returns false, and
// changes nothing, when the queue is full or the task waits already.
func (q *Queue) Push(t *work.Task) bool {
	if q.Room() == 0 || q.tasks[t.ID] != nil {
		return false
	}
	s := q.submissions[t.ID.Submission]
	if s == nil {
		s = q.newSubmission(t)
		s.turn = s.team.submissions.PushBack(s)
	}
	e := q.newEntry(t, s)
	e.turn = s.entries.PushBack(e)
	e.arrival = s.team.arrivals(e).PushBack(e)
	q.added(s.team)
	return true
}

// PushFront puts a task back that was handed out but did not start. The task
// is first in its submission and its submission first in its team, and the
// team gets back what the hand-out cost. The limit does not apply. A task that
// waits already is left where it is.
func (q *Queue) PushFront(t *work.Task) {
	if q.tasks[t.ID] != nil {
		return
	}
	s := q.submissions[t.ID.Submission]
	if s == nil {
		s = q.newSubmission(t)
		s.turn = s.team.submissions.PushFront(s)
	} else {
		s.team.submissions.MoveToFront(s.turn)
	}
	e := q.newEntry(t, s)
	e.turn = s.entries.PushFront(e)
	e.arrival = s.team.arrivals(e).PushFront(e)
	q.added(s.team)
	q.withdrawReady(s.team)
	s.team.refund(q.virtual)
	q.insertReady(s.team)
}

// Pop removes and returns the next task. It asks allow about the next task of
// each team, in the order in which the teams are due, until one is allowed;
// the teams passed over keep their credit. It returns nil when no task waits
// or none is allowed. A nil allow admits each task. Function allow must not
// change the queue.
func (q *Queue) Pop(allow func(*work.Task) bool) *work.Task {
	for _, t := range q.ready {
		s := t.submissions.Front().Value.(*submission)
		e := s.entries.Front().Value.(*entry)
		if allow != nil && !allow(e.task) {
			continue
		}
		q.withdrawReady(t)
		q.virtual = t.charge(q.virtual)
		q.insertReady(t)
		t.submissions.MoveToBack(s.turn)
		q.remove(e)
		return e.task
	}
	return nil
}

// Steal removes and returns up to n tasks for another instance, newest first
// from the team with the most waiting tasks. First tasks, which include all
// single requests, are taken only when no other task waits. The team is not
// charged here, since the other instance's queue charges it.
func (q *Queue) Steal(n int) []*work.Task {
	var stolen []*work.Task
	for len(stolen) < n && len(q.tasks) > 0 {
		e := q.newest(false)
		if e == nil {
			e = q.newest(true)
		}
		q.remove(e)
		stolen = append(stolen, e.task)
	}
	return stolen
}

// newest returns the newest first task, or the newest other task, of the team
// with the most waiting tasks among those that have one. The lower name wins
// a tie.
func (q *Queue) newest(first bool) *entry {
	var e *entry
	waiting := 0
	var name ident.Team
	for _, t := range q.ready {
		last := t.others.Back()
		if first {
			last = t.firsts.Back()
		}
		if last != nil && (t.waiting > waiting || t.waiting == waiting && t.name < name) {
			e, waiting, name = last.Value.(*entry), t.waiting, t.name
		}
	}
	return e
}

// Remove removes and returns the task with the id, or returns nil.
func (q *Queue) Remove(id ident.TaskID) *work.Task {
	e := q.tasks[id]
	if e == nil {
		return nil
	}
	q.remove(e)
	return e.task
}

// RemoveSubmission removes and returns the waiting tasks of a submission, in
// their order.
func (q *Queue) RemoveSubmission(id ident.SubmissionID) []*work.Task {
	s := q.submissions[id]
	if s == nil {
		return nil
	}
	var removed []*work.Task
	for s.entries.Len() > 0 {
		e := s.entries.Front().Value.(*entry)
		q.remove(e)
		removed = append(removed, e.task)
	}
	return removed
}

// Expire removes and returns the tasks whose deadline is not after now. A task
// without a deadline never expires.
func (q *Queue) Expire(now time.Time) []*work.Task {
	var expired []*work.Task
	for len(q.deadlines) > 0 && !q.deadlines[0].at.After(now) {
		e := q.deadlines[0].entry
		q.remove(e)
		expired = append(expired, e.task)
	}
	return expired
}

// NextDeadline returns the earliest deadline of a waiting task, or the zero
// time.
func (q *Queue) NextDeadline() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].at
}

// team returns the team of that name, which it creates if needed.
func (q *Queue) team(name ident.Team) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name}
		t.setWeight(1)
		q.teams[name] = t
	}
	return t
}

func (q *Queue) newSubmission(t *work.Task) *submission {
	s := &submission{id: t.ID.Submission, team: q.team(t.Team)}
	q.submissions[s.id] = s
	return s
}

// newEntry registers a task by id and deadline.
func (q *Queue) newEntry(t *work.Task, s *submission) *entry {
	e := &entry{task: t, submission: s, position: noDeadline}
	q.tasks[t.ID] = e
	if !t.Deadline.IsZero() {
		q.deadlines.push(e)
	}
	return e
}

// added counts a task that was added to t.
func (q *Queue) added(t *team) {
	t.waiting++
	if t.waiting == 1 {
		t.resume(q.virtual)
		q.insertReady(t)
	}
}

// remove takes an entry out of each structure at O(log n) cost.
func (q *Queue) remove(e *entry) {
	s := e.submission
	t := s.team
	s.entries.Remove(e.turn)
	t.arrivals(e).Remove(e.arrival)
	delete(q.tasks, e.task.ID)
	if e.position != noDeadline {
		q.deadlines.remove(e.position)
	}
	if s.entries.Len() == 0 {
		t.submissions.Remove(s.turn)
		delete(q.submissions, s.id)
	}
	t.waiting--
	if t.waiting == 0 {
		q.withdrawReady(t)
	}
}

// Package fairqueue selects the waiting task of a service that an instance
// starts next.
//
// It divides the task starts among the teams in proportion to their weights, by
// weighted fair queueing. Within a team, submissions are served round-robin.
// Within a submission, tasks are served in the order in which they were added.
package fairqueue

import (
	"container/list"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Queue holds the waiting tasks of one service at one instance. It contains
// each task id at most once. Queue is not safe for concurrent use.
type Queue struct {
	limit       int
	tasks       map[ident.TaskID]*queuedTask
	submissions map[ident.SubmissionID]*submission
	teams       map[ident.Team]*team
	// ready holds the teams with waiting tasks, ordered by virtual start time,
	// the next team to be served first.
	ready     []*team
	deadlines deadlineHeap
	// virtualNow is the virtual time of the queue: the highest virtual start
	// time of the tasks served so far.
	virtualNow virtualTime
}

// queuedTask is one waiting task.
type queuedTask struct {
	task       *work.Task
	submission *submission
	// heapIndex is the index in the deadline heap, or notInHeap.
	heapIndex int
	// element is the element in submission.waitingTasks, and arrivalElement the
	// one in team.firstTasks or team.otherTasks.
	element, arrivalElement *list.Element
}

// submission holds the waiting tasks of one submission.
type submission struct {
	id   ident.SubmissionID
	team *team
	// waitingTasks holds the waiting tasks, the next one to be served first.
	waitingTasks list.List
	// element is the element in team.submissions.
	element *list.Element
}

// New returns an empty queue for at most limit tasks.
func New(limit int) *Queue {
	return &Queue{
		limit:       limit,
		tasks:       make(map[ident.TaskID]*queuedTask),
		submissions: make(map[ident.SubmissionID]*submission),
		teams:       make(map[ident.Team]*team),
	}
}

// SetLimit sets the maximum number of waiting tasks, at which Push refuses
// further ones. Tasks that are waiting already stay in the queue, even if there
// are more than the new limit.
func (q *Queue) SetLimit(n int) { q.limit = n }

// SetWeight sets the weight of a team. Values outside the range from 1 to
// maxWeight are clamped to it. The default weight is 1.
func (q *Queue) SetWeight(name ident.Team, n int) { q.team(name).setWeight(n) }

// RemoveTeam removes the weight and the virtual time of a team that is no
// longer in the configuration. It has no effect while tasks of the team are
// waiting.
func (q *Queue) RemoveTeam(name ident.Team) {
	if t := q.teams[name]; t != nil && t.waiting == 0 {
		delete(q.teams, name)
	}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.tasks) }

// FreeCapacity returns the number of tasks that Push would still accept.
func (q *Queue) FreeCapacity() int { return max(0, q.limit-len(q.tasks)) }

// Waiting returns the number of waiting tasks of a team.
func (q *Queue) Waiting(name ident.Team) int {
	if t := q.teams[name]; t != nil {
		return t.waiting
	}
	return 0
}

// Push adds a task after the other tasks of its submission. It returns false,
// and changes nothing, when the queue is full or already contains the task.
func (q *Queue) Push(t *work.Task) bool {
	if q.FreeCapacity() == 0 || q.tasks[t.ID] != nil {
		return false
	}
	s := q.submissions[t.ID.Submission]
	if s == nil {
		s = q.newSubmission(t)
		s.element = s.team.submissions.PushBack(s)
	}
	e := q.newQueuedTask(t, s)
	e.element = s.waitingTasks.PushBack(e)
	e.arrivalElement = s.team.arrivalList(e).PushBack(e)
	q.recordTaskAdded(s.team)
	return true
}

// PushFront returns a task to the queue that was popped but did not start. The
// task becomes the first of its submission, the submission becomes the next of
// its team, and the charge for the Pop is refunded to the team. The limit does
// not apply. PushFront does nothing if the queue already contains the task.
func (q *Queue) PushFront(t *work.Task) {
	if q.tasks[t.ID] != nil {
		return
	}
	s := q.submissions[t.ID.Submission]
	if s == nil {
		s = q.newSubmission(t)
		s.element = s.team.submissions.PushFront(s)
	} else {
		s.team.submissions.MoveToFront(s.element)
	}
	e := q.newQueuedTask(t, s)
	e.element = s.waitingTasks.PushFront(e)
	e.arrivalElement = s.team.arrivalList(e).PushFront(e)
	q.recordTaskAdded(s.team)
	q.removeReady(s.team)
	s.team.refund(q.virtualNow)
	q.insertReady(s.team)
}

// Pop removes and returns the next task. It calls allow with the next task of
// each team, in the order of the teams' virtual times, until allow returns
// true. Teams that it skips are not charged and keep their credit. Pop returns
// nil when no task is waiting or none is allowed. A nil allow accepts every
// task. The function allow must not change the queue.
func (q *Queue) Pop(allow func(*work.Task) bool) *work.Task {
	for _, t := range q.ready {
		s := t.submissions.Front().Value.(*submission)
		e := s.waitingTasks.Front().Value.(*queuedTask)
		if allow != nil && !allow(e.task) {
			continue
		}
		q.removeReady(t)
		q.virtualNow = t.charge(q.virtualNow)
		q.insertReady(t)
		t.submissions.MoveToBack(s.element)
		q.remove(e)
		return e.task
	}
	return nil
}

// Steal removes and returns up to n tasks for another instance. Each is the
// newest task of the team with the most waiting tasks. First tasks of
// submissions, which include all submissions of a single task, are taken only
// when no other tasks are waiting. The team is not charged, since the queue of
// the other instance charges it.
func (q *Queue) Steal(n int) []*work.Task {
	var stolen []*work.Task
	for len(stolen) < n && len(q.tasks) > 0 {
		e := q.newestTask(false)
		if e == nil {
			e = q.newestTask(true)
		}
		q.remove(e)
		stolen = append(stolen, e.task)
	}
	return stolen
}

// newestTask returns the newest task of the team with the most waiting tasks.
// It considers only the first tasks of submissions if fromFirstTasks is set,
// and otherwise only the other tasks. Among teams with the same number of
// waiting tasks, the one with the lower name is used. It returns nil if there
// is no such task.
func (q *Queue) newestTask(fromFirstTasks bool) *queuedTask {
	var e *queuedTask
	waiting := 0
	var name ident.Team
	for _, t := range q.ready {
		last := t.otherTasks.Back()
		if fromFirstTasks {
			last = t.firstTasks.Back()
		}
		if last != nil && (t.waiting > waiting || t.waiting == waiting && t.name < name) {
			e, waiting, name = last.Value.(*queuedTask), t.waiting, t.name
		}
	}
	return e
}

// Remove removes and returns the task with the id. It returns nil if the task
// is not in the queue.
func (q *Queue) Remove(id ident.TaskID) *work.Task {
	e := q.tasks[id]
	if e == nil {
		return nil
	}
	q.remove(e)
	return e.task
}

// RemoveSubmission removes the waiting tasks of a submission and returns them
// in the order in which they would have been served.
func (q *Queue) RemoveSubmission(id ident.SubmissionID) []*work.Task {
	s := q.submissions[id]
	if s == nil {
		return nil
	}
	var removed []*work.Task
	for s.waitingTasks.Len() > 0 {
		e := s.waitingTasks.Front().Value.(*queuedTask)
		q.remove(e)
		removed = append(removed, e.task)
	}
	return removed
}

// Expire removes the tasks whose deadline is now or earlier and returns them,
// earliest deadline first. Tasks without a deadline never expire.
func (q *Queue) Expire(now time.Time) []*work.Task {
	var expired []*work.Task
	for len(q.deadlines) > 0 && !q.deadlines[0].at.After(now) {
		e := q.deadlines[0].queued
		q.remove(e)
		expired = append(expired, e.task)
	}
	return expired
}

// NextDeadline returns the earliest deadline of the waiting tasks, or the zero
// time if none has a deadline.
func (q *Queue) NextDeadline() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].at
}

// team returns the team with the name. If there is none, it creates one with
// weight 1.
func (q *Queue) team(name ident.Team) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name}
		t.setWeight(1)
		q.teams[name] = t
	}
	return t
}

// newSubmission registers the submission of a task by id. The caller adds it to
// the team's list.
func (q *Queue) newSubmission(t *work.Task) *submission {
	s := &submission{id: t.ID.Submission, team: q.team(t.Team)}
	q.submissions[s.id] = s
	return s
}

// newQueuedTask registers a task by id and deadline. The caller adds it to
// the lists of the submission and the team.
func (q *Queue) newQueuedTask(t *work.Task, s *submission) *queuedTask {
	e := &queuedTask{task: t, submission: s, heapIndex: notInHeap}
	q.tasks[t.ID] = e
	if !t.Deadline.IsZero() {
		q.deadlines.push(e)
	}
	return e
}

// recordTaskAdded updates t after a task was added to it. If this is the only
// waiting task of t, t becomes ready.
func (q *Queue) recordTaskAdded(t *team) {
	t.waiting++
	if t.waiting == 1 {
		t.activate(q.virtualNow)
		q.insertReady(t)
	}
}

// remove removes a task from all data structures in O(log n) time.
func (q *Queue) remove(e *queuedTask) {
	s := e.submission
	t := s.team
	s.waitingTasks.Remove(e.element)
	t.arrivalList(e).Remove(e.arrivalElement)
	delete(q.tasks, e.task.ID)
	if e.heapIndex != notInHeap {
		q.deadlines.remove(e.heapIndex)
	}
	if s.waitingTasks.Len() == 0 {
		t.submissions.Remove(s.element)
		delete(q.submissions, s.id)
	}
	t.waiting--
	if t.waiting == 0 {
		q.removeReady(t)
	}
}

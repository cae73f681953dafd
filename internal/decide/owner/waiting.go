package owner

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// waitingTasks holds the waiting tasks by batch, in a queue for each priority.
// The most urgent priority comes first.
type waitingTasks struct {
	queues []*priorityQueue
	tasks  int
	// counters holds the counters of each priority.
	counters map[int]*PriorityStats
}

// count returns the counters of a priority.
func (w *waitingTasks) count(priority int) *PriorityStats {
	if w.counters == nil {
		w.counters = map[int]*PriorityStats{}
	}
	if w.counters[priority] == nil {
		w.counters[priority] = &PriorityStats{Priority: priority}
	}
	return w.counters[priority]
}

// priorityQueue holds the batches of a priority that have waiting tasks.
type priorityQueue struct {
	priority int
	// begun holds batches of which some tasks have started, in the order in which
	// that happened.
	begun []*batch
	// fresh holds batches of which nothing has started, and surplus those of them
	// that come after the others.
	fresh, surplus batchQueue
	// stale is the number of entries in the lists that may be out of date.
	stale int
	// tasks is the number of waiting tasks.
	tasks int
	// passed is the work of more urgent tasks that have started while tasks of
	// this priority waited, less what these have started for it.
	passed float64
}

// minShare is the least part of the work that starts which a priority gets while
// it has tasks that can meet their target, however much more urgent work waits.
// Without it, a load of urgent work above the room would starve the others.
const minShare = 0.1

// section says which list of a priorityQueue a batch is in.
type section int

const (
	inNone section = iota
	inBegun
	inFresh
	inSurplus
)

// queue returns the queue of a priority.
func (w *waitingTasks) queue(priority int) *priorityQueue {
	i, ok := slices.BinarySearchFunc(w.queues, priority, func(q *priorityQueue, priority int) int { return cmp.Compare(q.priority, priority) })
	if !ok {
		w.queues = slices.Insert(w.queues, i, &priorityQueue{priority: priority})
	}
	return w.queues[i]
}

// len returns the number of waiting tasks.
func (w *waitingTasks) len() int { return w.tasks }

// all returns the waiting tasks. Tasks may be removed meanwhile.
func (w *waitingTasks) all() iter.Seq[*task] {
	return tasksOfBatches(func(yield func(*batch) bool) {
		for _, q := range w.queues {
			for _, part := range q.parts() {
				for b := range part.all() {
					if !yield(b) {
						return
					}
				}
			}
		}
	})
}

// add adds a task. A batch that is still listed keeps its position.
func (w *waitingTasks) add(t *task) {
	if t.queued {
		return
	}
	b := t.batch
	t.queued = true
	w.tasks++
	w.queue(b.priority).tasks++
	b.queued.add(t)
	b.load.add(t)
	w.list(b)
}

// remove removes a task.
func (w *waitingTasks) remove(t *task) {
	if !t.queued {
		return
	}
	b := t.batch
	t.queued = false
	w.tasks--
	b.queued.remove(t)
	b.load.remove(t)
	q := w.queue(b.priority)
	if len(b.queued) == 0 {
		q.stale++
	}
	if q.tasks--; q.tasks == 0 {
		q.passed = 0
	}
}

// countStart counts a task that starts towards the share of less urgent tasks
// that wait.
func (w *waitingTasks) countStart(t *task) {
	work := t.batch.taskWork()
	moreUrgentWait := false
	for _, q := range w.queues {
		switch {
		case q.priority == t.batch.priority:
			q.passed = max(0, q.passed-work/minShare)
		case q.priority > t.batch.priority && q.tasks > 0:
			q.passed += work
		default:
			moreUrgentWait = moreUrgentWait || (q.priority < t.batch.priority && q.tasks > 0)
		}
	}
	c := w.count(t.batch.priority)
	c.Started++
	if moreUrgentWait {
		c.StartedFirst++
	}
}

// taskWork returns the work of a task of the batch by its estimate, in
// processor time.
func (b *batch) taskWork() float64 { return float64(b.needs.Room.CPU) * b.needs.Estimate.Seconds() }

// due reports whether the priority comes before more urgent ones, since less than
// minShare of the work was its.
func (q *priorityQueue) due(inTime []turn) bool {
	if q.passed == 0 {
		return false
	}
	for _, t := range inTime {
		for b := range t.all() {
			return q.passed*minShare >= b.taskWork()
		}
	}
	return false
}

// list puts a batch with waiting tasks into the list that it belongs to.
func (w *waitingTasks) list(b *batch) {
	wanted := inFresh
	switch {
	case b.touched:
		wanted = inBegun
	case b.surplus:
		wanted = inSurplus
	}
	if b.section == wanted {
		return
	}
	q := w.queue(b.priority)
	if b.section != inNone {
		q.stale++
	}
	b.section = wanted
	switch wanted {
	case inBegun:
		q.begun = append(q.begun, b)
	case inFresh:
		q.fresh.add(b)
	case inSurplus:
		q.surplus.add(b)
	}
}

// noteStarted records that a task of the batch has started, so that the others
// come next.
func (w *waitingTasks) noteStarted(b *batch) {
	b.touched = true
	if len(b.queued) > 0 {
		w.list(b)
	}
}

// promote lets surplus batches that can still meet their target wait with the
// others of their priority, by their latest start, once the load has fallen.
func (w *waitingTasks) promote(now time.Time) {
	for _, q := range w.queues {
		_, inTime := q.surplus.split(now)
		for b := range (&turn{in: inSurplus, batches: inTime}).all() {
			if !b.load.hasSpace(b.priority) {
				continue
			}
			b.surplus = false
			for _, t := range b.queued {
				b.load.add(t)
			}
			w.list(b)
		}
	}
}

// maxStale is the number of outdated entries of a queue from which on compact
// drops them.
const maxStale = 32

// compact drops outdated entries once there are many, and queues of priorities
// that no batch has any more.
func (w *waitingTasks) compact() {
	w.queues = slices.DeleteFunc(w.queues, func(q *priorityQueue) bool {
		if q.stale >= maxStale {
			q.stale = 0
			q.begun = compactBatches(q.begun, inBegun)
			q.fresh.batches = compactBatches(q.fresh.batches, inFresh)
			q.surplus.batches = compactBatches(q.surplus.batches, inSurplus)
		}
		return len(q.begun)+len(q.fresh.batches)+len(q.surplus.batches) == 0
	})
}

// compactBatches drops the batches that are not in that section any more, or have
// no waiting tasks.
func compactBatches(batches []*batch, in section) []*batch {
	return slices.DeleteFunc(batches, func(b *batch) bool {
		if b.section == in && len(b.queued) == 0 {
			b.section = inNone
		}
		return b.section != in
	})
}

// turn is a part of the waiting tasks. Its batches are served in order, and
// before those of later turns.
type turn struct {
	priority int
	in       section
	// late is set if the batches can no longer meet their target.
	late    bool
	batches []*batch
}

// parts returns all batches of the queue, by section.
func (q *priorityQueue) parts() []turn {
	return []turn{
		{priority: q.priority, in: inBegun, batches: q.begun}, {priority: q.priority, in: inFresh, batches: q.fresh.batches},
		{priority: q.priority, in: inSurplus, batches: q.surplus.batches},
	}
}

// turns returns the waiting tasks in the order in which they are served. By
// priority, the rest of batches that have started comes first, since a job is
// worth nothing without its last task, and then batches that can still meet
// their target, by their latest start. Those that cannot come last. A priority
// that is due comes before more urgent ones.
func (w *waitingTasks) turns(now time.Time) []turn {
	turns := make([]turn, 0, 5*len(w.queues))
	var late []turn
	dueTurns := 0
	add := func(list *[]turn, t turn) {
		if len(t.batches) > 0 {
			*list = append(*list, t)
		}
	}
	for _, q := range w.queues {
		freshLate, freshInTime := q.fresh.split(now)
		surplusLate, surplusInTime := q.surplus.split(now)
		first := len(turns)
		add(&turns, turn{priority: q.priority, in: inBegun, batches: q.begun})
		add(&turns, turn{priority: q.priority, in: inFresh, batches: freshInTime})
		add(&turns, turn{priority: q.priority, in: inSurplus, batches: surplusInTime})
		if own := slices.Clone(turns[first:]); first > dueTurns && q.due(own) {
			turns = slices.Insert(turns[:first], dueTurns, own...)
			dueTurns += len(own)
		}
		add(&late, turn{priority: q.priority, in: inFresh, late: true, batches: freshLate})
		add(&late, turn{priority: q.priority, in: inSurplus, late: true, batches: surplusLate})
	}
	return append(turns, late...)
}

// all returns the batches of the turn that still have waiting tasks and were not
// moved to another one.
func (t *turn) all() iter.Seq[*batch] {
	return func(yield func(*batch) bool) {
		for _, b := range t.batches {
			if b.section == t.in && len(b.queued) > 0 && !yield(b) {
				return
			}
		}
	}
}

// tasks returns the waiting tasks of the turn.
func (t *turn) tasks() iter.Seq[*task] { return tasksOfBatches(t.all()) }

package owner

import (
	"iter"
	"slices"
	"time"
)

// taskQueue holds the waiting tasks in the order of their startBy. A task that
// is removed stays in the list until compact, so that removals from a long
// queue are cheap.
type taskQueue struct {
	tasks []*task
	// removed is the number of tasks in the list that are no longer queued.
	removed int
}

// maxRemoved is the number of removed tasks from which on compact drops them.
// It is well below scanLimit, so that searches still reach tasks that wait.
const maxRemoved = scanLimit / 4

// len returns the number of waiting tasks.
func (q *taskQueue) len() int { return len(q.tasks) - q.removed }

// all returns the waiting tasks.
func (q *taskQueue) all() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range q.tasks {
			if t.queued && !yield(t) {
				return
			}
		}
	}
}

// split returns the tasks that can no longer meet their target and those that
// can. Both lists may hold tasks that are no longer queued, and are valid until
// the queue changes.
func (q *taskQueue) split(now time.Time) (late, inTime []*task) {
	first := q.search(func(startBy time.Time) bool { return !startBy.Before(now) })
	return q.tasks[:first], q.tasks[first:]
}

// search returns the position of the first task whose startBy fulfils the
// condition, which must hold for all later ones.
func (q *taskQueue) search(holds func(startBy time.Time) bool) int {
	index, _ := slices.BinarySearchFunc(q.tasks, holds, func(t *task, holds func(time.Time) bool) int {
		if holds(t.batch.startBy()) {
			return 1
		}
		return -1
	})
	return index
}

// add adds a task after those with the same startBy. A removed task that is
// still in the list gets its place back.
func (q *taskQueue) add(t *task) {
	if t.queued {
		return
	}
	t.queued = true
	t.batch.queuedTasks++
	t.batch.load.add(t)
	if t.listed {
		q.removed--
		return
	}
	t.listed = true
	by := t.batch.startBy()
	index := q.search(func(startBy time.Time) bool { return startBy.After(by) })
	q.tasks = slices.Insert(q.tasks, index, t)
}

// remove removes a task.
func (q *taskQueue) remove(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	t.batch.queuedTasks--
	t.batch.load.remove(t)
	q.removed++
}

// compact drops the removed tasks from the list once there are many.
func (q *taskQueue) compact() {
	if q.removed < maxRemoved {
		return
	}
	q.removed = 0
	q.tasks = slices.DeleteFunc(q.tasks, func(t *task) bool {
		t.listed = t.queued
		return !t.queued
	})
}

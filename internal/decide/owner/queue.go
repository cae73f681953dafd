package owner

import (
	"iter"
	"slices"
	"time"
)

// batchQueue holds batches with waiting tasks in the order of their startBy. A
// batch that leaves stays in the list until compact, so that removals from a long
// queue are cheap.
type batchQueue struct{ batches []*batch }

// add adds a batch after those with the same startBy.
func (q *batchQueue) add(b *batch) {
	by := b.startBy()
	index := q.search(func(startBy time.Time) bool { return startBy.After(by) })
	q.batches = slices.Insert(q.batches, index, b)
}

// search returns the position of the first batch whose startBy fulfils the
// condition, which must hold for all later ones.
func (q *batchQueue) search(holds func(startBy time.Time) bool) int {
	index, _ := slices.BinarySearchFunc(q.batches, holds, func(b *batch, holds func(time.Time) bool) int {
		if holds(b.startBy()) {
			return 1
		}
		return -1
	})
	return index
}

// split returns the batches that can no longer meet their target and those that
// can. Both lists may hold batches that have left, and are valid until the queue
// changes.
func (q *batchQueue) split(now time.Time) (late, inTime []*batch) {
	first := q.search(func(startBy time.Time) bool { return !startBy.Before(now) })
	return q.batches[:first], q.batches[first:]
}

// queuedTasks holds the waiting tasks of a batch in the order of their indexes.
type queuedTasks []*task

// add adds a task, and remove removes it.
func (q *queuedTasks) add(t *task) {
	index, _ := slices.BinarySearchFunc(*q, t.key.Index, func(o *task, index int) int { return o.key.Index - index })
	*q = slices.Insert(*q, index, t)
}

func (q *queuedTasks) remove(t *task) {
	if (*q)[0] == t { // the usual case: tasks start in order
		*q = (*q)[1:]
		return
	}
	*q = slices.DeleteFunc(*q, func(o *task) bool { return o == t })
}

// tasksOfBatches returns the waiting tasks of the batches. Tasks may be added
// and removed meanwhile.
func tasksOfBatches(batches iter.Seq[*batch]) iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for b := range batches {
			for _, t := range slices.Clone(b.queued) {
				if t.queued && !yield(t) {
					return
				}
			}
		}
	}
}

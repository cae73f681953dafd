package owner

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaitingTasks compares the queues, with removals, tasks that return, batches
// that begin and compactions, with a plain sorted list. It guards against tasks
// that are lost, are listed twice or lose their turn.
func TestWaitingTasks(t *testing.T) {
	is := is.New(t)
	const n = 8 * maxStale
	now := time.UnixMilli(n / 10)
	tasks := make([]*task, n)
	var w waitingTasks
	for i := range tasks {
		// Every fifth batch has the same startBy.
		target := time.UnixMilli(int64(i * 7919 % n / 5))
		tasks[i] = &task{batch: &batch{target: target, load: &load{}, priority: i % 3, surplus: i%7 == 0}}
		w.add(tasks[i])
	}
	rank := func(t *task) (late, priority, place int) {
		b := t.batch
		place = int(b.section)
		if b.section != inBegun && b.target.Before(now) {
			late = 1
		}
		return late, b.priority, place
	}
	check := func() {
		t.Helper()
		var want []*task
		for _, t := range tasks {
			if t.queued {
				want = append(want, t)
			}
		}
		is.Equal(w.len(), len(want))
		var got []*task
		for _, turn := range w.turns(now) {
			got = append(got, slices.Collect(turn.tasks())...)
		}
		slices.SortStableFunc(want, func(a, b *task) int {
			lateA, priorityA, placeA := rank(a)
			lateB, priorityB, placeB := rank(b)
			order := cmp.Or(cmp.Compare(lateA, lateB), cmp.Compare(priorityA, priorityB), cmp.Compare(placeA, placeB))
			if placeA == int(inBegun) {
				return order // in the order in which they began
			}
			return cmp.Or(order, a.batch.target.Compare(b.batch.target))
		})
		is.True(slices.Equal(got, want))
		is.Equal(len(slices.Collect(w.all())), len(want))
	}
	remove := func(from, to int) {
		for _, t := range tasks[from:to] {
			w.remove(t)
			w.remove(t)
		}
	}
	check()
	remove(10, 20)
	w.compact()
	check()
	w.add(tasks[15])
	w.add(tasks[15])
	check()
	for i := 100; i < 130; i += 4 {
		w.noteStarted(tasks[i].batch)
	}
	check()
	remove(30, 30+4*maxStale)
	w.compact()
	check()
	for _, q := range w.queues {
		is.True(len(q.begun)+len(q.fresh.batches)+len(q.surplus.batches) < n/3)
	}
	w.add(tasks[40])
	w.add(tasks[n-1])
	check()
	remove(0, n)
	for range 2 {
		for _, q := range w.queues {
			q.stale = maxStale
		}
		w.compact()
	}
	is.Equal(len(w.queues), 0)
}

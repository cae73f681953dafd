package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTaskQueue compares the queue, with removals, tasks that return and
// compactions, with a plain sorted list.
func TestTaskQueue(t *testing.T) {
	is := is.New(t)
	const n = 4 * maxRemoved
	tasks := make([]*task, n)
	var q taskQueue
	for i := range tasks {
		// Every fifth task has the same startBy.
		target := time.UnixMilli(int64(i * 7919 % n / 5))
		tasks[i] = &task{batch: &batch{target: target, load: &load{}}}
		q.add(tasks[i])
	}
	remove := func(from, to int) {
		for _, t := range tasks[from:to] {
			q.remove(t)
			q.remove(t)
		}
	}
	check := func() {
		t.Helper()
		var want []*task
		for _, t := range tasks {
			if t.queued {
				want = append(want, t)
			}
		}
		slices.SortStableFunc(want, func(a, b *task) int { return a.batch.target.Compare(b.batch.target) })
		is.Equal(q.len(), len(want))
		is.True(slices.Equal(slices.Collect(q.all()), want))
		late, inTime := q.split(time.UnixMilli(n / 10))
		is.Equal(len(late)+len(inTime), len(q.tasks))
		is.True(!slices.ContainsFunc(late, func(t *task) bool { return t.batch.target.UnixMilli() >= n/10 }))
		is.True(!slices.ContainsFunc(inTime, func(t *task) bool { return t.batch.target.UnixMilli() < n/10 }))
	}
	check()
	remove(10, 20)
	q.compact()
	is.Equal(len(q.tasks), n)
	check()
	q.add(tasks[15])
	q.add(tasks[15])
	check()
	remove(30, 30+maxRemoved)
	q.compact()
	is.Equal(len(q.tasks), q.len())
	check()
	q.add(tasks[n-1])
	is.Equal(q.len(), n-9-maxRemoved)
}

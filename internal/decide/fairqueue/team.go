package fairqueue

import (
	"container/list"
	"slices"
	"sort"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// virtualTime measures service per unit of weight. One task of a team of
// weight w advances the team's own virtual time by taskTime/w.
type virtualTime int64

// taskTime is the virtual time of one task at weight 1. It is a power of two so
// that common weights divide it, and leaves room for 2^43 tasks.
const taskTime virtualTime = 1 << 20

// maxWeight keeps the step of a task above zero, and its rounding error below
// one part in a thousand.
const maxWeight = 1000

// maxCredit bounds, in tasks, how far a team that was passed over for a long
// time may run ahead of the others afterwards. Without a bound, a team that
// leaves its max-running limit after an hour would stop the others for as long.
const maxCredit = 64

// team holds the waiting tasks of one team.
type team struct {
	name ident.Team
	// due is the team's virtual time; the team with the lowest is next.
	due  virtualTime
	step virtualTime

	waiting int
	// submissions holds those with waiting tasks, the next to be served first.
	submissions list.List
	// firsts and others hold the tasks in order of arrival: those with index
	// 0, which include all single requests, and the rest.
	firsts, others list.List
}

func (t *team) setWeight(n int) {
	t.step = taskTime / virtualTime(min(max(n, 1), maxWeight))
}

// resume sets the virtual time of a team that had no waiting task. Idle time
// earns no credit, and going idle cancels no debt.
func (t *team) resume(now virtualTime) { t.due = max(t.due, now) }

// charge accounts for one served task and returns the new virtual time of the
// queue.
func (t *team) charge(now virtualTime) virtualTime {
	at := max(t.due, now-maxCredit*t.step)
	t.due = at + t.step
	return max(now, at)
}

// refund reverses one charge.
func (t *team) refund(now virtualTime) {
	t.due = max(t.due-t.step, now-maxCredit*t.step)
}

// arrivals returns the arrival list that e belongs to.
func (t *team) arrivals(e *entry) *list.List {
	if e.task.ID.Index == 0 {
		return &t.firsts
	}
	return &t.others
}

// insertReady puts t behind the ready teams that are due no later.
func (q *Queue) insertReady(t *team) {
	i := sort.Search(len(q.ready), func(i int) bool { return q.ready[i].due > t.due })
	q.ready = slices.Insert(q.ready, i, t)
}

// withdrawReady takes t out of the ready teams.
func (q *Queue) withdrawReady(t *team) {
	i := sort.Search(len(q.ready), func(i int) bool { return q.ready[i].due >= t.due })
	for q.ready[i] != t {
		i++
	}
	q.ready = slices.Delete(q.ready, i, i+1)
}

package fairqueue

import (
	"container/list"
	"slices"
	"sort"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// virtualTime measures the service that a team has received, divided by its
// weight. One task of a team of weight w advances the virtual time of the team
// by baseTaskCost/w.
type virtualTime int64

// baseTaskCost is the virtual time of one task at weight 1. It is a power of
// two, so that weights that are powers of two divide it exactly. The range of
// virtualTime suffices for 2^43 such tasks.
const baseTaskCost virtualTime = 1 << 20

// maxWeight is the highest weight of a team. It keeps the virtual time of a
// task above zero, and its rounding error below one part in a thousand.
const maxWeight = 1000

// maxCredit is the maximum credit in tasks. A team has credit if its virtual
// start is behind the virtual time of the queue. With it, a team that Pop
// skipped for a long time catches up before the other teams are served again.
// Without this limit, a team that was at its max-running limit for an hour
// could then block the other teams for as long.
const maxCredit = 64

// team holds the waiting tasks of one team.
type team struct {
	name ident.Team
	// virtualStart is the virtual time at which the team's next task starts.
	// The team with the lowest one is served next.
	virtualStart virtualTime
	// taskCost is the virtual time of one task of the team.
	taskCost virtualTime

	// waiting is the number of waiting tasks.
	waiting int
	// submissions holds the submissions with waiting tasks, the next one to be
	// served first.
	submissions list.List
	// firstTasks holds the waiting tasks with index 0, which include those of
	// all submissions of a single task, and otherTasks the remaining ones, both
	// in order of arrival.
	firstTasks, otherTasks list.List
}

// setWeight sets the weight, which it clamps to the range from 1 to maxWeight.
func (t *team) setWeight(n int) {
	t.taskCost = baseTaskCost / virtualTime(min(max(n, 1), maxWeight))
}

// activate updates the virtual time of a team that had no waiting tasks. The
// team gains no credit for the time without tasks, and keeps a virtual time
// that is ahead of the queue's.
func (t *team) activate(virtualNow virtualTime) { t.virtualStart = max(t.virtualStart, virtualNow) }

// charge adds the cost of one served task to the virtual time of the team. It
// takes the virtual time of the queue and returns the new one.
func (t *team) charge(virtualNow virtualTime) virtualTime {
	start := max(t.virtualStart, virtualNow-maxCredit*t.taskCost)
	t.virtualStart = start + t.taskCost
	return max(virtualNow, start)
}

// refund takes back the charge for one task, within the limit of maxCredit.
func (t *team) refund(virtualNow virtualTime) {
	t.virtualStart = max(t.virtualStart-t.taskCost, virtualNow-maxCredit*t.taskCost)
}

// arrivalList returns the list of the team that holds e in order of arrival.
func (t *team) arrivalList(e *queuedTask) *list.List {
	if e.task.ID.Index == 0 {
		return &t.firstTasks
	}
	return &t.otherTasks
}

// insertReady adds t to the ready teams, after those with the same or a lower
// virtual start time.
func (q *Queue) insertReady(t *team) {
	i := sort.Search(len(q.ready), func(i int) bool { return q.ready[i].virtualStart > t.virtualStart })
	q.ready = slices.Insert(q.ready, i, t)
}

// removeReady removes t from the ready teams. The virtual time of t must not
// have changed since insertReady.
func (q *Queue) removeReady(t *team) {
	i := sort.Search(len(q.ready), func(i int) bool { return q.ready[i].virtualStart >= t.virtualStart })
	for q.ready[i] != t {
		i++
	}
	q.ready = slices.Delete(q.ready, i, i+1)
}

package home

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// When this home follows another owner, the earlier one may go on: it may be
// slow, or cut off from the new owner only. The polls of the new owner then do
// not prove that the earlier one starts nothing afterwards. The home therefore
// asks it to release the tasks, that is, to drop their orders, and places the
// tasks at the new owner once it has done so. An owner whose link is lost cannot
// be asked: it drops the tasks when it notices the loss, and the new owner waits
// for that as owner.Config.ForeignStartDelay says.

// RequestRelease asks to send a process the number of the latest order, up to
// which it must release the orders of this home.
type RequestRelease struct{ From ident.Process }

func (RequestRelease) action() {}

// releaseTimeout is how long the home waits for a linked process to release
// tasks. A process that does not answer for that long counts as lost.
const releaseTimeout = 500 * time.Millisecond

// LastPlacement returns the number of the latest order.
func (t *Table) LastPlacement() uint64 { return t.lastPlacement }

// requestReleases asks all processes that may still start tasks, other than the
// owner, to release them.
func (t *Table) requestReleases(now time.Time) {
	clear(t.releases)
	for _, j := range t.jobs {
		for _, p := range j.unreleased(t.owner) {
			t.releases[p] = now.Add(releaseTimeout)
		}
	}
	for _, p := range slices.SortedFunc(maps.Keys(t.releases), compareProcesses) {
		if !t.linked(p) {
			t.release(p, t.lastPlacement)
			continue
		}
		t.actions = append(t.actions, RequestRelease{From: p})
	}
}

func compareProcesses(a, b ident.Process) int {
	return strings.Compare(string(a.Instance), string(b.Instance))
}

// unreleased returns the processes other than the owner that may still start
// tasks of the job.
func (j *openJob) unreleased(owner ident.Process) []ident.Process {
	var list []ident.Process
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			task := &j.steps[i].tasks[k]
			for _, p := range task.placements {
				if !task.done && !p.released && p.to != owner && !slices.Contains(list, p.to) {
					list = append(list, p.to)
				}
			}
		}
	}
	return list
}

// release records that a process does not start tasks of orders up to a number
// any more.
func (t *Table) release(from ident.Process, upTo uint64) {
	if upTo >= t.lastPlacementAt[from] {
		delete(t.releases, from)
	}
	for _, j := range t.jobs {
		for i := range j.steps {
			for k := range j.steps[i].tasks {
				placements := j.steps[i].tasks[k].placements
				for n := range placements {
					if p := &placements[n]; p.to == from && p.number <= upTo {
						p.released = true
					}
				}
			}
		}
	}
}

// HandleReleased records that a process has released all orders up to a number,
// and places the tasks that have waited for this. If it is the owner, which was
// told of another owner meanwhile, its tasks are placed there again.
func (t *Table) HandleReleased(now time.Time, from ident.Process, upTo uint64) []Action {
	switch {
	case !t.releases[from].IsZero():
		t.release(from, upTo)
		t.placeHeld(now)
	case t.ownerKnown && from == t.owner:
		for id, j := range t.jobs {
			if j.releasedBy(from, upTo) {
				t.rejectedJobs[id] = true
				t.placeAgainAt = now.Add(placeRetryDelay)
			}
		}
	}
	return t.flush()
}

// releasedBy reports whether the latest placement of a task is at the process
// and among those that it has released.
func (j *openJob) releasedBy(from ident.Process, upTo uint64) bool {
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			task := &j.steps[i].tasks[k]
			if n := len(task.placements); n > 0 && !task.done && task.lastPlacement <= upTo && task.placements[n-1].to == from {
				return true
			}
		}
	}
	return false
}

// expireReleases gives up waiting for processes that do not answer.
func (t *Table) expireReleases(now time.Time) {
	for _, p := range slices.SortedFunc(maps.Keys(t.releases), compareProcesses) {
		if !now.Before(t.releases[p]) {
			t.release(p, t.lastPlacement)
		}
	}
	t.placeHeld(now)
}

// placeHeld places the tasks of jobs that no earlier owner may start any more.
func (t *Table) placeHeld(now time.Time) {
	if !t.ownerKnown || len(t.held) == 0 {
		return
	}
	var orders []job.Order
	for _, id := range slices.Sorted(maps.Keys(t.held)) {
		delete(t.held, id)
		orders = append(orders, t.ordersForOwner(now, t.jobs[id])...)
	}
	if len(orders) > 0 {
		t.actions = append(t.actions, Place{To: t.owner, Orders: orders})
	}
}

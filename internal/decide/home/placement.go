package home

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// placement is an order for a task at a process that has not reported an end of
// the task for it. While a placement is open, that process may have started the
// task, or may start it.
type placement struct {
	number uint64
	to     ident.Process
	// released is set once the process does not start the task any more, or
	// cannot be asked. It may have started it before.
	released bool
}

// place records that the task goes to a process with an order.
func (s *taskState) place(p placement) {
	s.placements = append(s.placements, p)
	s.lastPlacement = p.number
}

// closePlacement closes the placement that an end belongs to, and reports
// whether it was the latest one of the task. An end for an earlier placement, or
// for an earlier submission of the job, shows nothing about the latest one. An
// instance of an earlier version sends no number: its end is taken for one of the
// latest placement, which stays open.
func (s *taskState) closePlacement(from ident.Process, end *job.TaskEnd) (latest bool) {
	if n := len(s.placements); end.Placement == 0 && n > 0 {
		last := s.placements[n-1]
		return last.number == s.lastPlacement && last.to == from
	}
	i := slices.IndexFunc(s.placements, func(p placement) bool { return p.number == end.Placement && p.to == from })
	if i < 0 {
		return false
	}
	s.placements = slices.Delete(s.placements, i, i+1)
	return end.Placement == s.lastPlacement
}

// openAt returns the processes with open placements of the job's tasks, each
// once, in the order of the tasks.
func (j *openJob) openAt() []ident.Process {
	var list []ident.Process
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			for _, p := range j.steps[i].tasks[k].placements {
				if !slices.Contains(list, p.to) {
					list = append(list, p.to)
				}
			}
		}
	}
	return list
}

// abortResult returns the result of a job that ends unfinished: Refused if none
// of its tasks has run and no process may still start one, or else Overdue.
func (j *openJob) abortResult() Result {
	if j.mayHaveRun || len(j.openAt()) > 0 {
		return Overdue
	}
	return Refused
}

// abandonedJob holds the tasks of a job that was closed at a time.
type abandonedJob struct {
	steps []stepState
	at    time.Time
}

// placementRetention is how long the placements of a closed job are kept. It
// exceeds owner.Config.ForeignStartDelay, by which its runs have ended as a rule.
const placementRetention = 2 * time.Second

// keepPlacements keeps the open placements of a job that is closed. Its runs may
// go on for a moment, also after its caller has submitted it again.
func (t *Table) keepPlacements(now time.Time, j *openJob) {
	if len(j.openAt()) == 0 {
		return
	}
	for id, a := range t.abandoned {
		if now.Sub(a.at) >= placementRetention {
			delete(t.abandoned, id)
		}
	}
	t.abandoned[j.spec.ID] = abandonedJob{steps: j.steps, at: now}
}

// restorePlacements adds the open placements of an earlier submission of the job
// to its tasks.
func (t *Table) restorePlacements(now time.Time, j *openJob) {
	a, ok := t.abandoned[j.spec.ID]
	delete(t.abandoned, j.spec.ID)
	if !ok || now.Sub(a.at) >= placementRetention || len(a.steps) != len(j.steps) {
		return
	}
	for i := range j.steps {
		for k := range min(len(j.steps[i].tasks), len(a.steps[i].tasks)) {
			earlier, task := &a.steps[i].tasks[k], &j.steps[i].tasks[k]
			task.minRun = earlier.minRun + runNumberGap
			task.placements = append(task.placements, earlier.placements...)
		}
	}
}

package fairqueue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/fairqueue"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

// TestMain sets a fixed seed, and the numbers of checks and steps, for the
// property-based tests.
func TestMain(m *testing.M) {
	rapidseed.Run(m, map[string]string{"rapid.checks": "1000", "rapid.steps": "80"})
}

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func newTask(team string, sequence uint64, index int) *work.Task {
	id := ident.SubmissionID{DataCentre: "penang-1", Instance: "entry-1", Incarnation: 1, Sequence: sequence}
	return &work.Task{ID: ident.TaskID{Submission: id, Index: index}, Team: ident.Team(team)}
}

// describe returns the sequence number and the index of a task.
func describe(t *work.Task) string {
	if t == nil {
		return "none"
	}
	return fmt.Sprintf("%d.%d", t.ID.Submission.Sequence, t.ID.Index)
}

func describeAll(tasks []*work.Task) string {
	s := ""
	for _, t := range tasks {
		s += describe(t) + " "
	}
	return s
}

// naiveQueue is a simple implementation of Queue that scans slices on each
// call. The number 64 in its methods is the maximum credit.
type naiveQueue struct {
	limit           int
	tasks           []*work.Task         // in order of arrival; tasks put back come first
	submissionOrder []ident.SubmissionID // round-robin order of the submissions of all teams
	virtualStart    map[ident.Team]int   // in units of 1/60 task at weight 1
	taskCost        map[ident.Team]int
	tieOrder        []ident.Team // order of service of teams with equal virtual times
	virtualNow      int
}

func (n *naiveQueue) has(id ident.TaskID) bool {
	return slices.ContainsFunc(n.tasks, func(t *work.Task) bool { return t.ID == id })
}

func (n *naiveQueue) waiting(team ident.Team) int {
	count := 0
	for _, t := range n.tasks {
		if t.Team == team {
			count++
		}
	}
	return count
}

func (n *naiveQueue) insert(t *work.Task, front bool) bool {
	if n.has(t.ID) || !front && len(n.tasks) >= n.limit {
		return false
	}
	id := t.ID.Submission
	if n.waiting(t.Team) == 0 {
		n.virtualStart[t.Team] = max(n.virtualStart[t.Team], n.virtualNow)
		n.requeue(t.Team)
	}
	if front {
		n.tasks = slices.Insert(n.tasks, 0, t)
		n.submissionOrder = slices.DeleteFunc(n.submissionOrder, func(s ident.SubmissionID) bool { return s == id })
		n.submissionOrder = slices.Insert(n.submissionOrder, 0, id)
		n.virtualStart[t.Team] = max(n.virtualStart[t.Team]-n.taskCost[t.Team], n.virtualNow-64*n.taskCost[t.Team])
		n.requeue(t.Team)
		return true
	}
	n.tasks = append(n.tasks, t)
	if !slices.Contains(n.submissionOrder, id) {
		n.submissionOrder = append(n.submissionOrder, id)
	}
	return true
}

// requeue moves a team behind the others with the same virtual time.
func (n *naiveQueue) requeue(team ident.Team) {
	n.tieOrder = slices.DeleteFunc(n.tieOrder, func(t ident.Team) bool { return t == team })
	n.tieOrder = append(n.tieOrder, team)
}

// take removes and returns the first task that matches, or returns nil.
func (n *naiveQueue) take(match func(*work.Task) bool) *work.Task {
	i := slices.IndexFunc(n.tasks, match)
	if i < 0 {
		return nil
	}
	t := n.tasks[i]
	n.tasks = slices.Delete(n.tasks, i, i+1)
	same := func(o *work.Task) bool { return o.ID.Submission == t.ID.Submission }
	if !slices.ContainsFunc(n.tasks, same) {
		n.submissionOrder = slices.DeleteFunc(n.submissionOrder, func(s ident.SubmissionID) bool { return s == t.ID.Submission })
	}
	return t
}

// next returns the next task of a team, or nil.
func (n *naiveQueue) next(team ident.Team) *work.Task {
	for _, s := range n.submissionOrder {
		for _, t := range n.tasks {
			if t.Team == team && t.ID.Submission == s {
				return t
			}
		}
	}
	return nil
}

func (n *naiveQueue) pop(allow func(*work.Task) bool) *work.Task {
	teams := slices.Clone(n.tieOrder)
	slices.SortStableFunc(teams, func(a, b ident.Team) int { return n.virtualStart[a] - n.virtualStart[b] })
	for _, team := range teams {
		t := n.next(team)
		if t == nil || !allow(t) {
			continue
		}
		at := max(n.virtualStart[team], n.virtualNow-64*n.taskCost[team])
		n.virtualStart[team], n.virtualNow = at+n.taskCost[team], max(n.virtualNow, at)
		n.requeue(team)
		n.take(func(o *work.Task) bool { return o == t })
		if i := slices.Index(n.submissionOrder, t.ID.Submission); i >= 0 {
			n.submissionOrder = append(slices.Delete(n.submissionOrder, i, i+1), t.ID.Submission)
		}
		return t
	}
	return nil
}

func (n *naiveQueue) steal() *work.Task {
	for _, first := range []bool{false, true} {
		var best *work.Task
		for _, t := range n.tasks {
			if (t.ID.Index == 0) != first {
				continue
			}
			if best == nil || n.waiting(t.Team) > n.waiting(best.Team) ||
				n.waiting(t.Team) == n.waiting(best.Team) && t.Team <= best.Team {
				best = t
			}
		}
		if best != nil {
			return n.take(func(o *work.Task) bool { return o == best })
		}
	}
	return nil
}

// TestQueueMatchesNaiveQueue guards against tasks that are lost, returned twice
// or returned in the wrong order. It makes random sequences of calls on Queue
// and on a simple implementation, and compares the results.
func TestQueueMatchesNaiveQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := fairqueue.New(24)
		n := &naiveQueue{limit: 24, virtualStart: map[ident.Team]int{}, taskCost: map[ident.Team]int{}}
		teams := []string{"a", "b", "c", "d"}
		for i, name := range teams {
			weight := []int{1, 1, 2, 4}[i]
			q.SetWeight(ident.Team(name), weight)
			n.taskCost[ident.Team(name)] = 60 / weight
		}
		var popped []*work.Task
		same := func(what string, got, want *work.Task) {
			if got != want {
				rt.Fatalf("%s returned %s, want %s", what, describe(got), describe(want))
			}
		}
		now := start
		draw := func(what string, high int) int { return rapid.IntRange(0, high).Draw(rt, what) }
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(*rapid.T) {
				for range draw("batch", 8) {
					sequence := draw("sequence", 7)
					task := newTask(teams[sequence%4], uint64(sequence), draw("index", 5))
					if s := draw("deadline", 20); s > 0 {
						// Distinct deadlines make the order of expiry unique.
						task.Deadline = now.Add(time.Duration(s)*time.Second + time.Duration(sequence*6+task.ID.Index))
					}
					if got, want := q.Push(task), n.insert(task, false); got != want {
						rt.Fatalf("Push of %s returned %v, want %v", describe(task), got, want)
					}
				}
			},
			"push front": func(*rapid.T) {
				if len(popped) == 0 {
					return
				}
				task := popped[len(popped)-1]
				popped = popped[:len(popped)-1]
				q.PushFront(task)
				n.insert(task, true)
			},
			"pop": func(*rapid.T) {
				mask := draw("allowed", 15)
				allow := func(t *work.Task) bool { return mask>>(t.Team[0]-'a')&1 == 1 }
				got := q.Pop(allow)
				same("Pop", got, n.pop(allow))
				if got != nil {
					popped = append(popped, got)
				}
			},
			"steal": func(*rapid.T) {
				count := draw("count", 3)
				got := q.Steal(count)
				for i := range count {
					want := n.steal()
					if want != nil || i < len(got) {
						same("Steal", got[i], want)
					}
				}
			},
			"remove": func(*rapid.T) {
				id := newTask("", uint64(draw("sequence", 7)), draw("index", 5)).ID
				same("Remove", q.Remove(id), n.take(func(t *work.Task) bool { return t.ID == id }))
			},
			"remove submission": func(*rapid.T) {
				id := newTask("", uint64(draw("sequence", 7)), 0).ID.Submission
				for _, task := range q.RemoveSubmission(id) {
					same("RemoveSubmission", task, n.take(func(t *work.Task) bool { return t.ID.Submission == id }))
				}
				same("after RemoveSubmission", nil, n.take(func(t *work.Task) bool { return t.ID.Submission == id }))
			},
			"expire": func(*rapid.T) {
				now = now.Add(time.Duration(draw("seconds", 5)) * time.Second)
				due := func(t *work.Task) bool { return !t.Deadline.IsZero() && !t.Deadline.After(now) }
				for _, task := range q.Expire(now) {
					if !due(task) {
						rt.Fatalf("%s expired early", describe(task))
					}
					same("Expire", task, n.take(func(t *work.Task) bool { return t == task }))
				}
				same("after Expire", nil, n.take(due))
			},
			"": func(*rapid.T) {
				var next time.Time
				for _, t := range n.tasks {
					if !t.Deadline.IsZero() && (next.IsZero() || t.Deadline.Before(next)) {
						next = t.Deadline
					}
				}
				if q.Len() != len(n.tasks) || q.FreeCapacity() != max(0, 24-len(n.tasks)) || !q.NextDeadline().Equal(next) {
					rt.Fatalf("length %d, free capacity %d, next deadline %v; want length %d, deadline %v",
						q.Len(), q.FreeCapacity(), q.NextDeadline(), len(n.tasks), next)
				}
			},
		})
	})
}

// fill pushes the tasks with index 0 to count-1 of one submission.
func fill(q *fairqueue.Queue, team string, sequence uint64, count int) {
	for i := range count {
		q.Push(newTask(team, sequence, i))
	}
}

// TestServiceOrder guards against tasks that leave the queue in the wrong
// order: a large submission that delays others of its team, a team that delays
// other teams, first tasks that are stolen before others, and cancelled tasks
// that are still served.
func TestServiceOrder(t *testing.T) {
	cases := map[string]struct {
		prepare func(q *fairqueue.Queue)
		run     func(q *fairqueue.Queue) []*work.Task
		want    string
	}{
		"submission of a single task does not wait for a large one of its team": {
			func(q *fairqueue.Queue) { fill(q, "a", 1, 1300); fill(q, "a", 2, 1) },
			func(q *fairqueue.Queue) []*work.Task { return []*work.Task{q.Pop(nil), q.Pop(nil), q.Pop(nil)} },
			"1.0 2.0 1.1 ",
		},
		"burst of one team does not delay another team": {
			func(q *fairqueue.Queue) { q.SetWeight("b", 3); fill(q, "a", 1, 1300); fill(q, "b", 2, 9) },
			func(q *fairqueue.Queue) []*work.Task {
				return []*work.Task{q.Pop(nil), q.Pop(nil), q.Pop(nil), q.Pop(nil), q.Pop(nil), q.Pop(nil)}
			},
			"1.0 2.0 2.1 2.2 2.3 1.1 ",
		},
		"skipped team catches up": {
			func(q *fairqueue.Queue) { fill(q, "a", 1, 9); fill(q, "b", 2, 9); popWithout(q, "b", 2) },
			func(q *fairqueue.Queue) []*work.Task { return []*work.Task{q.Pop(nil), q.Pop(nil), q.Pop(nil)} },
			"2.0 2.1 1.2 ",
		},
		"team skipped for long catches up by a limited number of tasks": {
			func(q *fairqueue.Queue) { fill(q, "a", 1, 1300); fill(q, "b", 2, 200); popWithout(q, "b", 1000) },
			func(q *fairqueue.Queue) []*work.Task {
				for range 64 {
					q.Pop(nil)
				}
				return []*work.Task{q.Pop(nil), q.Pop(nil)}
			},
			"2.64 1.1000 ",
		},
		"first tasks are stolen last": {
			func(q *fairqueue.Queue) { fill(q, "b", 9, 3); fill(q, "a", 1, 1); fill(q, "a", 2, 1) },
			func(q *fairqueue.Queue) []*work.Task { return q.Steal(4) },
			"9.2 9.1 2.0 1.0 ",
		},
		"cancelled tasks are not served": {
			func(q *fairqueue.Queue) { fill(q, "a", 1, 3); fill(q, "a", 2, 3); q.Remove(newTask("a", 1, 1).ID) },
			func(q *fairqueue.Queue) []*work.Task {
				return append(q.RemoveSubmission(newTask("a", 1, 0).ID.Submission), q.Pop(nil), q.Pop(nil))
			},
			"1.0 1.2 2.0 2.1 ",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := fairqueue.New(2000)
			c.prepare(q)
			is.Equal(describeAll(c.run(q)), c.want)
		})
	}
}

// popWithout pops count tasks while no task of the team is allowed.
func popWithout(q *fairqueue.Queue, team ident.Team, count int) {
	for range count {
		q.Pop(func(t *work.Task) bool { return t.Team != team })
	}
}

// benchmarkQueue returns a queue with the given number of waiting tasks of 71
// teams and 710 submissions, and the tasks.
func benchmarkQueue(waiting int) (*fairqueue.Queue, []*work.Task) {
	q := fairqueue.New(waiting)
	tasks := make([]*work.Task, waiting)
	for i := range tasks {
		tasks[i] = newTask(fmt.Sprintf("team-%d", i%71), uint64(i%710), i/710)
		tasks[i].Deadline = start.Add(time.Duration(i*7919%10000) * time.Millisecond)
		q.Push(tasks[i])
	}
	return q, tasks
}

func BenchmarkPushPop(b *testing.B) {
	for _, waiting := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q, _ := benchmarkQueue(waiting)
			b.ReportAllocs()
			for b.Loop() {
				q.Push(q.Pop(nil))
			}
		})
	}
}

func BenchmarkRemoveSubmission(b *testing.B) {
	for _, waiting := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q, _ := benchmarkQueue(waiting)
			q.SetLimit(waiting + 1300)
			tasks := make([]*work.Task, 1300)
			for i := range tasks {
				tasks[i] = newTask("team-1", 1_000_000, i)
				tasks[i].Deadline = start.Add(5 * time.Second)
			}
			for b.Loop() {
				b.StopTimer()
				for _, t := range tasks {
					q.Push(t)
				}
				b.StartTimer()
				q.RemoveSubmission(tasks[0].ID.Submission)
			}
		})
	}
}

package submission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/submission"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) { rapidseed.Run(m, nil) }

var (
	start = time.Unix(1_700_000_000, 0)
	self  = ident.Process{Instance: "entry-1", Incarnation: 7}
	peer  = ident.Process{Instance: "entry-2", Incarnation: 9}
)

func newTable(maxRetained int) *submission.Table {
	return submission.NewTable(submission.Config{
		Self: self, DataCentre: "dc-1", Started: start, Retention: time.Minute, MaxRetained: maxRetained})
}

func newSubmission(id ident.SubmissionID, n int) work.Submission {
	s := work.Submission{ID: id, Service: "proof", Team: "studio", Job: n > 1, Deadline: start.Add(time.Hour)}
	for range n {
		s.Tasks = append(s.Tasks, work.Input{Deadline: s.Deadline})
	}
	return s
}

// referenceTask is a simple reference implementation of one task: its current
// attempt, whether this is assigned, and whether the task is final.
type referenceTask struct {
	attempt  ident.Attempt
	assigned bool
	final    bool
}

// TestAttemptTransitions guards against a task that is assigned again without
// proof that the previous attempt did not start, and against results of old
// attempts that count.
func TestAttemptTransitions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 3
		table := newTable(0)
		id := table.Issue(start, 1)[0]
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		e, _ := table.Add(start, newSubmission(id, n), 1, repeatable)
		var reference [n]referenceTask
		for i := range reference {
			reference[i].attempt = 1
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, n-1).Draw(rt, "task")
			attempt := ident.Attempt(rapid.IntRange(1, 4).Draw(rt, "attempt"))
			task := ident.TaskID{Submission: id, Index: i}
			m := &reference[i]
			isCurrent := !m.final && m.attempt == attempt
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				got := table.Assign(task, attempt, rapid.SampledFrom([]ident.Process{self, peer}).Draw(rt, "to"))
				if want := isCurrent && !m.assigned; got != want {
					rt.Fatalf("Assign of task %d attempt %d: got %v, want %v", i, attempt, got, want)
				} else if got {
					m.assigned = true
				}
			case 1:
				got := table.RequeueUnstarted(start, task, attempt) != nil
				if want := isCurrent && m.assigned; got != want {
					rt.Fatalf("RequeueUnstarted: got %v, want %v", got, want)
				} else if got {
					m.assigned, m.attempt = false, m.attempt+1
				}
			case 2:
				got := table.Retry(start, task, attempt) != nil
				if want := isCurrent && m.assigned && repeatable; got != want {
					rt.Fatalf("Retry: got %v, want %v", got, want)
				} else if got {
					m.assigned, m.attempt = false, m.attempt+1
				}
			case 3:
				_, got := table.RecordResult(start, &work.Result{Task: task, Attempt: attempt})
				if got != isCurrent {
					rt.Fatalf("RecordResult: got %v, want %v", got, isCurrent)
				}
				m.final = m.final || got
			}
		}
		open := 0
		for i := range reference {
			if !reference[i].final {
				open++
			}
		}
		if e.Open() != open || (e.Answer().State == work.Running) != (open > 0) {
			rt.Fatalf("open %d in state %s, want %d", e.Open(), e.Answer().State, open)
		}
	})
}

// TestFindRejectsOldAndUnknownIDs guards against ids that may start work again
// after their entry was removed, also when the caller alters the issue time in
// the id.
func TestFindRejectsOldAndUnknownIDs(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration
		change func(*ident.SubmissionID)
		kind   fault.Kind
		found  bool
	}{
		"submitted":                 {after: 0, found: true},
		"just within the retention": {after: 59 * time.Second, found: true},
		// The retention is 60 s and an id expires at most 1 s late, so it has
		// certainly expired after 63 s.
		"past the retention":            {after: 63 * time.Second, kind: fault.IDExpired},
		"past, with a later issue time": {after: 63 * time.Second, change: func(id *ident.SubmissionID) { id.Issued += time.Minute }, kind: fault.IDExpired},
		"altered issue time":            {change: func(id *ident.SubmissionID) { id.Issued += time.Second }, kind: fault.IDUnknown},
		"never issued":                  {change: func(id *ident.SubmissionID) { id.Sequence = 99 }, kind: fault.IDUnknown},
		"of another incarnation":        {change: func(id *ident.SubmissionID) { id.Incarnation++ }, kind: fault.IDUnknown},
		"issued and never submitted":    {change: func(id *ident.SubmissionID) { id.Sequence = 2 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(0)
			id := table.Issue(start, 2)[0]
			e, _ := table.Add(start, newSubmission(id, 1), 1, false)
			table.FailOpenTasks(start, e, fault.Cancelled)
			now := start.Add(c.after)
			table.Expire(now)
			if c.change != nil {
				c.change(&id)
			}
			got, f := table.Find(now, id)
			is.Equal(got != nil, c.found)
			if c.kind == "" {
				is.True(f == nil)
			} else {
				is.Equal(f.Kind, c.kind)
			}
		})
	}
}

// TestRetainedOutputs guards against partial answers and against outputs that
// fill the memory: the oldest are dropped, and OutputsDropped reports it.
func TestRetainedOutputs(t *testing.T) {
	is := is.New(t)
	table := newTable(10)
	var entries []*submission.Entry
	for range 3 {
		id := table.Issue(start, 1)[0]
		e, tasks := table.Add(start, newSubmission(id, 2), 1, false)
		for _, k := range tasks {
			is.Equal(e.Answer().Outputs, nil)
			table.Assign(k.ID, k.Attempt, self)
			table.RecordResult(start, &work.Result{Task: k.ID, Attempt: k.Attempt, Output: []byte("four")})
		}
		entries = append(entries, e)
	}
	is.True(entries[0].OutputsDropped())
	is.True(entries[1].OutputsDropped())
	is.Equal(len(entries[2].Answer().Outputs), 2)
	table.Expire(start.Add(2 * time.Minute))
	is.Equal(table.Len(), 0)
}

// Package home decides about the jobs whose callers are connected to this
// instance: which tasks are ready, what the owner of the endpoints is asked to
// run, and what callers are answered. A Table is a deterministic state machine
// without goroutines, sockets or a clock.
package home

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Request names a caller's request that waits for an answer.
type Request uint64

// Terms is what the configuration says of a job's route.
type Terms struct {
	Route   string
	Service ident.Service
	// Attempts is the number of failed runs after which a task has failed.
	Attempts int
	// Stretch times the longest chain of work, plus Latency, is the time within
	// which the answer is in time.
	Stretch float64
	Latency time.Duration
	// ConfigVersion is the version of the configuration that says so.
	ConfigVersion uint64
}

// Result says how a job ended.
type Result int

// The results.
const (
	// Finished: all tasks are done.
	Finished Result = iota + 1
	// Failed: a task has failed for good.
	Failed
	// Refused: the job was given up, nothing of it ran, and nothing will.
	Refused
	// Overdue: the job was given up and may have run in part.
	Overdue
	// Cancelled: the caller withdrew the job.
	Cancelled
)

var resultNames = [...]string{"", "finished", "failed", "refused", "overdue", "cancelled"}

// String returns the result in kebab case.
func (r Result) String() string { return resultNames[r] }

// Action is something to carry out: Place, Withdraw or Answer.
type Action interface{ action() }

// Place asks the owner to run tasks.
type Place struct {
	To     ident.Process
	Orders []job.Order
}

// Withdraw tells the owner that nobody waits for a job any more.
type Withdraw struct {
	To  ident.Process
	Job job.ID
}

// Answer ends a caller's request.
type Answer struct {
	Requests   []Request
	Job        job.ID
	Result     Result
	RetryAfter time.Duration
	// Open is how long the job was open, and Ends what led to the result.
	Open     time.Duration
	Target   time.Duration
	Deadline time.Duration
	Reason   string
	Route    string
	// ConfigVersion is the version of the configuration that set the terms.
	ConfigVersion uint64
	Ends          []job.End
}

func (Place) action()    {}
func (Withdraw) action() {}
func (Answer) action()   {}

// taskState is a task of a step that was placed.
type taskState struct {
	done     bool
	failures int
	nextRun  int
}

// stepState is the progress of a step.
type stepState struct {
	placed bool
	// handed is set once another owner may have started tasks of the step.
	handed bool
	left   int
	tasks  []taskState
}

// entry is an open job.
type entry struct {
	spec     job.Spec
	terms    Terms
	requests []Request
	opened   time.Time
	target   time.Time
	deadline time.Time
	steps    []stepState
	// tail is the longest chain of estimates after each step.
	tail []time.Duration
	// handed is set once an owner has got tasks of the job, ran once one of
	// them may have run.
	handed bool
	ran    bool
	// refused holds the tasks that the owner refused.
	refused map[job.Key]bool
	ends    []job.End
}

// answered is a result that is kept for callers that ask again.
type answered struct {
	id     job.ID
	result Result
	at     time.Time
}

const (
	// keepAnswers is how long results are kept, and maxAnswers how many.
	keepAnswers = 10 * time.Second
	maxAnswers  = 4096
	// placeRetry is the pause before tasks are placed again at an owner that
	// did not take them.
	placeRetry = 30 * time.Millisecond
	// runsPerOwner is how far run numbers rise when another owner takes over,
	// since it does not know how many runs its predecessor started.
	runsPerOwner = 100
	// retryAfter is when callers of refused jobs are told to come back.
	retryAfter = time.Second
	// keptEnds bounds the ends that are kept for the log of a job.
	keptEnds = 4
)

// Table holds the open jobs.
type Table struct {
	jobs   map[job.ID]*entry
	owner  ident.Process
	owned  bool
	past   map[job.ID]answered
	recent []answered // by time
	// again holds jobs to place again, at the time.
	again   map[job.ID]bool
	againAt time.Time
	out     []Action
}

// New returns an empty table.
func New() *Table {
	return &Table{jobs: map[job.ID]*entry{}, past: map[job.ID]answered{}, again: map[job.ID]bool{}}
}

// Open returns the number of open jobs.
func (t *Table) Open() int { return len(t.jobs) }

// Waiting returns the number of a route's open jobs of which nothing has ended.
func (t *Table) Waiting(route string) int {
	n := 0
	for _, e := range t.jobs {
		if e.terms.Route == route && !e.ran {
			n++
		}
	}
	return n
}

// State returns whether a job is open, and else the result that is kept.
func (t *Table) State(id job.ID) (open bool, result Result) {
	if t.jobs[id] != nil {
		return true, 0
	}
	return false, t.past[id].result
}

// Submit takes a job. A job that is open already gets another request, and one
// that ended lately is answered again.
func (t *Table) Submit(now time.Time, r Request, spec job.Spec, terms Terms, deadline time.Duration) []Action {
	if e := t.jobs[spec.ID]; e != nil {
		e.requests = append(e.requests, r)
		return nil
	}
	if past, ok := t.past[spec.ID]; ok && (past.result == Finished || past.result == Failed) {
		return []Action{Answer{Requests: []Request{r}, Job: spec.ID, Result: past.result, Route: terms.Route, Reason: "answered before"}}
	}
	e := &entry{
		spec: spec, terms: terms, requests: []Request{r}, opened: now, deadline: now.Add(deadline),
		steps: make([]stepState, len(spec.Steps)), tail: tails(spec.Steps),
	}
	e.target = now.Add(time.Duration(terms.Stretch*float64(chain(spec.Steps, e.tail))) + terms.Latency)
	for i := range e.steps {
		e.steps[i] = stepState{left: spec.Steps[i].Tasks, tasks: make([]taskState, spec.Steps[i].Tasks)}
		for k := range e.steps[i].tasks {
			e.steps[i].tasks[k].nextRun = 1
		}
	}
	t.jobs[spec.ID] = e
	t.advance(now, e)
	return t.flush()
}

// tails returns the longest chain of estimates that follows each step.
func tails(steps []job.Step) []time.Duration {
	tail := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		for _, before := range steps[i].After {
			tail[before] = max(tail[before], tail[i]+steps[i].Estimate)
		}
	}
	return tail
}

// chain returns the longest chain of estimates of a job.
func chain(steps []job.Step, tail []time.Duration) time.Duration {
	var longest time.Duration
	for i, s := range steps {
		longest = max(longest, s.Estimate+tail[i])
	}
	return longest
}

// advance places the steps that are ready.
func (t *Table) advance(now time.Time, e *entry) {
	if !t.owned {
		return
	}
	var orders []job.Order
	for i := range e.steps {
		if s := &e.steps[i]; !s.placed && e.ready(i) {
			s.placed = true
			orders = append(orders, e.order(now, i))
		}
	}
	if len(orders) > 0 {
		e.handed = true
		t.out = append(t.out, Place{To: t.owner, Orders: orders})
	}
}

// ready reports whether all steps before a step are done.
func (e *entry) ready(step int) bool {
	for _, before := range e.spec.Steps[step].After {
		if e.steps[before].left > 0 {
			return false
		}
	}
	return true
}

// order returns the order for the open tasks of a step.
func (e *entry) order(now time.Time, step int) job.Order {
	s := &e.spec.Steps[step]
	o := job.Order{
		Job: e.spec.ID, Step: step, Service: e.terms.Service, Payload: e.spec.Payload, Needs: s.Needs,
		Target: e.target.Sub(now) - e.tail[step], Deadline: e.deadline.Sub(now), Handed: e.steps[step].handed,
	}
	for k := range e.steps[step].tasks {
		if task := &e.steps[step].tasks[k]; !task.done {
			o.Indexes = append(o.Indexes, k)
			o.FirstRuns = append(o.FirstRuns, task.nextRun)
		}
	}
	return o
}

// SetOwner takes the owner of the endpoints, or that none is known. A new owner
// gets all open tasks.
func (t *Table) SetOwner(now time.Time, owner ident.Process, known bool) []Action {
	if known == t.owned && owner == t.owner {
		return nil
	}
	t.owner, t.owned = owner, known
	if known {
		var orders []job.Order
		for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
			orders = append(orders, t.replace(now, t.jobs[id])...)
		}
		if len(orders) > 0 {
			t.out = append(t.out, Place{To: owner, Orders: orders})
		}
	}
	return t.flush()
}

// replace returns orders for all open tasks of the steps that are ready.
func (t *Table) replace(now time.Time, e *entry) []job.Order {
	var orders []job.Order
	for i := range e.steps {
		s := &e.steps[i]
		if !e.ready(i) || s.left == 0 {
			continue
		}
		if s.placed {
			s.handed = true
			for k := range s.tasks {
				s.tasks[k].nextRun += runsPerOwner
			}
		}
		orders = append(orders, e.order(now, i))
		s.placed = true
	}
	e.handed = true
	return orders
}

// Paused brings deadlines nearer by time that the clock did not count.
func (t *Table) Paused(uncounted time.Duration) {
	for _, e := range t.jobs {
		e.deadline = e.deadline.Add(-uncounted)
	}
}

// Lost takes the end of the link to the owner. Nothing is placed until an owner
// is known again.
func (t *Table) Lost(p ident.Process) {
	if t.owned && t.owner == p {
		t.owned = false
	}
}

// Package home manages the jobs whose callers are connected to this instance,
// which is the home of these jobs. The owner is the process that owns the
// endpoints and runs tasks on them, on this instance or another one. The home
// decides which tasks are ready, places them at the owner, and answers the
// callers. A Table holds the jobs of one home. It is a deterministic state
// machine without goroutines, sockets or a clock.
package home

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// RequestID identifies a caller's request that waits for an answer.
type RequestID uint64

// RouteSettings holds the configuration of a job's route.
type RouteSettings struct {
	Route   string
	Service ident.Service
	// Attempts is the number of failed runs after which a task has failed.
	Attempts int
	// The target time of a job is Stretch times the estimated time of its
	// critical path, plus Latency, a fixed allowance.
	Stretch float64
	Latency time.Duration
	// Priority orders the jobs of a service when there is too little room: 0
	// comes first.
	Priority int
	// ConfigVersion is the version of the configuration that set these values.
	ConfigVersion uint64
}

// Result says how a job ended.
type Result int

// The results of a job.
const (
	// Finished: all tasks are done.
	Finished Result = iota + 1
	// Failed: a task failed on all its attempts, or endpoints crash that start
	// it.
	Failed
	// Refused: the job was aborted, none of its tasks ran, and none will: every
	// process that its tasks were placed at has refused them.
	Refused
	// Overdue: the job was aborted, and some of its tasks may have run, whether
	// its deadline has passed or not.
	Overdue
	// Cancelled: the caller cancelled the job or no longer waits for it.
	Cancelled
)

var resultNames = [...]string{"", "finished", "failed", "refused", "overdue", "cancelled"}

// String returns the result in kebab case.
func (r Result) String() string { return resultNames[r] }

// Action is an effect that the code which uses a Table must carry out: a Place,
// Withdraw, RequestRelease or Answer.
type Action interface{ action() }

// Place places tasks at the owner, that is, asks it to run them.
type Place struct {
	To     ident.Process
	Orders []job.Order
}

// Withdraw tells a process to drop the tasks of a job that was closed.
type Withdraw struct {
	To  ident.Process
	Job job.ID
}

// Answer answers all requests of a job.
type Answer struct {
	Requests   []RequestID
	Job        job.ID
	Result     Result
	RetryAfter time.Duration
	// OpenFor, Target and Deadline are measured from the submission of the job:
	// OpenFor is how long it was open, Target when it should have finished, and
	// Deadline when it would have been aborted.
	OpenFor  time.Duration
	Target   time.Duration
	Deadline time.Duration
	Reason   string
	Route    string
	// ConfigVersion is the version of the configuration that set the job's
	// settings.
	ConfigVersion uint64
	// Owner is the owner that the table followed at the end of the job, or
	// empty.
	Owner ident.Process
	// Ends holds the first ends of tasks, at most maxKeptEnds. After that, an
	// end with another outcome than job.Done replaces the last of them.
	Ends []ReceivedEnd
}

// ReceivedEnd is the end of a task with the process that reported it.
type ReceivedEnd struct {
	job.TaskEnd
	From ident.Process
}

func (Place) action()    {}
func (Withdraw) action() {}
func (Answer) action()   {}

type taskState struct {
	done     bool
	failures int
	// minRun is the lowest number that the next run may have.
	minRun int
	// placements holds the open placements. lastPlacement is the number of the
	// latest one, open or not.
	placements    []placement
	lastPlacement uint64
}

type stepState struct {
	placed bool
	// placedWhole is set once tasks of the step have been placed while the
	// fleet was one group as far as this instance knew.
	placedWhole bool
	// remaining is the number of tasks that are not done.
	remaining int
	tasks     []taskState
}

// openJob is a job from its submission until its requests are answered.
type openJob struct {
	spec     job.Spec
	settings RouteSettings
	requests []RequestID
	opened   time.Time
	target   time.Time
	deadline time.Time
	steps    []stepState
	// pathAfter is the estimated time of the longest path that follows each
	// step.
	pathAfter []time.Duration
	// mayHaveRun is set once an end shows that a task of the job has run or may
	// have run. It stays false until the first such end arrives, also while
	// tasks run.
	mayHaveRun bool
	// abort is the end that aborts the job, or nil.
	abort *job.TaskEnd
	// crashed is set once a task was given up because endpoints crash that start
	// it.
	crashed bool
	ends    []ReceivedEnd
}

// keptResult is the result of a closed job, kept for callers that submit the
// job again.
type keptResult struct {
	id     job.ID
	result Result
	at     time.Time
}

const (
	// resultRetention is how long results of closed jobs are kept, and
	// maxKeptResults how many.
	resultRetention = 10 * time.Second
	maxKeptResults  = 4096
	// placeRetryDelay is the delay before tasks are placed again that a process
	// rejected because it did not own the endpoints.
	placeRetryDelay = 30 * time.Millisecond
	// runNumberGap is added to run numbers when tasks are placed again, so that
	// a new owner does not reuse numbers: it does not know how many runs the
	// earlier owner started.
	runNumberGap = 100
	// defaultRetryAfter is the default delay after which callers of a job that
	// did not finish are told to retry.
	defaultRetryAfter = time.Second
	// maxKeptEnds bounds the ends of tasks that are kept of a job, which are
	// written to the log.
	maxKeptEnds = 4
)

// Table holds the open jobs and recent results.
type Table struct {
	jobs       map[job.ID]*openJob
	owner      ident.Process
	ownerKnown bool
	// whole is set while the fleet is one group.
	whole            bool
	keptResults      map[job.ID]keptResult
	keptResultsByAge []keptResult // oldest first
	// rejectedJobs holds the jobs with tasks that the owner rejected with
	// job.NotOwner. They are placed again at placeAgainAt.
	rejectedJobs map[job.ID]bool
	placeAgainAt time.Time
	// linked reports whether there is a link to a process.
	linked func(ident.Process) bool
	// releases holds the processes that were asked to release tasks, and until
	// when their answer is awaited. held holds the jobs whose tasks are placed
	// after that.
	releases map[ident.Process]time.Time
	held     map[job.ID]bool
	// abandoned holds jobs that were closed while tasks were placed; see
	// keepPlacements.
	abandoned map[job.ID]abandonedJob
	// lastPlacementAt is the number of the latest order for each process that
	// was sent one.
	lastPlacementAt map[ident.Process]uint64
	// lastPlacement is the number of the latest order.
	lastPlacement uint64
	actions       []Action
}

// New returns an empty table. The function linked reports whether there is a
// link to another process.
func New(linked func(ident.Process) bool) *Table {
	return &Table{
		whole: true, jobs: map[job.ID]*openJob{}, keptResults: map[job.ID]keptResult{}, rejectedJobs: map[job.ID]bool{},
		linked: linked, releases: map[ident.Process]time.Time{}, held: map[job.ID]bool{}, lastPlacementAt: map[ident.Process]uint64{}, abandoned: map[job.ID]abandonedJob{},
	}
}

// OpenJobs returns the number of open jobs.
func (t *Table) OpenJobs() int { return len(t.jobs) }

// Waiting returns the number of open jobs of the route for which no end shows
// that a task has run or may have run. Jobs whose first tasks are running count
// as waiting.
func (t *Table) Waiting(route string) int {
	n := 0
	for _, j := range t.jobs {
		if j.settings.Route == route && !j.mayHaveRun {
			n++
		}
	}
	return n
}

// State reports whether a job is open. If it is not, State returns its result,
// or zero when no result is kept.
func (t *Table) State(id job.ID) (open bool, result Result) {
	if t.jobs[id] != nil {
		return true, 0
	}
	return false, t.keptResults[id].result
}

// Submit adds a job. If the job is already open, the request is added to it. If
// it finished or failed recently, the request is answered with the kept result.
// The deadline counts from now.
func (t *Table) Submit(now time.Time, r RequestID, spec job.Spec, settings RouteSettings, deadline time.Duration) []Action {
	if j := t.jobs[spec.ID]; j != nil {
		j.requests = append(j.requests, r)
		return nil
	}
	if kept, ok := t.keptResults[spec.ID]; ok && (kept.result == Finished || kept.result == Failed) {
		return []Action{Answer{Requests: []RequestID{r}, Job: spec.ID, Result: kept.result, Route: settings.Route, Reason: "answered with the result of an earlier submission"}}
	}
	j := &openJob{
		spec: spec, settings: settings, requests: []RequestID{r}, opened: now, deadline: now.Add(deadline),
		steps: make([]stepState, len(spec.Steps)), pathAfter: pathsAfter(spec.Steps),
	}
	j.target = now.Add(time.Duration(settings.Stretch*float64(criticalPath(spec.Steps, j.pathAfter))) + settings.Latency)
	for i := range j.steps {
		j.steps[i] = stepState{remaining: spec.Steps[i].Tasks, tasks: make([]taskState, spec.Steps[i].Tasks)}
		for k := range j.steps[i].tasks {
			j.steps[i].tasks[k].minRun = 1
		}
	}
	t.jobs[spec.ID] = j
	t.restorePlacements(now, j)
	if t.ownerKnown && len(j.unreleased(t.owner)) > 0 {
		t.requestReleases(now)
		t.held[spec.ID] = true
		t.placeHeld(now)
		return t.flush()
	}
	t.placeReadySteps(now, j)
	return t.flush()
}

// pathsAfter returns the estimated time of the longest path that follows each
// step.
func pathsAfter(steps []job.Step) []time.Duration {
	pathAfter := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		for _, dependency := range steps[i].After {
			pathAfter[dependency] = max(pathAfter[dependency], pathAfter[i]+steps[i].Estimate)
		}
	}
	return pathAfter
}

// criticalPath returns the estimated time of the critical path of a job.
func criticalPath(steps []job.Step, pathAfter []time.Duration) time.Duration {
	var longest time.Duration
	for i, s := range steps {
		longest = max(longest, s.Estimate+pathAfter[i])
	}
	return longest
}

// placeReadySteps places the steps that are ready and not placed yet.
func (t *Table) placeReadySteps(now time.Time, j *openJob) {
	if !t.ownerKnown {
		return
	}
	var orders []job.Order
	for i := range j.steps {
		if s := &j.steps[i]; !s.placed && j.ready(i) {
			s.placed = true
			orders = append(orders, t.newOrder(now, j, i, j.steps[i].openTasks()))
		}
	}
	if len(orders) > 0 {
		t.actions = append(t.actions, Place{To: t.owner, Orders: orders})
	}
}

// ready reports whether all steps that a step depends on are done.
func (j *openJob) ready(step int) bool {
	for _, dependency := range j.spec.Steps[step].After {
		if j.steps[dependency].remaining > 0 {
			return false
		}
	}
	return true
}

// openTasks returns the indexes of the tasks that are not done.
func (s *stepState) openTasks() []int {
	var indexes []int
	for k := range s.tasks {
		if !s.tasks[k].done {
			indexes = append(indexes, k)
		}
	}
	return indexes
}

// newOrder returns an order of tasks of a step for the owner, and records the
// placement of these tasks.
func (t *Table) newOrder(now time.Time, j *openJob, step int, indexes []int) job.Order {
	s := &j.spec.Steps[step]
	t.lastPlacement++
	t.lastPlacementAt[t.owner] = t.lastPlacement
	j.steps[step].placedWhole = j.steps[step].placedWhole || t.whole
	o := job.Order{
		Job: j.spec.ID, Step: step, Placement: t.lastPlacement, Indexes: indexes, Service: j.settings.Service, Priority: j.settings.Priority, Payload: j.spec.Payload, Needs: s.Needs,
		Target: j.target.Sub(now) - j.pathAfter[step], Deadline: j.deadline.Sub(now), PlacedWhole: j.steps[step].placedWhole,
	}
	for _, k := range indexes {
		task := &j.steps[step].tasks[k]
		o.MayHaveStarted = o.MayHaveStarted || len(task.placements) > 0
		task.place(placement{number: t.lastPlacement, to: t.owner})
		o.MinRuns = append(o.MinRuns, task.minRun)
	}
	return o
}

// SetOwner sets the owner of the endpoints; known is false if there is none.
// The open tasks of ready steps are placed at a new owner, whether they were
// placed before or not, once all linked processes that they were placed at have
// released them.
func (t *Table) SetOwner(now time.Time, owner ident.Process, known bool) []Action {
	if known == t.ownerKnown && owner == t.owner {
		return nil
	}
	t.owner, t.ownerKnown = owner, known
	if known {
		t.requestReleases(now)
		var orders []job.Order
		for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
			orders = append(orders, t.ordersForOwner(now, t.jobs[id])...)
		}
		if len(orders) > 0 {
			t.actions = append(t.actions, Place{To: owner, Orders: orders})
		}
	}
	return t.flush()
}

// ordersForOwner returns orders for all tasks of ready steps that are not done,
// whether they were placed before or not. It raises the run numbers of tasks
// that were placed before. It returns none for a job that another process may
// still start tasks of, which is held.
func (t *Table) ordersForOwner(now time.Time, j *openJob) []job.Order {
	delete(t.rejectedJobs, j.spec.ID)
	delete(t.held, j.spec.ID)
	if len(j.unreleased(t.owner)) > 0 {
		t.held[j.spec.ID] = true
		return nil
	}
	var orders []job.Order
	for i := range j.steps {
		s := &j.steps[i]
		if !j.ready(i) || s.remaining == 0 {
			continue
		}
		if s.placed {
			for k := range s.tasks {
				s.tasks[k].minRun += runNumberGap
			}
		}
		orders = append(orders, t.newOrder(now, j, i, s.openTasks()))
		s.placed = true
	}
	return orders
}

// SetWhole records whether the owner takes the fleet for one group, so that it
// may start tasks in any data centre, also those that are placed already.
func (t *Table) SetWhole(whole bool) {
	if whole && !t.whole {
		for _, j := range t.jobs {
			for i := range j.steps {
				j.steps[i].placedWhole = true
			}
		}
	}
	t.whole = whole
}

// HandlePause moves deadlines earlier by suspended, the part of a pause of this
// process that the clock did not count, for example while the machine was
// suspended.
func (t *Table) HandlePause(suspended time.Duration) {
	for _, j := range t.jobs {
		j.deadline = j.deadline.Add(-suspended)
	}
}

// HandleLinkDown records that the link to a process ended. If the process is
// the owner, nothing is placed until an owner is known again. If it was to
// release tasks, these are not held any longer.
func (t *Table) HandleLinkDown(now time.Time, p ident.Process) []Action {
	if t.ownerKnown && t.owner == p {
		t.ownerKnown = false
	}
	if !t.releases[p].IsZero() {
		t.release(p, t.lastPlacement)
		t.placeHeld(now)
	}
	delete(t.lastPlacementAt, p)
	return t.flush()
}

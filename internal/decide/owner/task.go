package owner

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// batch holds the tasks of one step of a job from one home, which have the same
// needs. Later orders for the step add their tasks to it.
type batch struct {
	home    ident.Process
	job     job.ID
	step    int
	service ident.Service
	// priority orders the batches of a service when there is too little room: 0
	// comes first.
	priority  int
	payload   string
	needs     job.Needs
	taskClass *taskClass
	load      *load
	placedAt  time.Time
	// target is when the step should end for the job to meet its target time,
	// and deadline when the caller gives up.
	target   time.Time
	deadline time.Time
	tasks    map[int]*task
	// placing is set while the tasks of an order are added, some of which may
	// end at once. The batch is kept for the others.
	placing bool
	// touched is set once a task of the batch has been started or adopted, or
	// another owner may have started one.
	touched bool
	// queued holds the tasks that wait, and section says which list of the queue
	// of its priority the batch is in.
	queued  queuedTasks
	section section
	// surplus is set if the batch arrived when more waited than could start
	// soon; see isSurplus.
	surplus bool
	// hopeless is set when the batch is refused because it cannot end in time,
	// and waited is how long it waited until then.
	hopeless bool
	waited   time.Duration
	// rack is where a step that needs a single rack runs. It is empty until the
	// first task of the step starts.
	rack string
}

// batchID identifies a batch.
type batchID struct {
	home ident.Process
	job  job.ID
	step int
}

// task is a task of a batch that has not ended.
type task struct {
	batch *batch
	key   job.Key
	// placement is the number of the latest order for the task.
	placement uint64
	// run is the current run, or nil while the task waits.
	run *run
	// nextRun is the number of the next run.
	nextRun int
	// foreignStartUntil is the time up to which another owner may have started
	// the task, or zero. The task may then run on an endpoint that this owner
	// has not polled since.
	foreignStartUntil time.Time
	// otherGroup is set if that owner was of another group, so that polls do
	// not show its runs.
	otherGroup bool
	// notBefore delays the start, since the task's home may have switched to
	// another owner.
	notBefore time.Time
	// mayHaveRun is set when a start of the task is sent, until its reply shows
	// that the endpoint did nothing, and once a run of it was found or adopted.
	mayHaveRun bool
	// queued is set while the task waits in Pool.waiting, until room is reserved
	// for it.
	queued bool
	// work is what the task adds to load.waiting while it is queued.
	work   float64
	waited time.Duration
	// reruns counts the runs that were stopped because they had stalled.
	reruns int
	// suspect is set if the task was on an endpoint that crashed, so that it
	// runs alone. listedAsSuspect is set while Pool.suspects holds it.
	// startedLast is set if no other run had started on that endpoint later.
	suspect, listedAsSuspect, startedLast bool
	// refusals counts the starts that endpoints refused.
	refusals int
}

// noteRun records that a run of the task is known that its own starts do not
// explain. A refusal of the start that is on the way does not change that.
func (t *task) noteRun() {
	t.mayHaveRun = true
	if t.run != nil {
		t.run.firstToRun = false
	}
}

// tasksOf returns the tasks with a key, one for each home that has placed it.
func (p *Pool) tasksOf(key job.Key) []*task {
	var list []*task
	for _, b := range p.batchesByJob[key.Job] {
		if t := b.tasks[key.Index]; t != nil && t.key == key {
			list = append(list, t)
		}
	}
	return list
}

// phase is the state of a run.
type phase int

const (
	// starting: the endpoint has not answered the start yet.
	starting phase = iota
	// running: the endpoint has started the run.
	running
	// stopping: the run is being stopped. It occupies its room until it is
	// gone.
	stopping
)

// run is an execution of a task that occupies room on an endpoint.
type run struct {
	id       runID
	endpoint *endpoint
	// task is nil when no task needs the run any more.
	task  *task
	room  job.Room
	phase phase
	// claimed is false for a run that was found on the endpoint until a home
	// claims it. Its room is unknown until then.
	claimed bool
	// knownSince is when the start was sent, or the run found or adopted.
	knownSince time.Time
	// confirmedClock is the endpoint's clock when it last confirmed the run's
	// start or stop. A later list without the run proves that it is gone.
	confirmedClock EndpointTime
	// stopCall is the number of the stop in flight, or zero.
	stopCall      uint64
	nextStop      time.Time
	stopConfirmed bool
	// startUnconfirmed is set when the answer to the start was lost, or when
	// the endpoint has restarted since the start. Only a list of the endpoint's
	// runs, or a stop and a poll after it, then shows whether the run exists.
	startUnconfirmed   bool
	startUnconfirmedAt time.Time
	// firstToRun is set if the task could not have run when the start was sent.
	firstToRun bool
	percent    int
}

package owner

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// batch is the tasks of one order, which share their needs.
type batch struct {
	home    ident.Process
	job     job.ID
	step    int
	service ident.Service
	payload string
	needs   job.Needs
	kind    *kind
	placed  time.Time
	// target is when the answer becomes late, and deadline when the caller
	// gives up.
	target   time.Time
	deadline time.Time
	tasks    map[int]*task
	// rack is where a step that needs one rack runs.
	rack string
}

// batchID names a batch.
type batchID struct {
	home ident.Process
	job  job.ID
	step int
}

// task is a task of a batch that has not ended.
type task struct {
	batch *batch
	key   job.Key
	// run is the present run, or nil while the task waits.
	run *run
	// nextRun is the number of the next run.
	nextRun int
	// handed is when the task came from another owner, which may have started
	// it on an endpoint that this owner has not looked at since. It is zero for
	// others.
	handed time.Time
	// notBefore delays the start while its home may follow another owner.
	notBefore time.Time
	// ran is set once a run may have started.
	ran    bool
	queued bool
	waited time.Duration
	// restarts counts the runs that were given up for want of progress.
	restarts int
	// tries counts the starts that endpoints refused.
	tries int
}

// phase is the state of a run.
type phase int

const (
	// starting: the start is not answered yet.
	starting phase = iota
	// running: the endpoint has started it.
	running
	// stopping: it is to end. It occupies its room until it is gone.
	stopping
)

// run is something that occupies an endpoint.
type run struct {
	id       runID
	endpoint *endpoint
	// task is nil when nobody wants the run any more.
	task  *task
	room  job.Room
	phase phase
	// claimed is false while the room is unknown.
	claimed bool
	began   time.Time
	// mark is the endpoint's clock when it last confirmed the run's start or
	// stop. A later list without the run proves that it is gone.
	mark Moment
	// stopCall is the number of the stop in flight, or zero.
	stopCall uint64
	nextStop time.Time
	stopped  bool
	// doubted is set when the answer to the start was lost.
	doubted   bool
	doubtedAt time.Time
	percent   int
}

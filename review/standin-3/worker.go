package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the settings that workers and checks use.
const (
	maxHold        = time.Second
	heartbeatEvery = 1500 * time.Millisecond
	drainBound     = 2 * time.Second
)

// room is an amount of resources.
type room struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem_mb"`
	GPU    int64 `json:"gpu"`
}

// workerRun is a task that a worker runs.
type workerRun struct {
	task    string
	number  int
	started time.Time
	endsAt  time.Time
	length  time.Duration
}

// worker is a worker of the platform. It starts whatever it is told to.
type worker struct {
	world    *world
	id       string
	service  string
	capacity room
	address  string
	server   *http.Server
	born     time.Time

	mu         sync.Mutex
	fence      int64
	leaseUntil int64
	runs       map[string]*workerRun
	// ended holds the rows of ends that are not taken note of.
	ended     [][]any
	lastEnd   int64
	highest   map[string]int
	changed   chan struct{}
	drainedAt time.Time
	sequence  int
}

// newWorker starts a worker of 32 cores that is ready.
func newWorker(w *world, id, service string) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &worker{
		world: w, id: id, service: service, capacity: room{CPU: 32 * cores, Memory: 131072}, address: listener.Addr().String(),
		born: time.Now(), runs: map[string]*workerRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	o.server = &http.Server{Handler: o}
	go func() { _ = o.server.Serve(listener) }()
	o.report()
	go o.runClock()
	go o.runReports()
	return o, nil
}

// runReports writes the worker's entry into the store at each heartbeat.
func (o *worker) runReports() {
	for o.world.sleep(heartbeatEvery) {
		o.report()
	}
}

// report writes the worker's entry.
func (o *worker) report() {
	o.mu.Lock()
	o.sequence++
	entry := map[string]any{
		"service": o.service, "addr": o.address, "zone": "bayan-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": o.sequence, "born": o.born.UnixMilli(), "capacity": o.capacity, "labels": []string{"a", "r1-1"},
	}
	if !o.drainedAt.IsZero() {
		entry["state"], entry["remaining_ms"] = "draining", drainBound.Milliseconds()
	}
	o.mu.Unlock()
	data, _ := json.Marshal(entry)
	o.world.store.put("servers/"+o.id, data)
}

// drain reports that the worker drains. It goes on serving.
func (o *worker) drain() {
	o.mu.Lock()
	o.drainedAt = time.Now()
	o.mu.Unlock()
	o.report()
	o.world.record.note("worker %s: the store has accepted that it is draining", o.id)
}

// clock returns the worker's clock. The caller holds the lock.
func (o *worker) clock() int64 { return time.Since(o.born).Milliseconds() + 1000 }

// runClock ends the runs whose time has come, or whose lease has run out.
func (o *worker) runClock() {
	for o.world.sleep(2 * time.Millisecond) {
		o.mu.Lock()
		o.advance()
		o.mu.Unlock()
	}
}

func (o *worker) advance() {
	now := time.Now()
	lapsed := o.clock() > o.leaseUntil
	for _, r := range o.runs {
		switch {
		case !r.endsAt.After(now):
			o.end(r, "done")
		case lapsed:
			o.end(r, "lapsed")
		}
	}
}

// end ends a run. The caller holds the lock.
func (o *worker) end(r *workerRun, how string) {
	delete(o.runs, r.task)
	o.lastEnd++
	o.ended = append(o.ended, []any{o.lastEnd, r.task, r.number, how, ""})
	o.highest[r.task] = max(o.highest[r.task], r.number)
	close(o.changed)
	o.changed = make(chan struct{})
	o.world.noteEnd(o, r, how)
}

// workerCall is the body of the calls to a worker.
type workerCall struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMS int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
	Cursor  int64  `json:"ack_cursor"`
	WaitMS  int64  `json:"wait_ms"`
}

// ServeHTTP answers a call of an instance.
func (o *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call workerCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != o.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance()
	if call.Fence < o.fence {
		o.refuse(w, "fence")
		return
	}
	o.fence = call.Fence
	switch r.URL.Path {
	case "/hornbeamlift/run-start":
		o.start(w, call)
	case "/hornbeamlift/run-stop":
		if run := o.runs[call.Task]; run != nil && run.number <= call.Run {
			o.end(run, "stopped")
		}
		o.highest[call.Task] = max(o.highest[call.Task], call.Run)
		reply(w, map[string]int64{"clock_ms": o.clock()})
	case "/hornbeamlift/hold":
		o.hold(w, r, call)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (o *worker) refuse(w http.ResponseWriter, reason string) {
	replyWith(w, http.StatusConflict, map[string]any{"clock_ms": o.clock(), "reason": reason})
}

func (o *worker) extend(until int64) {
	o.leaseUntil = max(o.leaseUntil, min(until, o.clock()+maxHold.Milliseconds()))
}

// start starts a task. The caller holds the lock.
func (o *worker) start(w http.ResponseWriter, call workerCall) {
	present := o.runs[call.Task]
	switch {
	case call.UntilMS <= o.clock():
		o.refuse(w, "late")
		return
	case present != nil && present.number == call.Run:
	case call.Run <= o.highest[call.Task] || present != nil:
		o.extend(call.UntilMS)
		o.refuse(w, "old")
		return
	default:
		o.extend(call.UntilMS)
		length := o.world.noteStart(o, call)
		now := time.Now()
		o.runs[call.Task] = &workerRun{task: call.Task, number: call.Run, started: now, endsAt: now.Add(length), length: length}
	}
	reply(w, map[string]int64{"clock_ms": o.clock()})
}

// hold renews the lease and answers with both lists, if there is no end to
// report after a wait. The caller holds the lock.
func (o *worker) hold(w http.ResponseWriter, r *http.Request, call workerCall) {
	o.extend(call.UntilMS)
	for len(o.ended) > 0 && o.ended[0][0].(int64) <= call.Cursor {
		o.ended = o.ended[1:]
	}
	deadline := time.After(time.Duration(call.WaitMS) * time.Millisecond)
	for waiting := call.WaitMS > 0; waiting && len(o.ended) == 0; {
		changed := o.changed
		o.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		o.mu.Lock()
	}
	o.advance()
	running := make([][]any, 0, len(o.runs))
	for _, run := range o.runs {
		percent := int(100 * time.Since(run.started) / max(1, run.length))
		running = append(running, []any{run.task, run.number, "", min(percent, 99), 0})
	}
	ended := append([][]any{}, o.ended...)
	reply(w, map[string]any{"clock_ms": o.clock(), "born": o.born.UnixMilli(), "running": running, "ended": ended})
}

// used returns the room that is taken. The caller holds the lock.
func (o *worker) used() room {
	var used room
	for task := range o.runs {
		needs := o.world.needsOf(task)
		used.CPU, used.Memory, used.GPU = used.CPU+needs.CPU, used.Memory+needs.Memory, used.GPU+needs.GPU
	}
	return used
}

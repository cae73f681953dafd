package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// leaseMax is the longest lease that a worker grants, in milliseconds.
	leaseMax = 1000
	// workerStep is the interval at which a worker ends what is due.
	workerStep = 2 * time.Millisecond
	// beatInterval is the interval at which a worker writes its entry.
	beatInterval = 1500 * time.Millisecond
	// clockOffset is what the worker's clock shows at its start.
	clockOffset = 1000
	// minStop and maxStop are how long a stop takes, below the bound stop_ms.
	minStop = 5 * time.Millisecond
	maxStop = 45 * time.Millisecond
	// workerCPU is the capacity of a worker in thousandths of a core.
	workerCPU = 32000
)

// listStopping makes the workers list what is being stopped as running. The pages
// do not say whether they do.
var listStopping = os.Getenv("LIST_STOPPING") == "1"

// taskRun is a run of a task on a worker.
type taskRun struct {
	task  string
	run   int
	began time.Time
	// stopAt is when a stop takes effect, or zero.
	stopAt time.Time
}

// startEvent is a start of a task, with the time of its end or zero.
type startEvent struct {
	task   string
	run    int
	worker string
	began  time.Time
	ended  time.Time
	how    string
}

// worker is a stand-in of a worker of the platform. It obeys the highest fence,
// ends everything when its lease expires, and starts whatever it is told to.
type worker struct {
	world   *world
	id      string
	address string
	zone    string
	server  *http.Server

	mu      sync.Mutex
	born    time.Time
	fence   int64
	until   int64
	runs    []*taskRun
	ended   [][]any
	lastEnd int64
	highest map[string]int
	seq     int
	// stalled is set while the tasks here stand still.
	stalled bool
}

func newWorker(w *world, id, zone string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &worker{world: w, id: id, zone: zone, address: l.Addr().String(), born: time.Now(), highest: map[string]int{}}
	k.server = &http.Server{Handler: k}
	go func() { _ = k.server.Serve(l) }()
	go k.runBeats()
	go k.runClock()
	return k, nil
}

// clock returns the time on the worker's clock in milliseconds.
func (k *worker) clock() int64 { return time.Since(k.born).Milliseconds() + clockOffset }

func (k *worker) runBeats() {
	for {
		k.writeEntry()
		time.Sleep(beatInterval)
	}
}

// writeEntry writes the worker's entry into the store.
func (k *worker) writeEntry() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seq++
	entry := map[string]any{
		"service": k.world.service, "addr": k.address, "zone": k.zone, "version": "1.0", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": k.seq,
		"born": k.born.UnixMilli(), "capacity": map[string]int{"cpu": workerCPU, "mem_mb": 131072}, "labels": []string{"a", "r-" + k.zone},
	}
	k.world.store.put("servers/"+k.id, entry)
}

// stall makes the tasks on the worker stand still from now on, or go on.
func (k *worker) stall(on bool) {
	k.mu.Lock()
	k.stalled = on
	k.mu.Unlock()
	k.world.record.printf("tasks on worker %s stand still: %v", k.id, on)
}

func (k *worker) runClock() {
	for {
		time.Sleep(workerStep)
		k.mu.Lock()
		k.advance(time.Now())
		k.mu.Unlock()
	}
}

// advance ends the runs that are stopped, done or without a lease.
func (k *worker) advance(now time.Time) {
	expired := k.clock() > k.until
	for _, r := range append([]*taskRun(nil), k.runs...) {
		switch {
		case expired:
			k.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			k.end(r, "stopped")
		case !k.stalled && now.Sub(r.began) >= k.world.duration(r.task):
			k.end(r, "done")
		}
	}
}

func (k *worker) end(r *taskRun, how string) {
	for i, o := range k.runs {
		if o == r {
			k.runs = append(k.runs[:i:i], k.runs[i+1:]...)
			break
		}
	}
	k.lastEnd++
	k.ended = append(k.ended, []any{k.lastEnd, r.task, r.run, how, ""})
	k.highest[r.task] = max(k.highest[r.task], r.run)
	k.world.noteEnd(k, r, how)
}

// callBody is the body of a call to a worker.
type callBody struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Payload string `json:"spec"`
	Until   int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
	Cursor  int64  `json:"ack_cursor"`
	Wait    int64  `json:"wait_ms"`
}

// ServeHTTP answers a call.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body callBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		k.answer(w, http.StatusBadRequest, "")
		return
	}
	if r.Header.Get("Expect-Instance") != k.id {
		k.answer(w, http.StatusMisdirectedRequest, "")
		return
	}
	k.mu.Lock()
	if body.Fence < k.fence {
		k.mu.Unlock()
		k.answer(w, http.StatusConflict, "fence")
		return
	}
	k.fence = body.Fence
	k.mu.Unlock()
	switch r.URL.Path {
	case "/hornbeamlift/run-start":
		k.start(w, &body)
	case "/hornbeamlift/run-stop":
		k.stop(w, &body)
	case "/hornbeamlift/hold":
		k.hold(w, r, &body)
	default:
		k.answer(w, http.StatusNotFound, "")
	}
}

func (k *worker) answer(w http.ResponseWriter, status int, reason string) {
	k.mu.Lock()
	body := map[string]any{"clock_ms": k.clock(), "born": k.born.UnixMilli()}
	k.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	reply(w, status, body)
}

// extend extends the lease, which is never shortened.
func (k *worker) extend(until int64) { k.until = max(k.until, min(until, k.clock()+leaseMax)) }

func (k *worker) start(w http.ResponseWriter, body *callBody) {
	k.mu.Lock()
	reason := ""
	running := false
	for _, r := range k.runs {
		running = running || (r.task == body.Task && r.run == body.Run)
	}
	switch {
	case body.Until <= k.clock():
		reason = "late"
	case running:
	case body.Run <= k.highest[body.Task]:
		k.extend(body.Until)
		reason = "old"
	default:
		k.extend(body.Until)
		r := &taskRun{task: body.Task, run: body.Run, began: time.Now()}
		k.runs = append(k.runs, r)
		k.world.noteStart(k, r)
		k.checkRoom(r)
	}
	k.mu.Unlock()
	if reason != "" {
		k.answer(w, http.StatusConflict, reason)
		return
	}
	k.answer(w, http.StatusOK, "")
}

// checkRoom notes a start that brings the worker over its capacity. What is being
// stopped counts.
func (k *worker) checkRoom(r *taskRun) {
	used, stopping := 0, 0
	for _, o := range k.runs {
		cpu := k.world.cpu(o.task)
		used += cpu
		if !o.stopAt.IsZero() {
			stopping += cpu
		}
	}
	if used > workerCPU {
		k.world.noteOver(k, r, used, stopping)
	}
}

func (k *worker) stop(w http.ResponseWriter, body *callBody) {
	k.mu.Lock()
	k.highest[body.Task] = max(k.highest[body.Task], body.Run)
	for _, r := range k.runs {
		if r.task == body.Task && r.run == body.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(minStop + rand.N(maxStop-minStop))
		}
	}
	k.mu.Unlock()
	k.answer(w, http.StatusOK, "")
}

func (k *worker) hold(w http.ResponseWriter, r *http.Request, body *callBody) {
	deadline := time.Now().Add(time.Duration(body.Wait) * time.Millisecond)
	k.mu.Lock()
	if body.Until > 0 {
		k.extend(body.Until)
	}
	for len(k.ended) > 0 && k.ended[0][0].(int64) <= body.Cursor {
		k.ended = k.ended[1:]
	}
	for len(k.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		k.mu.Unlock()
		time.Sleep(workerStep)
		k.mu.Lock()
	}
	running := [][]any{}
	for _, t := range k.runs {
		if !t.stopAt.IsZero() && !listStopping {
			continue // its end is listed once it is stopped
		}
		percent := 0
		if !k.stalled {
			percent = int(min(99, 100*time.Since(t.began)/k.world.duration(t.task)))
		}
		running = append(running, []any{t.task, t.run, "", percent, 0})
	}
	ended := k.ended[:min(len(k.ended), 500)]
	if ended == nil {
		ended = [][]any{}
	}
	lists := map[string]any{"clock_ms": k.clock(), "born": k.born.UnixMilli(), "running": running, "ended": ended}
	k.mu.Unlock()
	reply(w, http.StatusOK, lists)
}

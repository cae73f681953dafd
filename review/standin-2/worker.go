package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The room of a worker and the longest lease that it grants, as on the users'
// page of the deployment.
const (
	workerCPU  = 32000
	workerMem  = 131072
	holdMaxMS  = 1000
	heartbeat  = 1500 * time.Millisecond
	serviceKey = "servers/"
)

// run is a task at work on a worker.
type run struct {
	task  string
	run   int
	began time.Time
	takes time.Duration
}

// worker is a stand-in for a worker that does not guard its room.
type worker struct {
	id, addr, service, zone, rack string
	began                         time.Time
	record                        *record
	// takes returns how long a task of a job works.
	takes func(job string) time.Duration

	mu      sync.Mutex
	until   int64
	fence   int64
	running map[string]*run
	highest map[string]int
	ended   [][]any
	ends    int64
	acked   int64
	changed chan struct{}
	// cutUntil is until when the worker is cut off. It runs on.
	cutUntil time.Time
}

func startWorker(id, service, zone, rack string, rec *record, takes func(string) time.Duration) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &worker{
		id: id, addr: l.Addr().String(), service: service, zone: zone, rack: rack, began: time.Now(), record: rec, takes: takes,
		running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, w) }()
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			w.advance()
		}
	}()
	return w
}

// register writes the worker's entry at each heartbeat.
func (w *worker) register(s *store) {
	for seq := 1; ; seq++ {
		w.mu.Lock()
		until := w.cutUntil
		w.mu.Unlock()
		time.Sleep(time.Until(until))
		s.put(serviceKey+w.id, map[string]any{
			"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0}, "labels": []string{"a", w.rack},
			"clock_ms": w.clock(), "born": w.began.UnixMilli(), "seq": seq,
		})
		time.Sleep(heartbeat)
	}
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// advance ends the runs whose work is done or whose lease has passed.
func (w *worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		switch {
		case time.Since(r.began) >= r.takes:
			w.end(r, "done")
		case w.clock() >= w.until:
			w.end(r, "lapsed")
		}
	}
}

func (w *worker) end(r *run, how string) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, r.task, r.run, how, ""})
	w.record.add("worker %s: %s run %d ended %s", w.id, r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// cut cuts the worker off for d: calls that arrive meanwhile are lost, and so are
// answers.
func (w *worker) cut(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutUntil = time.Now().Add(d)
}

// lost reports whether the worker is cut off. If so, it waits for the end of the
// cut and closes the channel of a call.
func (w *worker) lost(rw http.ResponseWriter) bool {
	w.mu.Lock()
	until := w.cutUntil
	w.mu.Unlock()
	if !time.Now().Before(until) {
		return false
	}
	time.Sleep(time.Until(until))
	if c, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		_ = c.Close()
	}
	return true
}

// order is the body of a call to a worker.
type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence int64  `json:"fence"`
	Ack   int64  `json:"ack_cursor"`
	Wait  int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.lost(rw) {
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock()})
		return
	}
	var o order
	if r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{"clock_ms": w.clock()})
		return
	}
	switch r.URL.Path {
	case "/health":
		reply(rw, http.StatusOK, map[string]any{})
	case "/hornbeamlift/run-start":
		w.answer(rw, w.start(o))
	case "/hornbeamlift/run-stop":
		w.answer(rw, w.stop(o))
	case "/hornbeamlift/hold":
		w.hold(rw, r, o)
	default:
		reply(rw, http.StatusNotFound, map[string]any{"clock_ms": w.clock()})
	}
}

// answer answers an order. A reason says why nothing was done.
func (w *worker) answer(rw http.ResponseWriter, reason string) {
	if reason == "" {
		reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
		return
	}
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

func (w *worker) start(o order) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	if o.Until <= w.clock() {
		return "late"
	}
	w.extend(o.Until)
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	job, _, _ := strings.Cut(o.Task, ".")
	w.running[o.Task] = &run{task: o.Task, run: o.Run, began: time.Now(), takes: w.takes(job)}
	w.record.started(job, o.Task, o.Run, w.id)
	return ""
}

func (w *worker) stop(o order) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.run <= o.Run {
		w.end(r, "stopped")
	}
	return ""
}

// extend extends the lease of all that runs, by holdMaxMS at most.
func (w *worker) extend(until int64) {
	w.until = max(w.until, min(until, w.clock()+holdMaxMS))
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	w.mu.Lock()
	if o.Fence < w.fence {
		w.mu.Unlock()
		w.answer(rw, "fence")
		return
	}
	w.fence = o.Fence
	if o.Until > 0 {
		w.extend(o.Until)
	}
	for len(w.ended) > 0 && w.acked < o.Ack {
		w.ended = w.ended[1:]
		w.acked++
	}
	changed, waits := w.changed, len(w.ended) == 0 && o.Wait > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if w.lost(rw) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running := [][]any{}
	for _, r := range w.running {
		percent := int(100 * time.Since(r.began) / r.takes)
		running = append(running, []any{r.task, r.run, "", min(percent, 99), 14000})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.began.UnixMilli(), "running": running, "ended": w.ended[:min(len(w.ended), 500)]})
}

// free returns an address on the loopback network that is free now, outside of
// the range from which the system takes the ports of its own.
func free() string {
	return fmt.Sprintf("127.0.0.1:%d", freePorts())
}

// freePorts returns the first of two adjacent ports that are free now.
func freePorts() int {
	for {
		port := 20000 + 2*rand.IntN(5000)
		if !drawn[port] && isFree(port) && isFree(port+1) {
			drawn[port] = true
			return port
		}
	}
}

// drawn holds the ports that freePorts has returned.
var drawn = map[int]bool{}

func isFree(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

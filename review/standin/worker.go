package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stopTime is how long a stop takes, at most stop_ms of the settings.
const stopTime = 20 * time.Millisecond

type runState struct {
	task    string
	run     int
	started time.Time
	ends    time.Time
	// stopped is when a stop was accepted, or zero.
	stopped time.Time
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is a stand-in of a worker without admission control. A task's spec
// says how long it runs: "ms=N" or "ms=N fail".
type worker struct {
	id, zone, addr string
	labels         []string
	cpu            int64
	rec            *record
	st             *store

	mu       sync.Mutex
	born     time.Time
	alive    bool
	fence    int64
	until    int64
	runs     []*runState
	ended    []endRow
	lastEnd  int64
	highest  map[string]int
	draining bool
	seq      int
	change   chan struct{}
	server   *http.Server
	listener net.Listener
	// hook may take over a call before it is handled. It returns true if it
	// has done so.
	hook func(w http.ResponseWriter, r *http.Request) bool
}

func newWorker(st *store, rec *record, id, zone string, labels []string, cpu int64) (*worker, error) {
	w := &worker{id: id, zone: zone, labels: labels, cpu: cpu, rec: rec, st: st, change: make(chan struct{})}
	if err := w.boot("127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() {
		for {
			time.Sleep(1500 * time.Millisecond)
			w.beat()
		}
	}()
	go func() {
		for range time.Tick(2 * time.Millisecond) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	return w, nil
}

// boot starts a new life of the worker.
func (w *worker) boot(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hornbeamlift/run-start", w.start)
	mux.HandleFunc("POST /hornbeamlift/run-stop", w.stop)
	mux.HandleFunc("POST /hornbeamlift/hold", w.hold)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Worker-Id", w.id)
		rw.WriteHeader(http.StatusOK)
	})
	w.mu.Lock()
	w.addr, w.listener = l.Addr().String(), l
	w.born, w.alive, w.draining = time.Now(), true, false
	w.fence, w.until, w.runs, w.ended, w.lastEnd, w.highest = 0, 0, nil, nil, 0, map[string]int{}
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.hook != nil && w.hook(rw, r) {
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.beat()
	return nil
}

// crash ends the life of the worker: all runs end, channels are reset.
func (w *worker) crash() {
	w.mu.Lock()
	w.alive = false
	for _, r := range w.runs {
		w.rec.ended(w, r.task, r.run, "crashed")
	}
	w.runs = nil
	server := w.server
	w.wake()
	w.mu.Unlock()
	_ = server.Close()
}

func (w *worker) beat() {
	w.mu.Lock()
	if !w.alive {
		w.mu.Unlock()
		return
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": "render", "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 131072, "gpu": 0}, "labels": w.labels, "clock_ms": w.clock(), "seq": w.seq,
		"born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.st.put("servers/"+w.id, entry)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

func (w *worker) wake() {
	close(w.change)
	w.change = make(chan struct{})
}

func (w *worker) end(i int, how string) {
	r := w.runs[i]
	w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, r.task, r.run, how})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.rec.ended(w, r.task, r.run, how)
	w.wake()
}

// advance ends what is due; the lock is held.
func (w *worker) advance() {
	if !w.alive {
		return
	}
	now := time.Now()
	for i := 0; i < len(w.runs); i++ {
		r := w.runs[i]
		switch {
		case w.clock() > w.until:
			w.end(i, "lapsed")
		case !r.stopped.IsZero() && now.Sub(r.stopped) >= stopTime:
			w.end(i, "stopped")
		case !now.Before(r.ends):
			how := "done"
			if strings.Contains(w.rec.specOf(r.task), "fail") {
				how = "failed"
			}
			w.end(i, how)
		default:
			continue
		}
		i--
	}
}

type call struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence int64  `json:"fence"`
	Ack   int64  `json:"ack_cursor"`
	Wait  int64  `json:"wait_ms"`
}

func (w *worker) read(rw http.ResponseWriter, r *http.Request) (call, bool) {
	var b call
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return b, false
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		reply(rw, http.StatusMisdirectedRequest, struct{}{})
		return b, false
	}
	return b, true
}

// accept checks the fence and answers if it is too low; the lock is held.
func (w *worker) accept(rw http.ResponseWriter, fence int64) bool {
	w.advance()
	if !w.alive || fence < w.fence {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return false
	}
	w.fence = fence
	return true
}

func (w *worker) extend(until int64) { w.until = max(w.until, min(until, w.clock()+holdMaxMS)) }

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	b, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(rw, b.Fence) {
		return
	}
	refuse := func(reason string) {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
	}
	if b.Until <= w.clock() {
		refuse("late")
		return
	}
	w.extend(b.Until)
	for _, o := range w.runs {
		if o.task == b.Task && o.run == b.Run {
			reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
			return
		}
	}
	if b.Run <= w.highest[b.Task] {
		refuse("old")
		return
	}
	now := time.Now()
	w.runs = append(w.runs, &runState{task: b.Task, run: b.Run, started: now, ends: now.Add(durationOf(b.Spec))})
	w.rec.started(w, b.Task, b.Run, b.Spec)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func durationOf(spec string) time.Duration {
	for _, word := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(word, "ms="); ok {
			n, _ := strconv.Atoi(v)
			return time.Duration(n) * time.Millisecond
		}
	}
	return 50 * time.Millisecond
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	b, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(rw, b.Fence) {
		return
	}
	for _, o := range w.runs {
		if o.task == b.Task && o.run <= b.Run && o.stopped.IsZero() {
			o.stopped = time.Now()
		}
	}
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	b, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(rw, b.Fence) {
		return
	}
	if b.Until > 0 {
		w.extend(b.Until)
	}
	for len(w.ended) > 0 && w.ended[0].number <= b.Ack {
		w.ended = w.ended[1:]
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(b.Wait, 2000))*time.Millisecond)
	defer cancel()
	for len(w.ended) == 0 && ctx.Err() == nil && w.alive {
		change := w.change
		w.mu.Unlock()
		select {
		case <-change:
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	if r.Context().Err() != nil || !w.alive {
		return
	}
	w.advance()
	running, ended := [][]any{}, [][]any{}
	for _, o := range w.runs {
		percent := 100 * time.Since(o.started).Milliseconds() / max(1, o.ends.Sub(o.started).Milliseconds())
		running = append(running, []any{o.task, o.run, "", min(percent, 99), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func (w *worker) String() string { return fmt.Sprintf("%s(%s)", w.id, w.zone) }

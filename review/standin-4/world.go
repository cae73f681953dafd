package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	routeHost   = "decals.example"
	routePrefix = "/proofs/"
	// calmTime is the bound stability_ms.
	calmTime = 3000 * time.Millisecond
)

// world is a small deployment: a store, workers and entry instances.
type world struct {
	record       *record
	dir          string
	program      string
	service      string
	store        *store
	storeAddress string
	fronts       []*front
	workers      []*worker

	mu        sync.Mutex
	durations map[string]time.Duration
	cpus      map[string]int
	starts    []*startEvent
	// over counts the starts that brought a worker over its capacity, and beside
	// those of a task of which another run was at work.
	over, beside int
}

func newWorld(rec *record, program string, workers int) (*world, error) {
	dir, err := os.MkdirTemp("", "review-4-")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, dir: dir, program: program, service: "sheet-render", store: newStore(), durations: map[string]time.Duration{}, cpus: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store}).Serve(l) }()
	w.putConfig(3)
	zones := []string{"bayan-a", "george-b", "jelutong-c"}
	for i := range workers {
		k, err := newWorker(w, fmt.Sprintf("i-%04d", i+1), zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		w.workers = append(w.workers, k)
	}
	return w, nil
}

// startFronts starts entry instances one after the other, so that the first is
// the most senior one, and waits until all are ready.
func (w *world) startFronts(zones ...string) error {
	for i, zone := range zones {
		f, err := startFront(w, fmt.Sprintf("front-%s-%d", zone, i+1), zone)
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
		time.Sleep(300 * time.Millisecond)
	}
	for _, f := range w.fronts {
		if err := f.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(calmTime)
	w.record.printf("%d entry instances are ready", len(w.fronts))
	return nil
}

func (w *world) putConfig(version int) {
	w.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "proof-preview", "host": routeHost, "prefix": routePrefix, "service": w.service, "timeout_ms": 20000, "target_latency_ms": 60, "stretch": 1.6, "attempts": 3, "priority": 0,
		}},
		"services": []map[string]any{{"name": w.service, "admission_control": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
}

// end ends the processes and removes the temporary folder. KEEP keeps it.
func (w *world) end() {
	for _, f := range w.fronts {
		f.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// plan sets how long the tasks of a job run.
func (w *world) plan(job string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.durations[job] = d
}

// planCPU sets what the tasks of a job need, in thousandths of a core.
func (w *world) planCPU(job string, cpu int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cpus[job] = cpu
}

// cpu returns what a task needs.
func (w *world) cpu(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	return w.cpus[job]
}

// noteOver records a start that brought a worker over its capacity.
func (w *world) noteOver(k *worker, r *taskRun, used, stopping int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over++
	w.record.printf("LIMIT: %s run %d brings worker %s to %d of %d, of which %d is being stopped", r.task, r.run, k.id, used, workerCPU, stopping)
}

// duration returns how long a task runs.
func (w *world) duration(task string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	if d, ok := w.durations[job]; ok {
		return d
	}
	return 100 * time.Millisecond
}

func (w *world) noteStart(k *worker, r *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		if s.task == r.task && s.ended.IsZero() {
			w.beside++
			w.record.printf("TWICE: %s run %d starts on worker %s beside run %d on worker %s", r.task, r.run, k.id, s.run, s.worker)
		}
	}
	w.starts = append(w.starts, &startEvent{task: r.task, run: r.run, worker: k.id, began: r.began})
	w.record.printf("worker %s starts %s run %d", k.id, r.task, r.run)
}

func (w *world) noteEnd(k *worker, r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		if s.task == r.task && s.run == r.run && s.worker == k.id && s.ended.IsZero() {
			s.ended, s.how = time.Now(), how
		}
	}
	w.record.printf("worker %s ends %s run %d: %s", k.id, r.task, r.run, how)
}

// startsOf returns copies of the starts of a job's tasks.
func (w *world) startsOf(job string) []startEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []startEvent
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, *s)
		}
	}
	return list
}

// awaitStarts waits until a job has had so many starts.
func (w *world) awaitStarts(job string, n int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if len(w.startsOf(job)) >= n {
			return true
		}
	}
	return false
}

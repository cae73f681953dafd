package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// world holds what surrounds the instances of a case, and checks the rules.
type world struct {
	program string
	dir     string
	trouble bool
	record  *record
	store   *store
	ctx     context.Context
	stop    context.CancelFunc

	instances []*instance
	workers   []*worker

	mu   sync.Mutex
	jobs map[string]*sentJob
	// active holds the worker of each task that runs, and done the tasks that
	// have ended done.
	active map[string]*worker
	done   map[string]bool
}

// step is a step of a job as clients send it.
type step struct {
	Tasks      int     `json:"task_count"`
	CPU        int64   `json:"cpu"`
	Memory     int64   `json:"mem_mb"`
	EstimateMS float64 `json:"est_ms"`
	After      []int   `json:"after,omitempty"`
}

// sentJob is a job that a client has sent.
type sentJob struct {
	id     string
	spec   string
	steps  []step
	starts int
}

func newWorld(program, recordPath string, trouble bool) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, dir: dir, trouble: trouble, record: r, store: newStore(), jobs: map[string]*sentJob{}, active: map[string]*worker{}, done: map[string]bool{}}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.record.note("trouble: %v", trouble)
	return w, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.stop()
	for _, i := range w.instances {
		i.kill()
	}
	for _, o := range w.workers {
		_ = o.server.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// sleep waits, and reports false when the case ends before.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// route is a queue of the manifest.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Service         string  `json:"service"`
	TimeoutMS       float64 `json:"timeout_ms"`
	TargetLatencyMS float64 `json:"target_latency_ms"`
	Stretch         float64 `json:"stretch"`
	Attempts        int     `json:"attempts"`
	Priority        int     `json:"priority"`
}

// The queue of the cases.
const (
	host   = "proofs.example"
	prefix = "/proofs/"
)

// setManifest writes a manifest as the operator does: one queue, and the service
// that runs it.
func (w *world) setManifest(version int, service string) {
	queue := route{Name: "proofs", Host: host, Prefix: prefix, Service: service, TimeoutMS: 30000, TargetLatencyMS: 60, Stretch: 1.6, Attempts: 3}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": []route{queue}, "services": []map[string]any{{"name": service, "admission_control": false}},
		"limits": map[string]any{"max_body_bytes": 262144},
	})
	w.store.put("op/config", data)
	w.record.note("operator: the store has accepted manifest %d, which sends the queue to %s", version, service)
}

// addJob records a job before it is sent.
func (w *world) addJob(j *sentJob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
}

// startsOf returns how many tasks of a job were started.
func (w *world) startsOf(j *sentJob) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.starts
}

// find returns the job and the step of a task, whose name is ID.K.STEP.INDEX.
// The caller holds the lock.
func (w *world) find(task string) (*sentJob, int) {
	parts := strings.Split(task, ".")
	j := w.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil, 0
	}
	n := 0
	_, err := fmt.Sscanf(parts[2], "%d", &n)
	if err != nil || n >= len(j.steps) {
		return nil, 0
	}
	return j, n
}

// needsOf returns the room that a task takes.
func (w *world) needsOf(task string) room {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, n := w.find(task)
	if j == nil {
		return room{}
	}
	return room{CPU: j.steps[n].CPU, Memory: j.steps[n].Memory}
}

// noteStart checks a start against the rules and returns how long the task
// takes. The caller holds the lock of the worker.
func (w *world) noteStart(o *worker, call workerCall) time.Duration {
	used := o.used()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.note("worker %s: start of %s run %d", o.id, call.Task, call.Run)
	j, n := w.find(call.Task)
	if j == nil || j.spec != call.Spec {
		w.record.breaks("UNASKED", "%s was started and no client sent it so", call.Task)
		return time.Second
	}
	j.starts++
	w.checkPlace(o, call.Task, j, n, used)
	if other := w.active[call.Task]; other != nil {
		w.record.breaks("TWICE", "%s starts on %s while it runs on %s", call.Task, o.id, other.id)
	}
	w.active[call.Task] = o
	for _, before := range j.steps[n].After {
		for k := range j.steps[before].Tasks {
			if !w.done[fmt.Sprintf("%s.0.%d.%d", j.id, before, k)] {
				w.record.breaks("ORDER", "%s starts before step %d is done", call.Task, before)
			}
		}
	}
	return time.Duration(j.steps[n].EstimateMS) * time.Millisecond
}

// checkPlace checks whether the task may start on the worker.
func (w *world) checkPlace(o *worker, task string, j *sentJob, n int, used room) {
	s := &j.steps[n]
	if used.CPU+s.CPU > o.capacity.CPU || used.Memory+s.Memory > o.capacity.Memory {
		w.record.breaks("LIMIT", "%s starts on %s beyond its capacity", task, o.id)
	}
	if since := time.Since(o.drainedAt); !o.drainedAt.IsZero() && since > drainBound {
		w.record.breaks("DRAIN", "%s starts on %s, %v after the store accepted that it drains", task, o.id, since.Round(time.Millisecond))
	}
}

// noteEnd records the end of a run. The caller holds the lock of the worker.
func (w *world) noteEnd(o *worker, r *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.note("worker %s: end of %s run %d: %s", o.id, r.task, r.number, how)
	if w.active[r.task] == o {
		delete(w.active, r.task)
	}
	if how == "done" {
		w.done[r.task] = true
	}
}

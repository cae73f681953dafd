package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runRow is a run of a task that a worker has started.
type runRow struct {
	worker  *worker
	life    time.Time
	task    string
	run     int
	spec    string
	started time.Time
	ended   time.Time
	how     string
}

// record notes what was sent, answered and run, and writes it to a file.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
	runs  []*runRow
	// breaks lists the breaches of rules that were seen at a start.
	breaks []string
	specs  map[string]string
	needs  func(task string) taskNeeds
	done   map[string]time.Time
}

// taskNeeds is what the rules demand of the starts of a task.
type taskNeeds struct {
	cpu          int64
	label        string
	maxPerServer int
	after        []int
	counts       []int
	spec         string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f, specs: map[string]string{}, done: map[string]time.Time{}}, nil
}

func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// logf writes a line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.breaks = append(r.breaks, text)
	r.line("RULE BROKEN: %s", text)
}

func (r *record) specOf(task string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.specs[task]
}

// stepOf returns the job and the step of a task's name ID.K.STEP.INDEX.
func stepOf(task string) (id string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}

// started notes a start and checks LIMIT, TWICE, ORDER, ROUTE and UNASKED.
func (r *record) started(w *worker, task string, run int, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.specs[task] = spec
	row := &runRow{worker: w, life: w.born, task: task, run: run, spec: spec, started: time.Now()}
	r.line("start %s run %d on %s", task, run, w)
	if r.needs != nil {
		r.check(row)
	}
	r.runs = append(r.runs, row)
}

func (r *record) check(row *runRow) {
	need, w := r.needs(row.task), row.worker
	id, step := stepOf(row.task)
	used, beside := need.cpu, 1
	for _, o := range r.runs {
		if !o.ended.IsZero() {
			continue
		}
		if o.task == row.task {
			r.breach("TWICE: %s runs on %s (run %d) and is started on %s (run %d)", row.task, o.worker, o.run, w, row.run)
		}
		if o.worker != w {
			continue
		}
		used += r.needs(o.task).cpu
		if oid, ostep := stepOf(o.task); oid == id && ostep == step {
			beside++
		}
	}
	if used > w.cpu {
		r.breach("LIMIT: %s has %d of %d after the start of %s", w, used, w.cpu, row.task)
	}
	if need.maxPerServer > 0 && beside > need.maxPerServer {
		r.breach("ROUTE: %d tasks of step %s.%d on %s", beside, id, step, w)
	}
	if need.label != "" && !contains(w.labels, need.label) {
		r.breach("ROUTE: %s on %s without label %s", row.task, w, need.label)
	}
	if need.spec != row.spec {
		r.breach("UNASKED: %s with spec %q", row.task, row.spec)
	}
	for _, before := range need.after {
		for i := range need.counts[before] {
			if _, ok := r.done[fmt.Sprintf("%s.0.%d.%d", id, before, i)]; !ok {
				r.breach("ORDER: %s is started before %s.0.%d.%d has ended done", row.task, id, before, i)
			}
		}
	}
}

func contains(list []string, s string) bool {
	for _, o := range list {
		if o == s {
			return true
		}
	}
	return false
}

func (r *record) ended(w *worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("end   %s run %d on %s: %s", task, run, w, how)
	if how == "done" {
		r.done[task] = time.Now()
	}
	for _, o := range r.runs {
		if o.task == task && o.run == run && o.worker == w && o.ended.IsZero() {
			o.ended, o.how = time.Now(), how
		}
	}
}

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// start is a start of a task that a worker has begun.
type start struct {
	job, task, worker string
	run               int
	at                time.Time
}

// record is what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	out    *bufio.Writer
	starts []start
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

func (r *record) started(job, task string, number int, worker string) {
	r.add("worker %s: %s run %d started", worker, task, number)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, start{job: job, task: task, run: number, worker: worker, at: time.Now()})
}

// startsAfter returns the starts of a job's tasks later than a time.
func (r *record) startsAfter(job string, at time.Time) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []start
	for _, s := range r.starts {
		if s.job == job && s.at.After(at) {
			list = append(list, s)
		}
	}
	return list
}

func (r *record) close() { _ = r.file.Close() }

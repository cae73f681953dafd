package main

import (
	"net/http"
	"time"
)

// runJobsCancelled cancels long jobs while the workers are full and others wait
// for room. A worker takes up to stop_ms to stop a run, and lists its end then.
func runJobsCancelled(rec *record, program string, trouble bool) (outcome, error) {
	const longTasks = 4
	w, err := newWorld(rec, program, 2)
	if err != nil {
		return failed, err
	}
	defer w.end()
	if err := w.startFronts("bayan-a", "george-b", "jelutong-c"); err != nil {
		return failed, err
	}
	f := w.fronts[1]
	var long []string
	for range longTasks {
		id := newJobID()
		long = append(long, id)
		w.plan(id, 6*time.Second)
		w.planCPU(id, 14000)
		w.submit(f, id, jobOf(1, 14000, 6*time.Second), 12*time.Second)
		if !w.awaitStarts(id, 1, 2*time.Second) {
			return failed, errNotStarted
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.runShort(w.fronts[2], stop)
	for range longTasks {
		id := newJobID()
		w.plan(id, 500*time.Millisecond)
		w.planCPU(id, 14000)
		w.submit(f, id, jobOf(1, 14000, 500*time.Millisecond), 10*time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, id := range long {
			if a := w.call(f, http.MethodDelete, id, nil, 4*time.Second); a.status != http.StatusOK {
				return failed, errNotCancelled
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	if err := w.checkServed(f); err != nil {
		return failed, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over > 0 {
		return broken, nil
	}
	return held, nil
}

// runShort submits jobs of two short tasks, so that runs end all the time, until
// stop is closed.
func (w *world) runShort(f *front, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			id := newJobID()
			w.plan(id, 15*time.Millisecond)
			w.planCPU(id, 2000)
			w.submit(f, id, jobOf(2, 2000, 15*time.Millisecond), time.Second)
		}
	}
}

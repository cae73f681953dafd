package main

import "time"

const (
	// stallRounds is how often tasks stand still, each time on one worker of ten
	// and for stallTime.
	stallRounds = 3
	stallTime   = 2 * time.Second
	// stallTasks and stallCPU are the tasks of a job, which fit on one worker.
	stallTasks = 8
	stallCPU   = 3500
)

// runTaskStandsStill makes the tasks of a job stand still on the worker that has
// them. The owner stops the runs and starts the tasks elsewhere.
func runTaskStandsStill(rec *record, program string, trouble bool) (outcome, error) {
	w, err := newWorld(rec, program, 10)
	if err != nil {
		return failed, err
	}
	defer w.end()
	if err := w.startFronts("bayan-a", "george-b", "jelutong-c"); err != nil {
		return failed, err
	}
	f := w.fronts[1]
	for range stallRounds {
		id := newJobID()
		w.plan(id, 200*time.Millisecond)
		answered := w.submit(f, id, jobOf(stallTasks, stallCPU, 200*time.Millisecond), 6*time.Second)
		if !w.awaitStarts(id, stallTasks, 2*time.Second) {
			return failed, errNotStarted
		}
		if trouble {
			w.stallWorkerOf(w.startsOf(id)[0])
		}
		<-answered
		time.Sleep(time.Second)
	}
	if err := w.checkServed(f); err != nil {
		return failed, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.beside > 0 {
		return broken, nil
	}
	return held, nil
}

// stallWorkerOf makes the tasks on the worker of a start stand still for stallTime.
func (w *world) stallWorkerOf(s startEvent) {
	for _, k := range w.workers {
		if k.id == s.worker {
			k.stall(true)
			time.Sleep(stallTime)
			k.stall(false)
		}
	}
}

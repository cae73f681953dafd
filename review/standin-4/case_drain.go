package main

import (
	"syscall"
	"time"
)

const (
	// freezeTime is how long an instance stands still.
	freezeTime = 2 * time.Second
	// loadInterval is the interval of the jobs that go to an instance. Two get
	// them, so that about as many tasks arrive as on the site.
	loadInterval = 4 * time.Millisecond
)

// runStaleDrain freezes an instance while a worker reports that it drains. Later
// the owner of the workers is stopped as planned, and the frozen one follows it.
func runStaleDrain(rec *record, program string, trouble bool) (outcome, error) {
	w, err := newWorld(rec, program, 4)
	if err != nil {
		return failed, err
	}
	defer w.end()
	if err := w.startFronts("bayan-a", "george-b", "jelutong-c"); err != nil {
		return failed, err
	}
	first, second, third := w.fronts[0], w.fronts[1], w.fronts[2]
	leaving := w.workers[3]
	if trouble {
		second.signal(syscall.SIGSTOP)
	}
	time.Sleep(700 * time.Millisecond)
	leaving.drain()
	reportedAt := time.Now()
	time.Sleep(freezeTime - 700*time.Millisecond)
	if trouble {
		second.signal(syscall.SIGCONT)
	}
	time.Sleep(calmTime + time.Second)
	long := newJobID()
	w.plan(long, 20*time.Second)
	w.submit(third, long, jobOf(6, 14000, 20*time.Second), 25*time.Second)
	if !w.awaitStarts(long, 6, 2*time.Second) {
		return failed, errNotStarted
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, f := range []*front{second, third} {
		go w.runLoad(f, loadInterval, stop)
	}
	// The instances look every half second whether they need the list; this is
	// between two such moments.
	time.Sleep(1250 * time.Millisecond)
	first.signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second)
	return w.judgeDrain(leaving, reportedAt), nil
}

// runLoad submits short jobs at an interval until stop is closed.
func (w *world) runLoad(f *front, interval time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			w.submit(f, newJobID(), jobOf(1, 14000, 100*time.Millisecond), 2*time.Second)
		}
	}
}

// judgeDrain reports whether a task has started on a draining worker later than
// drain_ms after the store accepted its report.
func (w *world) judgeDrain(k *worker, reportedAt time.Time) outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	result := held
	for _, s := range w.starts {
		if late := s.began.Sub(reportedAt); s.worker == k.id && late > drainTime {
			w.record.printf("DRAIN: %s started on %s %d ms after its report was accepted", s.task, k.id, late.Milliseconds())
			result = broken
		}
	}
	return result
}

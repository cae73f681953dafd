package main

import (
	"errors"
	"net/http"
	"time"
)

var (
	errNotStarted = errors.New("the tasks of the job have not started")
	errNotServed  = errors.New("a job of another client is not served")
)

// checkServed submits a short job, to show that the deployment works.
func (w *world) checkServed(f *front) error {
	a := <-w.submit(f, newJobID(), jobOf(1, 4000, 100*time.Millisecond), 2*time.Second)
	if a.status != http.StatusOK {
		return errNotServed
	}
	return nil
}

// runDuplicateAfterCancel cancels a job at the instance that has it, and then
// sends the job's request there once more, as the pages say of requests.
func runDuplicateAfterCancel(rec *record, program string, trouble bool) (outcome, error) {
	w, err := newWorld(rec, program, 4)
	if err != nil {
		return failed, err
	}
	defer w.end()
	if err := w.startFronts("bayan-a", "george-b", "jelutong-c"); err != nil {
		return failed, err
	}
	f := w.fronts[1]
	id, body := newJobID(), jobOf(2, 14000, 2500*time.Millisecond)
	w.plan(id, 2500*time.Millisecond)
	first := w.submit(f, id, body, 8*time.Second)
	if !w.awaitStarts(id, 2, 2*time.Second) {
		return failed, errNotStarted
	}
	time.Sleep(300 * time.Millisecond)
	cancelled := w.call(f, http.MethodDelete, id, nil, 4*time.Second)
	if a := <-first; cancelled.status/100 != 2 || a.status != http.StatusOK {
		return failed, errors.New("the job was not cancelled")
	}
	time.Sleep(cancelTime + time.Second)
	if trouble {
		w.submit(f, id, body, 8*time.Second)
		time.Sleep(2 * time.Second)
	}
	if err := w.checkServed(f); err != nil {
		return failed, err
	}
	return w.judgeCancel(id, cancelled.at), nil
}

// runCancelElsewhere cancels a job at another instance than the one that has it.
func runCancelElsewhere(rec *record, program string, trouble bool) (outcome, error) {
	w, err := newWorld(rec, program, 4)
	if err != nil {
		return failed, err
	}
	defer w.end()
	if err := w.startFronts("bayan-a", "george-b", "jelutong-c"); err != nil {
		return failed, err
	}
	f, other := w.fronts[1], w.fronts[1]
	if trouble {
		other = w.fronts[2]
	}
	id, body := newJobID(), jobOf(2, 14000, 7*time.Second)
	w.plan(id, 7*time.Second)
	w.submit(f, id, body, 10*time.Second)
	if !w.awaitStarts(id, 2, 2*time.Second) {
		return failed, errNotStarted
	}
	time.Sleep(300 * time.Millisecond)
	cancelled := w.call(other, http.MethodDelete, id, nil, 4*time.Second)
	if cancelled.status/100 != 2 && cancelled.status != http.StatusGone {
		return failed, errors.New("the cancelling was not acknowledged")
	}
	time.Sleep(cancelTime + stopTime + 2*time.Second)
	if err := w.checkServed(f); err != nil {
		return failed, err
	}
	return w.judgeCancel(id, cancelled.at), nil
}

// judgeCancel reports whether a task of the job has started later than cancel_ms
// after its cancelling was acknowledged, or has run on stop_ms after that.
func (w *world) judgeCancel(id string, acknowledged time.Time) outcome {
	result := held
	limit := acknowledged.Add(cancelTime)
	for _, s := range w.startsOf(id) {
		if s.began.After(limit) {
			w.record.printf("UNASKED: %s run %d started %d ms after the cancelling was acknowledged", s.task, s.run, s.began.Sub(acknowledged).Milliseconds())
			result = broken
			continue
		}
		end := s.ended
		if end.IsZero() {
			end = time.Now()
		}
		if end.After(limit.Add(stopTime)) {
			w.record.printf("UNASKED: %s run %d was at work %d ms after the cancelling was acknowledged", s.task, s.run, end.Sub(acknowledged).Milliseconds())
			result = broken
		}
	}
	return result
}

package main

import (
	"net/http"
	"time"
)

const (
	// cutLength is how long a worker is cut off, within that of node_cut on the
	// site.
	cutLength = 2 * time.Second
	// attempts is that of the route.
	attempts = 3
)

// runCutWorkers cuts the worker off that runs the task of a job, three times one
// after the other. The worker runs on until its lease has expired.
func runCutWorkers(rec *record, program string, trouble bool) (outcome, error) {
	w, err := newWorld(rec, program, 6)
	if err != nil {
		return failed, err
	}
	defer w.end()
	if err := w.startFronts("bayan-a", "george-b", "jelutong-c"); err != nil {
		return failed, err
	}
	id := newJobID()
	w.plan(id, 1500*time.Millisecond)
	answered := w.submit(w.fronts[1], id, jobOf(1, 14000, 1500*time.Millisecond), 12*time.Second)
	for n := 1; n <= attempts; n++ {
		if !w.awaitStarts(id, n, 4*time.Second) {
			return failed, errNotStarted
		}
		if !trouble {
			break
		}
		time.Sleep(150 * time.Millisecond)
		starts := w.startsOf(id)
		for _, k := range w.workers {
			if k.id == starts[n-1].worker {
				k.cut(cutLength)
			}
		}
	}
	a := <-answered
	if err := w.checkServed(w.fronts[1]); err != nil {
		return failed, err
	}
	return w.judgeFailed(id, a), nil
}

// judgeFailed reports whether a job was shown as failed although none of its
// tasks has ended failed as often as the route allows.
func (w *world) judgeFailed(id string, a answer) outcome {
	if a.status != http.StatusOK || a.body != `{"state":"failed"}` {
		return held
	}
	failures := 0
	for _, s := range w.startsOf(id) {
		if s.how == "failed" {
			failures++
		}
	}
	if failures >= attempts {
		return held
	}
	w.record.printf("LOST: the job is shown as failed, and %d of %d runs have ended failed; the route allows %d attempts", failures, len(w.startsOf(id)), attempts)
	return broken
}

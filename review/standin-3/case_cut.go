package main

import (
	"net/http"
	"time"
)

// cutLength is how long a worker is cut off.
const cutLength = 2 * time.Second

// runCutCase cuts off the worker that runs the only task of a job, up to three
// times. The other workers are idle.
func runCutCase(w *world) error {
	if err := w.startSite(6, "front-bayan-a-1", "front-bayan-a-2", "front-bayan-a-3"); err != nil {
		return err
	}
	j := sheet(1, 900*time.Millisecond)
	answers := make(chan answer, 1)
	go func() { answers <- w.submit(w.instances[1], j, longBudget) }()
	var a answer
	for cuts := 0; a.at.IsZero(); {
		if o := w.runningOn(j); w.trouble && cuts < 3 && o != nil {
			cuts++
			o.setCut(true)
			time.Sleep(cutLength)
			o.setCut(false)
		}
		select {
		case a = <-answers:
		case <-time.After(5 * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.status == http.StatusOK && a.state == "failed" && j.failures < attempts {
		w.record.breaks("LOST", "%s is shown as failed, and %d of its runs have ended failed", j.id, j.failures)
	}
	return nil
}

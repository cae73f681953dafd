package main

import "time"

// runGraceCase stops an instance while a job of its client waits for room.
func runGraceCase(w *world) error {
	if err := w.startSite(2, "front-bayan-a-1", "front-bayan-a-2", "front-bayan-a-3"); err != nil {
		return err
	}
	other, stopped := w.instances[1], w.instances[2]
	// Two tasks of 14 cores fit on a worker, so that these four take all room.
	go w.submit(other, sheet(4, 7*time.Second), longBudget)
	time.Sleep(300 * time.Millisecond)
	waiting := sheet(4, 900*time.Millisecond)
	answers := make(chan answer, 1)
	go func() { answers <- w.submit(stopped, waiting, longBudget) }()
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		stopped.terminate()
	}
	// A worker that is still at work on the request would be an excuse.
	if a := <-answers; a.status == 0 && w.startsOf(waiting) == 0 {
		w.record.breaks("LOST", "the channel of %s ended without a whole answer, and none of its tasks was started", waiting.id)
	}
	return nil
}

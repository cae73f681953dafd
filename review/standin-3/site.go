package main

import (
	"fmt"
	"time"
)

// cores converts cores to the unit of steps and capacities.
const cores = 1000

// calmTime is how long all is calm before the traffic of a case, beyond
// stability_ms.
const calmTime = 4 * time.Second

// startSite starts workers of 32 cores and instances of those names, and waits
// until they are calm. The instances start one after the other, so that the
// first one owns the workers and the second one follows it.
func (w *world) startSite(workers int, names ...string) error {
	w.setManifest(7, "render")
	for k := range workers {
		o, err := newWorker(w, fmt.Sprintf("i-%04d", k), "render")
		if err != nil {
			return err
		}
		w.workers = append(w.workers, o)
	}
	for _, name := range names {
		if _, err := w.addInstance(name); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return w.waitReady(calmTime)
}

// sheet returns a job like press-sheet of the small sites: tasks of 14 cores.
func sheet(tasks int, estimate time.Duration) *sentJob {
	return newJob([]step{sheetStep(tasks, estimate)})
}

func sheetStep(tasks int, estimate time.Duration) step {
	return step{Tasks: tasks, CPU: 14 * cores, Memory: 64, EstimateMS: float64(estimate.Milliseconds())}
}

package main

import "time"

// runTaskStandsStill makes the tasks on one of ten workers stand still. The owner
// stops such a run and starts the task elsewhere.
func runTaskStandsStill(rec *record, program string, trouble bool) (outcome, error) {
	w, err := newWorld(rec, program, 10)
	if err != nil {
		return failed, err
	}
	defer w.end()
	if err := w.startFronts("bayan-a", "george-b", "jelutong-c"); err != nil {
		return failed, err
	}
	f, still := w.fronts[1], w.workers[0]
	if trouble {
		still.stall(true)
	}
	var answers []<-chan answer
	for range 20 {
		id := newJobID()
		w.plan(id, 200*time.Millisecond)
		answers = append(answers, w.submit(f, id, jobOf(8, 3500, 200*time.Millisecond), 6*time.Second))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		still.stall(false)
	}
	for _, c := range answers {
		<-c
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

package main

import (
	"errors"
	"time"
)

// runCancelCase cancels a job of many steps. With trouble, its client has moved
// to another instance meanwhile.
func runCancelCase(w *world) error {
	if err := w.startSite(4, "front-bayan-a-1", "front-bayan-a-2", "front-george-b-1"); err != nil {
		return err
	}
	first, second := w.instances[1], w.instances[2]
	const steps = 10
	j := newJob(nil)
	for n := range steps {
		s := sheetStep(4, 600*time.Millisecond)
		if n > 0 {
			s.After = []int{n - 1}
		}
		j.steps = append(j.steps, s)
	}
	answers := make(chan answer, 1)
	go func() { answers <- w.submit(first, j, longBudget) }()
	time.Sleep(900 * time.Millisecond)
	to := first
	if w.trouble {
		to = second
	}
	if !w.cancel(to, j) {
		return errors.New("the cancelling was not acknowledged")
	}
	<-answers
	return nil
}

package main

import (
	"errors"
	"net/http"
	"time"
)

// runDuplicateCase cancels a job, and sends the request that handed it in once
// more, as the protocol says of late requests.
func runDuplicateCase(w *world) error {
	if err := w.startSite(4, "front-bayan-a-1", "front-bayan-a-2", "front-bayan-a-3"); err != nil {
		return err
	}
	to := w.instances[1]
	j := sheet(4, 900*time.Millisecond)
	answers := make(chan answer, 1)
	go func() { answers <- w.submit(to, j, budget) }()
	time.Sleep(300 * time.Millisecond)
	if !w.cancel(to, j) {
		return errors.New("the cancelling was not acknowledged")
	}
	if a := <-answers; a.status != http.StatusOK {
		return errors.New("the job was not answered with 200")
	}
	time.Sleep(cancelBound + time.Second)
	w.record.note("client: GET of %s to %s: %s", j.id, to.name, send(http.MethodGet, to.front, prefix+j.id, nil, budget))
	if w.trouble {
		w.record.note("the request that handed in %s arrives again", j.id)
		w.submit(to, j, budget)
	}
	time.Sleep(2 * time.Second)
	return nil
}

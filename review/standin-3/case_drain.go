package main

import (
	"math/rand/v2"
	"time"
)

// runLoad sends jobs at a rate to instances picked at random, until the time is
// over.
func (w *world) runLoad(to []*instance, perSecond int, length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		i := to[rand.IntN(len(to))]
		go w.submit(i, sheet(2, 200*time.Millisecond), budget)
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// runDrainCase lets a worker drain while the store turns the owner of the
// workers away, and stops the owner when all has been calm again.
func runDrainCase(w *world) error {
	// The owner's helpers are the two peers with the lowest names. The one that
	// follows it as the owner is none of them.
	names := []string{"front-bayan-a-1", "front-bayan-a-6", "front-bayan-a-2", "front-bayan-a-3", "front-bayan-a-4", "front-bayan-a-5"}
	if err := w.startSite(16, names...); err != nil {
		return err
	}
	owner, others := w.instances[0], w.instances[2:]
	go w.runLoad(others, 200, 12*time.Second)
	time.Sleep(time.Second)
	owner.path.busy.Store(w.trouble)
	w.record.note("the store turns %s away: %v", owner.name, w.trouble)
	time.Sleep(2500 * time.Millisecond)
	w.workers[3].drain()
	time.Sleep(1500 * time.Millisecond)
	owner.path.busy.Store(false)
	w.record.note("the store serves all")
	time.Sleep(calmTime)
	if w.trouble {
		go owner.terminate()
	}
	time.Sleep(4 * time.Second)
	return nil
}

package main

import (
	"fmt"
	"strings"
	"time"
)

// cancelThenDuplicate lets clients hand in a job and cancel it. The disruption:
// the requests that handed in two of the jobs arrive once more, seconds after
// their 2xx answer, one at the same node and one at another. All the while
// another client hands in small jobs.
func cancelThenDuplicate(w *world) (broken bool) {
	w.begin(3, 4)
	stop := w.runTraffic()
	defer stop()
	late := 0
	for i := range 4 {
		client, job := fmt.Sprintf("client-%d", i), fmt.Sprintf("5c0e7a21d94b36f%d", i)
		body, home := jobBody(4, largeCPU, w.takes), w.route(client)
		handedIn := make(chan answer, 1)
		go func() { handedIn <- w.call(client, "POST", home, job, body, 4*time.Second) }()
		time.Sleep(700 * time.Millisecond)
		cancelled := w.call(client, "DELETE", w.route(client), job, nil, 4*time.Second)
		if !cancelled.acknowledged() {
			panic(caseFailed{errNoAck})
		}
		first := <-handedIn
		if first.status/100 != 2 {
			w.record.add("%s: the job was not accepted", client)
			continue
		}
		time.Sleep(time.Until(cancelled.at.Add(cancelBound + 500*time.Millisecond)))
		if w.trouble && i >= 2 {
			to := home
			if i == 3 {
				to = w.other(home)
			}
			w.call(client, "POST", to, job, body, 4*time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		late += w.lateStarts(job, cancelled.at)
	}
	return late > 0
}

// other returns another node.
func (w *world) other(than *node) *node {
	for _, n := range w.nodes {
		if n != than {
			return n
		}
	}
	return than
}

// cancelDropped lets a client hand in a job, and cancel it once
// config_apply_ms has passed, with a repeat each second until that is acknowledged. The disruption: the operator
// removes the job's route right after the job was handed in.
func cancelDropped(w *world) (broken bool) {
	w.begin(3, 2)
	stop := w.runTraffic()
	defer stop()
	const client, job = "client-0", "c1c0a7d94b365e2f"
	home := w.route(client)
	done := make(chan answer, 1)
	go func() { done <- w.call(client, "POST", home, job, jobBody(24, largeCPU, w.takes), 13*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		w.putManifest(9, otherPrefix)
		w.record.add("operator: version 9, without the route of the job, is confirmed")
	}
	time.Sleep(2 * time.Second)
	first := time.Now()
	var ended answer
	for ended.at.IsZero() {
		if w.call(client, "DELETE", w.route(client), job, nil, 4*time.Second).acknowledged() {
			ended = <-done
			break
		}
		select {
		case ended = <-done:
		case <-time.After(time.Second):
		}
	}
	return w.lateStarts(job, first.Add(ackBound)) > 0
}

// ackBound is ack_ms: a cancelling that is not acknowledged for that long counts
// as if it were.
const ackBound = 4 * time.Second

// cutOff lets clients hand in jobs with a long time budget. The disruption: a
// sixth of the workers is cut off from all nodes for cutTime, then the next
// sixth, and so on. No task fails by itself.
func cutOff(w *world) (broken bool) {
	w.begin(3, 30)
	const length, budget = 70 * time.Second, 13 * time.Second
	answers := make(chan answer, 1000)
	jobs := 0
	end := time.Now().Add(length)
	if w.trouble {
		go w.cutInTurn(end)
	}
	for ; time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		client, job := fmt.Sprintf("client-%d", jobs%20), fmt.Sprintf("3b9ac9ff%08x", jobs)
		jobs++
		go func() {
			answers <- w.call(client, "POST", w.route(client), job, jobBody(3, largeCPU, w.takes), budget)
		}()
	}
	lost := 0
	for range jobs {
		if a := <-answers; a.status == 200 && strings.Contains(a.body, "failed") {
			lost++
		}
	}
	w.record.add("LOST: %d of %d jobs were shown as failed, while no worker listed an end as failed", lost, jobs)
	return lost > 0
}

// cutTime is how long a worker is cut off. The limit is 5.5 s.
const cutTime = 1500 * time.Millisecond

// cutInTurn cuts off a sixth of the workers at a time until end.
func (w *world) cutInTurn(end time.Time) {
	for first := 0; time.Now().Before(end); first += len(w.workers) / 6 {
		for i := range len(w.workers) / 6 {
			worker := w.workers[(first+i)%len(w.workers)]
			w.record.add("disruption: %s is cut off for %v", worker.id, cutTime)
			worker.cut(cutTime)
		}
		time.Sleep(cutTime)
	}
}

// runTraffic hands in a small job every 0.2 s until the function that it returns
// is called.
func (w *world) runTraffic() (stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(200 * time.Millisecond):
			}
			job := fmt.Sprintf("%s%08x", smallJob, i)
			go w.callOn(otherPrefix, "traffic", "POST", w.route("traffic"), job, jobBody(1, smallCPU, smallTakes), 1500*time.Millisecond)
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

const (
	// smallJob begins the ids of small jobs, whose task works for smallTakes.
	smallJob   = "0de1f0aa"
	smallTakes = 60 * time.Millisecond
	// largeCPU and smallCPU are what a task asks for, in thousandths of a core.
	largeCPU, smallCPU = 14000, 1000
)

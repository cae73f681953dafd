package main

import (
	"fmt"
	"time"
)

// runCancel shows a job that goes on after its client has cancelled it. With
// trouble, a node is added between the job's POST and its DELETE, so that the
// DELETE, on a channel of its own, reaches another node than the POST.
func runCancel(f *fleet, trouble bool) (broken bool, err error) {
	for i := range 4 {
		if err := f.addWorker(fmt.Sprintf("i-%04d", i), "a", []string{"a", "r1-1"}, 32_000); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		n, err := f.addNode(fmt.Sprintf("front-a-%d", i+1), "a")
		if err != nil {
			return false, err
		}
		if err := f.start(n); err != nil {
			return false, err
		}
	}
	go f.watchReadiness()
	if !f.waitReady(15 * time.Second) {
		return false, fmt.Errorf("the nodes are not ready")
	}
	time.Sleep(2 * time.Second)
	// A client whose channels go to the node that is added.
	added, err := f.addNode("front-a-3", "a")
	if err != nil {
		return false, err
	}
	client := ""
	for i := 0; client == ""; i++ {
		name := fmt.Sprintf("client-%d", i)
		if w := weight(name, added.name); w > weight(name, "front-a-1") && w > weight(name, "front-a-2") {
			client = name
		}
	}
	const id = "5c0e7a21d94b36f8"
	const tasks = 72
	go f.request(client, "a", "POST", "/jobs/"+id, jsonText(map[string]any{
		"spec": "ms=1000", "best_effort": true,
		"steps": []map[string]any{{"task_count": tasks, "cpu": 14_000, "mem_mb": 64, "est_ms": 1000}},
	}), 10*time.Second)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := f.start(added); err != nil {
			return false, err
		}
		if !f.waitReady(10 * time.Second) {
			return false, fmt.Errorf("the added node is not ready")
		}
	}
	time.Sleep(1500 * time.Millisecond)
	status, _, by := f.request(client, "a", "DELETE", "/jobs/"+id, "", 4*time.Second)
	if status/100 != 2 && status != 410 {
		return false, fmt.Errorf("the DELETE was answered with %d", status)
	}
	acked := time.Now()
	f.rec.logf("the cancelling is acknowledged with %d by %s", status, by.name)
	time.Sleep(cancelMS*time.Millisecond + 6*time.Second)
	f.rec.mu.Lock()
	defer f.rec.mu.Unlock()
	late, after := 0, 0
	for _, r := range f.rec.runs {
		if r.started.After(acked) {
			after++
		}
		if r.started.Sub(acked) > cancelMS*time.Millisecond {
			late++
		}
	}
	f.rec.line("%d starts, %d of them after the acknowledgement, %d later than %d ms after it", len(f.rec.runs), after, late, cancelMS)
	if late > 0 {
		f.rec.breach("UNASKED: %d tasks of job %s are started later than %d ms after its cancelling was acknowledged", late, id, cancelMS)
	}
	return late > 0, nil
}

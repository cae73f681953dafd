package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

var (
	errNotStarted   = errors.New("the task of a job has not started")
	errNotServed    = errors.New("a job of another client is not served")
	errNotCancelled = errors.New("a job was not cancelled")
)

// answer is what a client got for a call. The status is zero without one.
type answer struct {
	status int
	body   string
	at     time.Time
}

// newJobID returns a job id as clients choose it.
func newJobID() string {
	s := strconv.FormatUint(rand.Uint64(), 16)
	return strings.Repeat("0", 16-len(s)) + s
}

// jobOf returns the body of a job of one step.
func jobOf(tasks, cpu int, estimate time.Duration) []byte {
	data, err := json.Marshal(map[string]any{
		"spec": "sheet", "best_effort": true,
		"steps": []map[string]any{{"task_count": tasks, "cpu": cpu, "mem_mb": 64, "est_ms": estimate.Milliseconds()}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// call makes a call to an entry instance on a channel of its own.
func (w *world) call(f *front, method, job string, body []byte, deadline time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+f.address+routePrefix+job, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = routeHost
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: deadline + time.Second}
	w.record.printf("client sends %s %s to %s", method, job, f.name)
	r, err := client.Do(req)
	if err != nil {
		w.record.printf("client gets no answer to %s %s from %s: %v", method, job, f.name, err)
		return answer{at: time.Now()}
	}
	defer func() { _ = r.Body.Close() }()
	data, _ := io.ReadAll(r.Body)
	a := answer{status: r.StatusCode, body: strings.TrimSpace(string(data)), at: time.Now()}
	w.record.printf("client gets %d %s to %s %s from %s", a.status, a.body, method, job, f.name)
	return a
}

// submit sends a job in the background and returns a channel for the answer.
func (w *world) submit(f *front, job string, body []byte, deadline time.Duration) <-chan answer {
	c := make(chan answer, 1)
	go func() { c <- w.call(f, http.MethodPost, job, body, deadline) }()
	return c
}

// checkServed submits a short job, to show that the deployment works.
func (w *world) checkServed(f *front) error {
	a := <-w.submit(f, newJobID(), jobOf(1, 4000, 100*time.Millisecond), 2*time.Second)
	if a.status != http.StatusOK {
		return errNotServed
	}
	return nil
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// answer is how a request ended. Status is zero if the channel ended without a
// whole answer.
type answer struct {
	status int
	state  string
	at     time.Time
	err    error
}

// budget is the time budget of the requests of the small sites.
const budget = 1500 * time.Millisecond

// longBudget is the time budget of long jobs. On the small sites, the bench sends
// up to 13 s.
const longBudget = 12 * time.Second

// newJob returns a job with an id of its own.
func newJob(steps []step) *sentJob {
	id := fmt.Sprintf("%016x", rand.Uint64())
	return &sentJob{id: id, spec: "sheet " + id, steps: steps}
}

// send makes one request on a channel of its own and waits for its answer.
func send(method, address, path string, body []byte, budget time.Duration) answer {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: budget + time.Second}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{at: time.Now(), err: err}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return answer{at: time.Now(), err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{at: time.Now(), err: err}
	}
	var decoded struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &decoded)
	return answer{status: response.StatusCode, state: decoded.State, at: time.Now()}
}

// submit sends a job that needn't be kept and waits for its answer.
func (w *world) submit(to *instance, j *sentJob, budget time.Duration) answer {
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps, "best_effort": true})
	w.addJob(j)
	w.record.note("client: POST of %s to %s, time budget %v", j.id, to.name, budget)
	a := send(http.MethodPost, to.front, prefix+j.id, body, budget)
	w.record.note("client: POST of %s to %s: %s", j.id, to.name, a)
	return a
}

// String describes the answer without addresses.
func (a answer) String() string {
	if a.err != nil {
		text := a.err.Error()
		return "no whole answer (" + text[strings.LastIndex(text, ": ")+1:] + " )"
	}
	return strings.TrimSpace(fmt.Sprint(a.status, " ", a.state))
}

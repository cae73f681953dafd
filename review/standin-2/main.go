// Command standin-2 plays the scripted cases of the second review: it starts the
// project's own program as processes on loopback addresses, with stand-ins for
// the platform's store, the ingress, the workers and the clients, and judges one
// rule by what the stand-ins have seen.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	service = "sheet-render"
	host    = "nony24.example"
	prefix  = "/lohu930/"
	// otherPrefix is that of the route of the small jobs.
	otherPrefix = "/pule252/"
	// cancelBound is cancel_ms: a task must not start later than that after the
	// job's cancelling was acknowledged.
	cancelBound = 3 * time.Second
)

// world is what a case plays with.
type world struct {
	*fleet
	trouble bool
	store   *store
	takes   time.Duration
	workers []*worker
}

var cases = map[string]func(*world) (broken bool){
	"cancel-then-duplicate": cancelThenDuplicate,
	"cancel-dropped":        cancelDropped,
	"cut-off":               cutOff,
}

// main exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(c func(*world) bool, program, recordPath string) (status int) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec := newRecord(recordPath)
	defer rec.close()
	s := newStore()
	w := &world{
		fleet:   &fleet{record: rec, folder: folder, program: program, store: serveStore(s)},
		trouble: os.Getenv("TROUBLE") != "0", store: s, takes: 2 * time.Second,
	}
	defer w.stop()
	defer func() {
		failed := recover()
		if f, ok := failed.(caseFailed); ok {
			rec.add("the case could not run: %v", f.error)
			status = 2
		} else if failed != nil {
			panic(failed)
		}
	}()
	rec.add("disruption: %v", w.trouble)
	if c(w) {
		rec.add("the rule was broken")
		return 1
	}
	rec.add("the rule held")
	return 0
}

// begin writes the manifest and starts nodes and workers. It returns once the
// fleet serves and has been calm for longer than stability_ms.
func (w *world) begin(nodes, workers int) {
	w.putManifest(7, prefix, otherPrefix)
	for i := range workers {
		worker := startWorker(fmt.Sprintf("i-7f3a91c%x", i), service, "bayan-a", "r1-1", w.record, w.workOf)
		w.workers = append(w.workers, worker)
		go worker.register(w.store)
	}
	for i := range nodes {
		w.start(fmt.Sprintf("front-bayan-a-%d", i+1))
	}
	go w.runIngress()
	w.awaitRotation(nodes)
	time.Sleep(4 * time.Second)
}

// putManifest confirms a version of the manifest with the routes of prefixes.
func (w *world) putManifest(version int, prefixes ...string) {
	var routes []map[string]any
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-3hwrr6%d", i), "host": host, "prefix": p, "kind": "unsafe", "timeout_ms": 30000, "target_latency_ms": 60,
			"priority": 0, "service": service, "attempts": 3, "stretch": 1.6,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": false, "standby": false,
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// workOf returns how long a task of a job works.
func (w *world) workOf(job string) time.Duration {
	if strings.HasPrefix(job, smallJob) {
		return smallTakes
	}
	return w.takes
}

// answer is the answer to a call of a client, or its absence.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call makes a call of a client on a new channel, which the ingress gives to
// the node to.
func (w *world) call(client, method string, to *node, job string, body []byte, patience time.Duration) answer {
	return w.callOn(prefix, client, method, to, job, body, patience)
}

func (w *world) callOn(queue, client, method string, to *node, job string, body []byte, patience time.Duration) answer {
	r, err := http.NewRequest(method, "http://"+to.front+queue+job, bytes.NewReader(body))
	if err != nil {
		panic(caseFailed{err})
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	w.record.add("%s: %s of job %s to %s", client, method, job, to.name)
	channel := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	res, err := channel.Do(r)
	if err != nil {
		w.record.add("%s: %s of job %s has no answer: %v", client, method, job, err)
		return answer{at: time.Now()}
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, body: string(text), at: time.Now()}
	w.record.add("%s: %s of job %s is answered %d %s", client, method, job, a.status, a.body)
	return a
}

// jobBody returns a job that need not be kept, with one step.
func jobBody(tasks, cpu int, takes time.Duration) []byte {
	data, err := json.Marshal(map[string]any{
		"spec": "sheet", "best_effort": true,
		"steps": []map[string]any{{"task_count": tasks, "cpu": cpu, "mem_mb": 64, "est_ms": takes.Milliseconds()}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// acknowledged reports whether a DELETE was acknowledged.
func (a answer) acknowledged() bool { return a.status/100 == 2 || a.status == http.StatusGone }

// lateStarts records and counts the starts of a job later than cancel_ms after
// its cancelling was acknowledged, or counts so.
func (w *world) lateStarts(job string, ack time.Time) int {
	list := w.record.startsAfter(job, ack.Add(cancelBound))
	for _, s := range list {
		w.record.add("UNASKED: %s started on %s %.3f s after the cancelling was acknowledged or counts so", s.task, s.worker, s.at.Sub(ack).Seconds())
	}
	return len(list)
}

var errNoAck = errors.New("a DELETE was not acknowledged")

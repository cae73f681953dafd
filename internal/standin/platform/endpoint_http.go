package platform

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Reasons why a task is refused, as sent in the header Hornbeamlift-Not-Run.
const (
	notRunBusy     = "busy"
	notRunDraining = "draining"
	notRunDeadline = "deadline"
)

// switchPrefix is the prefix of the paths of the switches.
const switchPrefix = "/stand-in/"

// connKey is the context key of the connection of a request.
type connKey struct{}

func (e *Endpoint) routes() {
	e.mux.HandleFunc("POST /v1/tasks", e.serveTask)
	e.mux.HandleFunc("GET /v1/status", e.serveStatus)

	e.mux.HandleFunc("PUT /stand-in/fail-fast", boolSwitch(e.SetFailFast))
	e.mux.HandleFunc("PUT /stand-in/draining", boolSwitch(e.SetDraining))
	e.mux.HandleFunc("PUT /stand-in/delay-ms", millisSwitch(e.SetDelay))
	e.mux.HandleFunc("PUT /stand-in/straggle", e.serveSpeedFactor)
	e.mux.HandleFunc("PUT /stand-in/silence", e.serveSilence)
	e.mux.HandleFunc("GET /stand-in/starts", e.serveStarts)
}

// Handler returns the endpoint's HTTP interface.
func (e *Endpoint) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*silentConn)
		if strings.HasPrefix(r.URL.Path, switchPrefix) {
			if conn != nil {
				conn.setControl()
			}
			e.mux.ServeHTTP(w, r)
			return
		}
		e.mu.Lock()
		silent := e.silence == SilentAll
		e.mu.Unlock()
		if silent {
			if conn != nil {
				conn.silence()
			}
			<-r.Context().Done()
			abortConnection()
		}
		e.mux.ServeHTTP(w, r)
	})
}

// taskInput is a task input that controls the run. RunMS is the nominal run
// time in milliseconds, and Echo is the output. Both are optional.
type taskInput struct {
	RunMS *float64 `json:"run-ms"`
	Echo  *string  `json:"echo"`
}

// readInput returns the nominal run time and the output of a task with the
// body. They are the endpoint's default run time and the body itself, unless
// the body is a taskInput that sets them. A negative run time is ignored.
func (e *Endpoint) readInput(body []byte) (nominal time.Duration, output []byte) {
	nominal, output = e.settings.RunTime, body
	var input taskInput
	if json.Unmarshal(body, &input) != nil {
		return nominal, output
	}
	if input.RunMS != nil && *input.RunMS >= 0 {
		nominal = scale(time.Millisecond, 1 / *input.RunMS)
	}
	if input.Echo != nil {
		output = []byte(*input.Echo)
	}
	return nominal, output
}

func (e *Endpoint) serveTask(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	task := r.Header.Get("Hornbeamlift-Task")
	if task == "" {
		http.Error(w, "no header Hornbeamlift-Task", http.StatusBadRequest)
		return
	}
	var timeLeft *time.Duration
	if text := r.Header.Get("Hornbeamlift-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, "malformed header Hornbeamlift-Deadline-Ms", http.StatusBadRequest)
			return
		}
		d := time.Duration(ms) * time.Millisecond
		timeLeft = &d
	}
	nominal, output := e.readInput(body)
	runTime, failFast, refusal := e.admit(task, r.Header.Get("Hornbeamlift-Attempt"), nominal, timeLeft)
	if refusal != "" {
		e.wait(r, e.replyDelay())
		w.Header().Set("Hornbeamlift-Not-Run", refusal)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	aborted := !failFast && !e.wait(r, runTime)
	e.finish(task, aborted)
	if aborted {
		abortConnection()
	}
	e.wait(r, e.replyDelay())
	if failFast {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(output)))
	w.Write(output)
}

func (e *Endpoint) replyDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delay
}

// wait waits for d. It returns false if the client cancels the request before d
// has passed.
func (e *Endpoint) wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	passed, stop := after(e.settings.Clock, d)
	defer stop()
	select {
	case <-passed:
		return true
	case <-r.Context().Done():
		return false
	}
}

type statusBody struct {
	Slots    int      `json:"slots"`
	Busy     int      `json:"busy"`
	Draining bool     `json:"draining"`
	Running  []string `json:"running"`
}

func (e *Endpoint) serveStatus(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	body := statusBody{
		Slots: e.settings.Slots, Busy: e.busy, Draining: e.draining,
		Running: slices.Sorted(maps.Keys(e.running)),
	}
	e.mu.Unlock()
	if body.Running == nil {
		body.Running = []string{}
	}
	e.wait(r, e.replyDelay())
	writeJSON(w, body)
}

func (e *Endpoint) serveSpeedFactor(w http.ResponseWriter, r *http.Request) {
	var factor float64
	if !readSwitch(w, r, &factor) {
		return
	}
	if !validFactor(factor) {
		http.Error(w, "the factor must be above 0", http.StatusBadRequest)
		return
	}
	e.SetSpeedFactor(factor)
}

func (e *Endpoint) serveSilence(w http.ResponseWriter, r *http.Request) {
	var s Silence
	if !readSwitch(w, r, &s) {
		return
	}
	switch s {
	case SilentNone, SilentExisting, SilentAll:
		e.SetSilence(s)
	default:
		http.Error(w, "unknown value", http.StatusBadRequest)
	}
}

type startRecord struct {
	Task    string `json:"task"`
	Attempt string `json:"attempt"`
	At      int64  `json:"at-ms"`
}

type startsBody struct {
	Starts      []startRecord  `json:"starts"`
	Duplicates  int            `json:"duplicates"`
	Completions map[string]int `json:"completions"`
	Aborted     int            `json:"aborted"`
}

func (e *Endpoint) serveStarts(w http.ResponseWriter, _ *http.Request) {
	body := startsBody{
		Starts: []startRecord{}, Duplicates: e.Duplicates(), Completions: e.Completions(), Aborted: e.Aborted(),
	}
	for _, s := range e.StartRecords() {
		body.Starts = append(body.Starts, startRecord{Task: s.Task, Attempt: s.Attempt, At: s.At.UnixMilli()})
	}
	writeJSON(w, body)
}

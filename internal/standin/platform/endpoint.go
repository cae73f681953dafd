package platform

import (
	"context"
	"maps"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Defaults of an endpoint, as the users' workers have them.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultRunTime     = 100 * time.Millisecond
)

// EndpointSettings configures an Endpoint.
type EndpointSettings struct {
	// Slots is the number of tasks that run at once.
	Slots int
	// Connections is the number of open connections.
	Connections int
	// Speed divides the nominal time of a task.
	Speed float64
	// RunTime is the nominal time of a task whose input names none.
	RunTime time.Duration
	Clock   clock.Clock
}

// Defaults returns s with each unset field set.
func (s EndpointSettings) Defaults() EndpointSettings {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
	if s.Speed == 0 {
		s.Speed = 1
	}
	if s.RunTime == 0 {
		s.RunTime = defaultRunTime
	}
	if s.Clock == nil {
		s.Clock = clock.System{}
	}
	return s
}

// Validate reports the first field that breaks a rule, as a failure of kind
// fault.SettingsInvalid.
func (s EndpointSettings) Validate() error {
	bad := func(field string) error {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail("must be above 0")
	}
	switch {
	case s.Slots <= 0:
		return bad("slots")
	case s.Connections <= 0:
		return bad("connections")
	case !validFactor(s.Speed):
		return bad("speed")
	case s.RunTime <= 0:
		return bad("run-time")
	}
	return nil
}

// Silence says which connections of an endpoint have gone silent.
type Silence string

// The values of Silence.
const (
	// SilentNone lets new connections work. Those that are silent stay so.
	SilentNone Silence = "none"
	// SilentExisting makes the open connections silent for good, once.
	SilentExisting Silence = "silent-existing"
	// SilentAll makes the open connections silent, and new ones with their
	// first request, until another value is set.
	SilentAll Silence = "silent-all"
)

// Start is the record of one start of a task.
type Start struct {
	Task    string
	Attempt string
	At      time.Time
}

// Endpoint is a stand-in for a worker. Its Handler alone serves in tests, but
// the bound on connections, and silence, need Serve or Run.
type Endpoint struct {
	settings EndpointSettings
	mux      *http.ServeMux

	mu        sync.Mutex
	listeners map[*limitListener]bool
	running   map[string]int
	busy      int
	starts    []Start
	counts    map[string]int
	completed map[string]int
	aborted   int
	draining  bool
	failFast  bool
	straggle  float64
	silence   Silence
	delay     time.Duration
}

// NewEndpoint returns an endpoint. The failure has kind fault.SettingsInvalid.
func NewEndpoint(settings EndpointSettings) (*Endpoint, error) {
	settings = settings.Defaults()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	e := &Endpoint{
		settings:  settings,
		mux:       http.NewServeMux(),
		listeners: map[*limitListener]bool{},
		running:   map[string]int{},
		counts:    map[string]int{},
		completed: map[string]int{},
		straggle:  1,
		silence:   SilentNone,
	}
	e.routes()
	return e, nil
}

// Run serves on the address until ctx ends.
func (e *Endpoint) Run(ctx context.Context, address string) error {
	l, err := listen(ctx, address)
	if err != nil {
		return err
	}
	return e.Serve(ctx, l)
}

// Serve serves on the listener until ctx ends.
func (e *Endpoint) Serve(ctx context.Context, inner net.Listener) error {
	l := newLimitListener(inner, e.settings.Connections)
	e.mu.Lock()
	e.listeners[l] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.listeners, l)
	}()
	server := &http.Server{
		Handler: e.Handler(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return serve(ctx, server, l)
}

// Starts returns the number of starts by task, named as in the header
// Hornbeamlift-Task.
func (e *Endpoint) Starts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.counts)
}

// Completions returns the number of runs that ended with a reply, by task. Runs
// that were aborted by the client do not count.
func (e *Endpoint) Completions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.completed)
}

// StartRecords returns each start in order.
func (e *Endpoint) StartRecords() []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Start(nil), e.starts...)
}

// Duplicates returns the number of starts beyond the first of each task.
func (e *Endpoint) Duplicates() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.starts) - len(e.counts)
}

// Aborted returns the number of runs that the client ended.
func (e *Endpoint) Aborted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.aborted
}

// Busy returns the number of running tasks.
func (e *Endpoint) Busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.busy
}

// OpenConnections returns the number of open connections. A silent one counts
// until the client closes it.
func (e *Endpoint) OpenConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for l := range e.listeners {
		n += l.count()
	}
	return n
}

// SetFailFast makes each task fail at once with status 500.
func (e *Endpoint) SetFailFast(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failFast = on
}

// SetStraggle multiplies the speed of tasks that start later; 1 is normal and
// 0.1 is ten times slower. Other than a factor above 0 is ignored.
func (e *Endpoint) SetStraggle(factor float64) {
	if !validFactor(factor) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.straggle = factor
}

// SetDraining makes the endpoint refuse new tasks.
func (e *Endpoint) SetDraining(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// SetSilence makes connections go silent. Connections that carried a switch are
// spared.
func (e *Endpoint) SetSilence(s Silence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silence = s
	if s == SilentNone {
		return
	}
	for l := range e.listeners {
		l.silenceAll()
	}
}

// SetDelay holds each later reply back for d. The task's slot is free before
// the delay, as with a slow network.
func (e *Endpoint) SetDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = d
}

// admit starts the task, or returns why it may not start. limit is the time
// until the task's deadline, or nil.
func (e *Endpoint) admit(task, attempt string, nominal time.Duration, limit *time.Duration) (run time.Duration, failFast bool, refusal string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A straggler does not know that it is slow, so it compares the deadline
	// with its usual speed.
	usual := scale(nominal, e.settings.Speed)
	switch {
	case e.draining:
		return 0, false, notRunDraining
	case limit != nil && usual > *limit:
		return 0, false, notRunDeadline
	case e.busy >= e.settings.Slots:
		return 0, false, notRunBusy
	}
	e.busy++
	e.running[task]++
	e.counts[task]++
	e.starts = append(e.starts, Start{Task: task, Attempt: attempt, At: e.settings.Clock.Now()})
	return scale(usual, e.straggle), e.failFast, ""
}

// finish records the end of a run.
func (e *Endpoint) finish(task string, aborted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
	e.running[task]--
	if e.running[task] == 0 {
		delete(e.running, task)
	}
	if aborted {
		e.aborted++
		return
	}
	e.completed[task]++
}

// scale divides d by the speed.
func scale(d time.Duration, speed float64) time.Duration {
	return time.Duration(min(float64(d)/speed, float64(math.MaxInt64/2)))
}

func validFactor(f float64) bool { return f > 0 && !math.IsInf(f, 0) }

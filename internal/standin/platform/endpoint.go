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

// Defaults of an endpoint. The slots and connections match the users' workers.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultRunTime     = 100 * time.Millisecond
)

// EndpointSettings configures an Endpoint.
type EndpointSettings struct {
	// Slots is the maximum number of tasks that run at once.
	Slots int
	// Connections is the maximum number of open connections.
	Connections int
	// Speed is the factor by which tasks run faster than their nominal time.
	Speed float64
	// RunTime is the nominal run time of a task whose input does not give one.
	RunTime time.Duration
	Clock   clock.Clock
}

// Defaults returns s with its unset fields set to their defaults.
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

// Validate returns an error of kind fault.SettingsInvalid that names the first
// invalid field, or nil.
func (s EndpointSettings) Validate() error {
	invalid := func(field string) error {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail("must be above 0")
	}
	switch {
	case s.Slots <= 0:
		return invalid("slots")
	case s.Connections <= 0:
		return invalid("connections")
	case !validFactor(s.Speed):
		return invalid("speed")
	case s.RunTime <= 0:
		return invalid("run-time")
	}
	return nil
}

// Silence selects the connections of an endpoint that go silent. On a silent
// connection data is dropped in both directions without an error.
type Silence string

// The values of Silence.
const (
	// SilentNone makes new connections work normally. Connections that are
	// already silent stay silent.
	SilentNone Silence = "none"
	// SilentExisting makes the connections that are open now silent for good.
	// Later ones work normally.
	SilentExisting Silence = "silent-existing"
	// SilentAll makes the open connections silent. Until another mode is set, a
	// new connection goes silent with its first request.
	SilentAll Silence = "silent-all"
)

// Start records one start of a task. Task and Attempt are the values of the
// request headers Hornbeamlift-Task and Hornbeamlift-Attempt.
type Start struct {
	Task    string
	Attempt string
	At      time.Time
}

// Endpoint is a simulated endpoint. Tests may use its Handler directly, but
// the connection limit and silent connections work only with Serve or Run.
type Endpoint struct {
	settings EndpointSettings
	mux      *http.ServeMux

	mu        sync.Mutex
	listeners map[*limitListener]bool
	// By task: running counts the runs in progress, startCounts all starts, and
	// completed the runs that ended with a reply.
	running     map[string]int
	busy        int
	starts      []Start
	startCounts map[string]int
	completed   map[string]int
	aborted     int
	draining    bool
	failFast    bool
	// speedFactor multiplies the speed of tasks that start.
	speedFactor float64
	silence     Silence
	delay       time.Duration
}

// NewEndpoint returns an endpoint, or an error of kind fault.SettingsInvalid.
func NewEndpoint(settings EndpointSettings) (*Endpoint, error) {
	settings = settings.Defaults()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	e := &Endpoint{
		settings:    settings,
		mux:         http.NewServeMux(),
		listeners:   map[*limitListener]bool{},
		running:     map[string]int{},
		startCounts: map[string]int{},
		completed:   map[string]int{},
		speedFactor: 1,
		silence:     SilentNone,
	}
	e.routes()
	return e, nil
}

// Run serves on the address until ctx is cancelled.
func (e *Endpoint) Run(ctx context.Context, address string) error {
	l, err := listen(ctx, address)
	if err != nil {
		return err
	}
	return e.Serve(ctx, l)
}

// Serve serves on the listener until ctx is cancelled.
func (e *Endpoint) Serve(ctx context.Context, listener net.Listener) error {
	l := newLimitListener(listener, e.settings.Connections)
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

// Starts returns the number of starts by task. The keys are values of the
// header Hornbeamlift-Task.
func (e *Endpoint) Starts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.startCounts)
}

// Completions returns the number of runs by task that ended with a reply,
// whether they succeeded or failed. Runs that the client aborted do not count.
func (e *Endpoint) Completions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.completed)
}

// StartRecords returns all starts in order.
func (e *Endpoint) StartRecords() []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Start(nil), e.starts...)
}

// Duplicates returns the number of repeated starts, which are those after the
// first start of each task.
func (e *Endpoint) Duplicates() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.starts) - len(e.startCounts)
}

// Aborted returns the number of runs that the client aborted by cancelling its
// request.
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

// OpenConnections returns the number of open connections. A silent connection
// counts until the client closes it.
func (e *Endpoint) OpenConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for l := range e.listeners {
		n += l.count()
	}
	return n
}

// SetFailFast sets whether tasks fail at once with status 500.
func (e *Endpoint) SetFailFast(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failFast = on
}

// SetSpeedFactor multiplies the speed of tasks that start later: 1 is normal,
// and 0.1 is ten times slower. A factor below 1 makes the endpoint a straggler.
// A factor that is not finite and above 0 is ignored.
func (e *Endpoint) SetSpeedFactor(factor float64) {
	if !validFactor(factor) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speedFactor = factor
}

// SetDraining sets whether the endpoint refuses new tasks.
func (e *Endpoint) SetDraining(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// SetSilence selects the connections that go silent. Connections that have
// carried a switch request do not go silent.
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

// SetDelay delays each later reply by d. The task's slot is released before the
// delay, as on a slow network.
func (e *Endpoint) SetDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = d
}

// admit starts the task and returns its run time, or returns the reason why it
// is refused. timeLeft is the time until the task's deadline, or nil without
// one.
func (e *Endpoint) admit(task, attempt string, nominal time.Duration, timeLeft *time.Duration) (runTime time.Duration, failFast bool, refusal string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// An endpoint does not know that it is a straggler, so it checks the
	// deadline against its configured speed.
	expected := scale(nominal, e.settings.Speed)
	switch {
	case e.draining:
		return 0, false, notRunDraining
	case timeLeft != nil && expected > *timeLeft:
		return 0, false, notRunDeadline
	case e.busy >= e.settings.Slots:
		return 0, false, notRunBusy
	}
	e.busy++
	e.running[task]++
	e.startCounts[task]++
	e.starts = append(e.starts, Start{Task: task, Attempt: attempt, At: e.settings.Clock.Now()})
	return scale(expected, e.speedFactor), e.failFast, ""
}

// finish records the end of a run and frees its slot.
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

// scale returns the time that d takes at the given speed. The result is capped
// to avoid an overflow.
func scale(d time.Duration, speed float64) time.Duration {
	return time.Duration(min(float64(d)/speed, float64(math.MaxInt64/2)))
}

func validFactor(f float64) bool { return f > 0 && !math.IsInf(f, 0) }

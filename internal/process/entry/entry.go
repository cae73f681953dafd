// Package entry runs one entry instance: it connects the core of package
// instance, which makes the decisions, with the adapters. One goroutine, loop,
// owns the control state; the others make calls and serve requests, and post
// events to it.
package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/adapter/endpoint"
	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// Config holds the settings of a Process.
type Config struct {
	Self            ident.Process
	DataCentre      ident.DataCentre
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	PlatformAddress string
	// Seeds are peers to dial in addition to those in the platform's list.
	Seeds []peer.Target
	// Token authenticates peers and operators.
	Token string
	// Ordinal is the position of this instance within its data centre, from 0.
	Ordinal int
	// InstancesPerDataCentre and DataCentres are the planned size of the fleet,
	// and must be the same on all instances. The floor of a limit is the number
	// of units, such as running tasks, that this instance may use without the
	// store. Zero instances means that limits have no floors.
	InstancesPerDataCentre, DataCentres int
	// FloorWait is the time after the start during which the instance does not
	// use the floors of limits, since an earlier process with this ordinal may
	// still have tasks running. It must be at least the longest run of a task.
	FloorWait time.Duration
	// Retention is how long ids and answers are kept.
	Retention time.Duration
	// DrainTimeout bounds the wait for running work when the process stops.
	DrainTimeout time.Duration
	Clock        clock.Clock
	Log          *logrus.Logger
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Log == nil {
		c.Log = logrus.New()
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = 30 * time.Second
	}
	if c.Retention == 0 {
		c.Retention = 10 * time.Minute
	}
	if c.FloorWait == 0 {
		c.FloorWait = instance.MaxCallDuration + floorMargin
	}
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = NewIncarnation(c.Clock.Now())
	}
	return c
}

// floorMargin covers the time that an endpoint takes to stop a task whose
// deadline has passed.
const floorMargin = 5 * time.Second

// NewIncarnation returns the incarnation of a process that starts now: 48 bits
// of Unix milliseconds, so that later processes have a higher one, and then 16
// random bits, so that two processes of one id that start at the same time
// differ.
func NewIncarnation(now time.Time) ident.Incarnation {
	return ident.Incarnation(uint64(now.UnixMilli())<<16 | uint64(rand.Uint32N(1<<16)))
}

// eventBacklog bounds the events that wait for the loop. Goroutines that post
// block while the backlog is full.
const eventBacklog = 1024

// Process is one running entry instance.
type Process struct {
	cfg       Config
	core      *instance.Core
	mesh      *peer.Mesh
	store     *platform.Client
	endpoints *endpoint.Client
	log       *logrus.Entry
	metrics   *metrics.Set
	events    chan instance.Event
	requests  chan request
	// ids is the pool of ids for callers' next submissions.
	ids chan ident.SubmissionID
	// exitReason receives why the core has ended the process.
	exitReason chan fault.Kind
	ready      atomic.Bool
	// draining is set once the process has begun to drain.
	draining atomic.Bool
	// status and publishedLoads are published by loop for the other goroutines.
	status         atomic.Pointer[Status]
	publishedLoads atomic.Pointer[[]*peerpb.Load]
	storeReader    storeReader
	claims         claims

	// The fields below are used by loop only, except for callContext, which all
	// goroutines read.
	replies      map[uint64]chan<- instance.Reply
	calls        map[uint64]context.CancelFunc
	lastRequest  uint64
	idsRefreshed time.Time
	nextStatus   time.Time
	nextLoad     time.Time
	// callContext ends when the process stops.
	callContext context.Context
}

// New returns a process that is ready to run. Invalid settings give an error of
// kind fault.SettingsInvalid.
func New(cfg Config) (*Process, error) {
	cfg = cfg.Defaults()
	p := &Process{
		cfg:        cfg,
		metrics:    metrics.NewSet(),
		events:     make(chan instance.Event, eventBacklog),
		requests:   make(chan request),
		ids:        make(chan ident.SubmissionID, idPoolSize),
		exitReason: make(chan fault.Kind, 1),
		replies:    map[uint64]chan<- instance.Reply{},
		calls:      map[uint64]context.CancelFunc{},
		log: cfg.Log.WithFields(logrus.Fields{
			"instance":    cfg.Self.Instance,
			"data-centre": cfg.DataCentre,
		}),
	}
	p.storeReader = storeReader{process: p}
	p.claims = claims{process: p, pending: make(chan pendingClaim, claimBacklog)}
	var err error
	p.core, err = instance.New(cfg.Clock.Now(), instance.Config{
		Self:                   cfg.Self,
		DataCentre:             cfg.DataCentre,
		Address:                cfg.PeerAddress,
		Retention:              cfg.Retention,
		Ordinal:                cfg.Ordinal,
		InstancesPerDataCentre: cfg.InstancesPerDataCentre,
		DataCentres:            cfg.DataCentres,
		FloorFrom:              cfg.Clock.Now().Add(cfg.FloorWait),
	})
	if err != nil {
		return nil, err
	}
	if err := p.connect(); err != nil {
		return nil, err
	}
	p.registerMetrics()
	return p, nil
}

// connect creates the clients of the platform and of the endpoints, and the
// mesh.
func (p *Process) connect() error {
	var err error
	if p.store, err = platform.New(platform.Settings{Address: p.cfg.PlatformAddress, Clock: p.cfg.Clock}); err != nil {
		return err
	}
	if p.endpoints, err = endpoint.New(endpoint.Settings{Clock: p.cfg.Clock}); err != nil {
		return err
	}
	return p.newMesh()
}

// Run serves until ctx ends, then drains and stops. It returns nil after an
// orderly stop.
func (p *Process) Run(ctx context.Context) error {
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	p.callContext = loopCtx
	var g run.Group
	g.Add(func() error { return p.runDrain(ctx) }, func(error) {})
	p.addServer(&g, p.callerServer(), p.cfg.CallerAddress)
	p.addServer(&g, p.operatorServer(), p.cfg.OperatorAddress)
	add := func(f func(context.Context) error) {
		c, cancel := context.WithCancel(loopCtx)
		g.Add(func() error { return f(c) }, func(error) { cancel() })
	}
	add(p.storeReader.runInstanceList)
	add(p.storeReader.runConfig)
	add(p.claims.run)
	add(p.mesh.Run)
	add(p.loop)
	p.log.WithFields(logrus.Fields{
		"incarnation":    p.cfg.Self.Incarnation,
		"caller-address": p.cfg.CallerAddress,
	}).Info("instance started")
	err := g.Run()
	p.log.Info("instance stopped")
	return err
}

// runDrain waits for the end of ctx and then for the instance to finish its
// work, at most for the drain timeout.
func (p *Process) runDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case kind := <-p.exitReason:
		return p.exitError(kind)
	}
	p.draining.Store(true)
	p.log.Info("draining")
	p.events <- instance.Drain{}
	timeout := make(chan struct{})
	timer := p.cfg.Clock.AfterFunc(p.cfg.DrainTimeout, func() { close(timeout) })
	defer timer.Stop()
	select {
	case kind := <-p.exitReason:
		return p.exitError(kind)
	case <-timeout:
		p.log.Warn("drain timeout passed while work was still running")
		return fault.New(fault.Draining, fault.RanUnknown).WithDetail("drain timeout passed while work was still running")
	}
}

// exitError returns the error that Run returns when the core ends the process.
// It is nil after a drain; the only other reason is that a newer process of
// this instance id is running.
func (p *Process) exitError(kind fault.Kind) error {
	if kind == fault.Draining {
		return nil
	}
	return fault.New(kind, fault.RanNo).WithDetail("a newer process of this instance id is running")
}

// Package entry runs one entry instance: it connects the decisions with the
// adapters. One goroutine, loop, owns the control state; the others carry
// traffic and pass events to it.
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
	// Seeds are peer addresses to try beside those of the list.
	Seeds []peer.Target
	// Token authenticates peers and operators.
	Token string
	// Ordinal is the position of this instance within its data centre, from 0.
	Ordinal int
	// InstancesPerDataCentre and DataCentres are what the fleet is planned for,
	// the same everywhere. Zero instances means that limits have no floors.
	InstancesPerDataCentre, DataCentres int
	// FloorWait is how long after the start the floors of limits stay unused,
	// since an earlier process with this ordinal may have tasks running. It
	// must cover the longest run of a task.
	FloorWait    time.Duration
	Retention    time.Duration
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
		c.FloorWait = instance.LongestRun + floorMargin
	}
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = NewIncarnation(c.Clock.Now())
	}
	return c
}

// floorMargin covers the time that an endpoint takes to stop a task whose
// deadline has passed.
const floorMargin = 5 * time.Second

// NewIncarnation draws the incarnation of a process that starts now: 48 bits
// of Unix milliseconds, so that later processes are higher, then 16 random
// bits, so that two processes of one id that start together differ.
func NewIncarnation(now time.Time) ident.Incarnation {
	return ident.Incarnation(uint64(now.UnixMilli())<<16 | uint64(rand.Uint32N(1<<16)))
}

// eventBacklog bounds the events that wait for the loop. Traffic goroutines
// block beyond it.
const eventBacklog = 1024

// Process is one entry instance.
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
	// ids holds ids for callers' next submissions.
	ids   chan ident.SubmissionID
	left  chan fault.Kind
	ready atomic.Bool
	// draining is set when the process has begun to leave.
	draining atomic.Bool
	status   atomic.Pointer[Status]
	load     atomic.Pointer[[]*peerpb.Load]
	reader   reader
	claims   claims

	// The fields below belong to loop.
	replies     map[uint64]chan<- instance.Reply
	calls       map[uint64]context.CancelFunc
	nextRequest uint64
	idsFrom     time.Time
	nextStatus  time.Time
	nextLoad    time.Time
	callContext context.Context
}

// New returns a process that is ready to run. Its failure has kind
// SettingsInvalid.
func New(cfg Config) (*Process, error) {
	cfg = cfg.Defaults()
	p := &Process{
		cfg:      cfg,
		metrics:  metrics.NewSet(),
		events:   make(chan instance.Event, eventBacklog),
		requests: make(chan request),
		ids:      make(chan ident.SubmissionID, idStock),
		left:     make(chan fault.Kind, 1),
		replies:  map[uint64]chan<- instance.Reply{},
		calls:    map[uint64]context.CancelFunc{},
		log: cfg.Log.WithFields(logrus.Fields{
			"instance":    cfg.Self.Instance,
			"data-centre": cfg.DataCentre,
		}),
	}
	p.reader = reader{process: p}
	p.claims = claims{process: p, wants: make(chan wanted, claimBacklog)}
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

// connect makes the clients of the other parties.
func (p *Process) connect() error {
	var err error
	if p.store, err = platform.New(platform.Settings{Address: p.cfg.PlatformAddress, Clock: p.cfg.Clock}); err != nil {
		return err
	}
	if p.endpoints, err = endpoint.New(endpoint.Settings{Clock: p.cfg.Clock}); err != nil {
		return err
	}
	return p.connectPeers()
}

// Run serves until ctx ends, then finishes what is under way and leaves. It
// returns nil after an orderly end.
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
	add(p.reader.runList)
	add(p.reader.runConfig)
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

// runDrain waits for the end of ctx, then lets the instance finish its work,
// at most for the drain timeout.
func (p *Process) runDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case kind := <-p.left:
		return p.leaveResult(kind)
	}
	p.draining.Store(true)
	p.log.Info("draining")
	p.events <- instance.Drain{}
	timeout := make(chan struct{})
	timer := p.cfg.Clock.AfterFunc(p.cfg.DrainTimeout, func() { close(timeout) })
	defer timer.Stop()
	select {
	case kind := <-p.left:
		return p.leaveResult(kind)
	case <-timeout:
		p.log.Warn("drain timeout passed with work under way")
		return fault.New(fault.Draining, fault.RanUnknown).WithDetail("drain timeout passed with work under way")
	}
}

func (p *Process) leaveResult(kind fault.Kind) error {
	if kind == fault.Draining {
		return nil
	}
	return fault.New(kind, fault.RanNo).WithDetail("a later process of this instance id is live")
}

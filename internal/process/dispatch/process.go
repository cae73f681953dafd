package dispatch

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/route"
)

// Process is one running instance.
type Process struct {
	settings Settings
	ports    Ports
	self     ident.Process
	mesh     *peer.Mesh
	log      *logrus.Entry
	metrics  *metrics.Set
	counters processCounters
	// posts queues functions that loop runs.
	posts chan func(now time.Time)
	// config is nil until a configuration has been read.
	config      atomic.Pointer[activeConfig]
	configTrace configTrace
	// configCurrentAt is as of when config is known to be the newest, or nil.
	configCurrentAt atomic.Pointer[time.Time]
	// rejectedConfig is the latest content that could not be decoded.
	rejectedConfig atomic.Pointer[[]byte]
	evacuations    evacuations
	draining       atomic.Bool
	// readListNow wakes runEndpointList, and readOperatorNow runOperatorReads.
	readListNow     chan struct{}
	readOperatorNow chan struct{}
	// ownerKnown is set while some instance is known to own the endpoints.
	ownerKnown atomic.Bool
	// ctx ends when the process has drained and stops.
	ctx  context.Context
	jobs *Jobs

	// The fields below are used by loop only.
	core *dispatcher.Core
	// replies holds the channels of the callers' requests that wait for an
	// answer.
	replies     map[home.RequestID]chan<- home.Answer
	nextRequest home.RequestID
	// members holds the instances that the store last listed or, before it has,
	// those that a peer has named. membersAskedAt is when a peer was last asked.
	members        []Member
	membersAskedAt time.Time
	// linkTargets holds the other instances that the mesh keeps links to.
	linkTargets map[ident.InstanceID]Member
	// configSync is what keeps the configuration current.
	configSync configSync
	// remembered holds the instances that were listed lately.
	remembered map[ident.InstanceID]rememberedMember
	startedAt  time.Time
	lastTick   time.Time
	// lastStateLog is when the owner's state was last logged.
	lastStateLog  time.Time
	sinceStateLog sinceStateLog
	// lastMonotonic and lastBoot are the latest readings of Settings.Clock and
	// Settings.SinceBoot.
	lastMonotonic time.Time
	lastBoot      time.Duration
}

// activeConfig is the configuration in use, with its encoded content for peers.
type activeConfig struct {
	routes  *route.Table
	content []byte
}

// postCapacity is the capacity of Process.posts in functions. Goroutines that
// post block while it is full.
const postCapacity = 1024

// New returns a process that is ready to run. Invalid settings give an error of
// kind fault.SettingsInvalid.
func New(settings Settings, ports Ports) (*Process, error) {
	settings = settings.Defaults()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	now := settings.Clock.Now()
	p := &Process{
		settings: settings, ports: ports, metrics: metrics.NewSet(),
		self:        ident.Process{Instance: settings.Instance, Incarnation: newIncarnation(now)},
		posts:       make(chan func(time.Time), postCapacity),
		readListNow: make(chan struct{}, 1), readOperatorNow: make(chan struct{}, 1),
		configSync: newConfigSync(now), startedAt: now,
		replies:     map[home.RequestID]chan<- home.Answer{},
		linkTargets: map[ident.InstanceID]Member{}, remembered: map[ident.InstanceID]rememberedMember{},
		log: settings.Log.WithFields(logrus.Fields{"instance": settings.Instance, "data-centre": settings.DataCentre}),
	}
	p.jobs = &Jobs{process: p}
	var err error
	settings.Leader.Self, settings.Leader.DataCentre = p.self, settings.DataCentre
	p.core, err = dispatcher.New(now, dispatcher.Config{
		Leader: settings.Leader, Owner: settings.Owner, FenceNonce: rand.Uint32(),
	}, leader.Seniority(now.UnixMilli()))
	if err != nil {
		return nil, err
	}
	p.mesh, err = peer.NewMesh(peer.Config{
		Self: p.self, DataCentre: settings.DataCentre, ListenAddress: settings.PeerAddress, Address: settings.PeerAddress,
		Token: settings.Token, Clock: settings.Clock, LocalInterval: linkTimeout / 2, RemoteInterval: linkTimeout / 2, MaxSilentIntervals: 2,
		DialTimeout: dialTimeout, RedialMax: redialMax, DialGrace: dialGrace, WriteTimeout: linkTimeout,
		Network: settings.PeerNetwork,
	})
	if err != nil {
		return nil, err
	}
	p.setMeshCallbacks()
	p.registerMetrics()
	return p, nil
}

const (
	// linkTimeout is how long a link may receive nothing before it is closed.
	// The mesh closes it after two intervals of half this time without a
	// message. An owner that fails is detected sooner, by its missing
	// heartbeats.
	linkTimeout = 3 * time.Second
	// dialTimeout is short, since a machine without power does not answer and
	// may come back at any time.
	dialTimeout = 200 * time.Millisecond
	redialMax   = 500 * time.Millisecond
	// dialGrace is how long the instance with the higher id waits for the other
	// to dial, before it dials itself.
	dialGrace = 80 * time.Millisecond
)

// newIncarnation returns the incarnation of a process: 48 bits of Unix
// milliseconds, so that later processes have a higher one, and 16 random bits.
func newIncarnation(now time.Time) ident.Incarnation {
	return ident.Incarnation(uint64(now.UnixMilli())<<16 | uint64(rand.Uint32N(1<<16)))
}

// Run serves until ctx ends, then drains and stops. It returns nil after an
// orderly stop.
func (p *Process) Run(ctx context.Context) error {
	processCtx, stop := context.WithCancel(context.Background())
	defer stop()
	p.ctx = processCtx
	var g run.Group
	callerServer := &http.Server{
		Handler: p.ports.CallerHandler(p.jobs), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	readinessServer := &http.Server{Handler: p.ports.ReadinessHandler(p.ready), ReadHeaderTimeout: headerTimeout}
	serveCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	drained := make(chan struct{})
	g.Add(func() error {
		defer close(drained)
		return p.runDrain(serveCtx, callerServer)
	}, func(error) { stopServing() })
	addServer(&g, callerServer, p.settings.CallerAddress, drained)
	addServer(&g, readinessServer, p.settings.ReadinessAddress, nil)
	if p.settings.MetricsAddress != "" {
		addServer(&g, p.metricsServer(), p.settings.MetricsAddress, nil)
	}
	add := func(f func(context.Context) error) {
		c, cancel := context.WithCancel(processCtx)
		g.Add(func() error { return f(c) }, func(error) { cancel() })
	}
	add(p.runReload)
	for _, f := range p.background() {
		add(f)
	}
	// Package logread matches this message.
	p.log.WithFields(logrus.Fields{
		"incarnation": p.self.Incarnation, "caller-address": p.settings.CallerAddress, "store-address": p.settings.StoreAddress,
	}).Info("instance started")
	err := g.Run()
	if err != nil {
		p.log.WithError(err).Error("instance failed")
		return err
	}
	// Package logread matches this message.
	p.log.Info("instance stopped")
	return nil
}

// background returns the functions that exchange what the instance knows with
// the store and the peers, and decide on it. They run until their context ends.
func (p *Process) background() []func(context.Context) error {
	return []func(context.Context) error{p.runOperator, p.runOperatorReads, p.runMembership, p.runEndpointList, p.mesh.Run, p.loop}
}

const (
	// headerTimeout bounds the wait for a request's header, and idleTimeout the
	// wait for the next request on a connection.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds a request's header, in bytes.
	maxHeaderBytes = 16 << 10
	// shutdownTimeout bounds the wait for responses that are being written when
	// the process ends.
	shutdownTimeout = time.Second
)

// addServer adds a server to a group. The group ends when the server is shut
// down. If drained is not nil, the group ends only once drained is closed as
// well, because open requests need the other functions of the group to run.
func addServer(g *run.Group, s *http.Server, address string, drained <-chan struct{}) {
	g.Add(func() error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithDetail("cannot listen on " + address)
		}
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
			return fault.Wrap(err, fault.Internal, fault.RanUnknown)
		}
		if drained != nil {
			<-drained
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
}

// ready returns nil when the instance can serve callers, and else why not.
func (p *Process) ready(context.Context) error {
	switch {
	case p.draining.Load():
		return fault.New(fault.Draining, fault.RanNo)
	case p.config.Load() == nil:
		return fault.New(fault.ConfigMissing, fault.RanNo)
	case !p.ownerKnown.Load():
		// HomeUnreachable is also the kind of a missing owner.
		return fault.New(fault.HomeUnreachable, fault.RanNo).WithDetail("no owner of the endpoints is known")
	}
	return nil
}

// runDrain waits for the end of ctx and then drains the instance: it reports
// not ready from then on, waits until the load balancer should have taken it
// out of rotation, and shuts the callers' server down once their requests are
// answered.
func (p *Process) runDrain(ctx context.Context, callerServer *http.Server) error {
	<-ctx.Done()
	end := p.settings.Clock.Now().Add(p.settings.Grace - drainMargin)
	p.draining.Store(true)
	// Package logread matches this message.
	p.log.Info("draining")
	p.post(func(now time.Time) { p.applyActions(now, p.core.Drain(now)) })
	p.sleep(min(p.settings.UnreadyWait, p.settings.Grace/2))
	callerServer.SetKeepAlivesEnabled(false)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), max(0, end.Sub(p.settings.Clock.Now())))
	defer cancel()
	if err := callerServer.Shutdown(shutdownCtx); err != nil {
		p.log.WithError(err).Warn("callers were still waiting at the end of the grace period")
	}
	return nil
}

// drainMargin is the part of the grace period that is kept for stopping the
// process after the callers' requests have ended.
const drainMargin = 600 * time.Millisecond

// sleep waits for d or until the process stops.
func (p *Process) sleep(d time.Duration) {
	done := make(chan struct{})
	timer := p.settings.Clock.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-done:
	case <-p.ctx.Done():
	}
}

// post queues f to be run by loop. It blocks while the backlog is full, and
// drops f once the process stops.
func (p *Process) post(f func(now time.Time)) {
	select {
	case p.posts <- f:
	case <-p.ctx.Done():
	}
}

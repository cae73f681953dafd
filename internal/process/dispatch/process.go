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

// Process is one instance.
type Process struct {
	set     Settings
	ports   Ports
	self    ident.Process
	mesh    *peer.Mesh
	log     *logrus.Entry
	metrics *metrics.Set
	count   counters
	// posts holds work for loop.
	posts chan func(now time.Time)
	// config is the configuration in force, with its content for peers.
	config   atomic.Pointer[configInForce]
	draining atomic.Bool
	// owning holds a token when this instance has begun to own the endpoints.
	owning chan struct{}
	owned  atomic.Bool
	ctx    context.Context
	jobs   *Jobs

	// The fields below belong to loop.
	core   *dispatcher.Core
	wait   map[home.Request]chan<- home.Answer
	next   home.Request
	fleet  map[ident.InstanceID]Member
	ticked time.Time
	// told is when the last line about the owner's state was written.
	told time.Time
	load load
	// noticed and booted are the newest times that loop has seen.
	noticed time.Time
	booted  time.Duration
}

// configInForce is a configuration and its encoded content.
type configInForce struct {
	table   *route.Table
	content []byte
	at      time.Time
}

// postBacklog bounds the work that waits for loop. Traffic goroutines block
// beyond it.
const postBacklog = 1024

// New returns a process that is ready to run. Its failure has kind
// fault.SettingsInvalid.
func New(set Settings, ports Ports) (*Process, error) {
	set = set.Defaults()
	if err := set.Validate(); err != nil {
		return nil, err
	}
	now := set.Clock.Now()
	p := &Process{
		set: set, ports: ports, metrics: metrics.NewSet(),
		self:   ident.Process{Instance: set.Instance, Incarnation: newIncarnation(now)},
		posts:  make(chan func(time.Time), postBacklog),
		owning: make(chan struct{}, 1),
		wait:   map[home.Request]chan<- home.Answer{},
		fleet:  map[ident.InstanceID]Member{},
		log:    set.Log.WithFields(logrus.Fields{"instance": set.Instance, "data-centre": set.DataCentre}),
	}
	p.jobs = &Jobs{process: p}
	var err error
	set.Leader.Self, set.Leader.DataCentre = p.self, set.DataCentre
	p.core, err = dispatcher.New(now, dispatcher.Config{
		Leader: set.Leader, Owner: set.Owner, Unique: rand.Uint32(),
	}, leader.Seniority(now.UnixMilli()))
	if err != nil {
		return nil, err
	}
	p.mesh, err = peer.NewMesh(peer.Config{
		Self: p.self, DataCentre: set.DataCentre, ListenAddress: set.PeerAddress, Address: set.PeerAddress,
		Token: set.Token, Clock: set.Clock, Near: linkSilence / 2, Far: linkSilence / 2, SilentAfter: 2,
		DialTimeout: dialTimeout, RedialMax: redialMax, DialGrace: dialGrace, WriteTimeout: linkSilence,
	})
	if err != nil {
		return nil, err
	}
	p.connectPeers()
	p.registerMetrics()
	return p, nil
}

const (
	// linkSilence retires a link on which nothing arrives. Pulses notice the
	// silence of the leader sooner.
	linkSilence = 3 * time.Second
	// dialTimeout is short, since machines without power do not answer and may
	// be back at any moment.
	dialTimeout = 200 * time.Millisecond
	redialMax   = 500 * time.Millisecond
	// dialGrace is how long the instance with the higher id leaves dialling to
	// the other.
	dialGrace = 80 * time.Millisecond
)

// newIncarnation draws the incarnation of a process: 48 bits of Unix
// milliseconds, so that later processes are higher, and 16 random bits.
func newIncarnation(now time.Time) ident.Incarnation {
	return ident.Incarnation(uint64(now.UnixMilli())<<16 | uint64(rand.Uint32N(1<<16)))
}

// Run serves until ctx ends, then finishes what is under way and leaves.
func (p *Process) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	p.ctx = inner
	var g run.Group
	callers := &http.Server{
		Handler: p.ports.Callers(p.jobs), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	ready := &http.Server{Handler: p.ports.Readiness(p.ready), ReadHeaderTimeout: headerTimeout}
	leaving, leave := context.WithCancel(ctx)
	defer leave()
	drained := make(chan struct{})
	g.Add(func() error {
		defer close(drained)
		return p.runDrain(leaving, callers)
	}, func(error) { leave() })
	addServer(&g, callers, p.set.CallerAddress, drained)
	addServer(&g, ready, p.set.ReadinessAddress, nil)
	if p.set.MetricsAddress != "" {
		addServer(&g, p.metricsServer(), p.set.MetricsAddress, nil)
	}
	add := func(f func(context.Context) error) {
		c, cancel := context.WithCancel(inner)
		g.Add(func() error { return f(c) }, func(error) { cancel() })
	}
	add(p.runConfig)
	add(p.runMember)
	add(p.runList)
	add(p.runReload)
	add(p.mesh.Run)
	add(p.loop)
	p.log.WithFields(logrus.Fields{
		"incarnation": p.self.Incarnation, "caller-address": p.set.CallerAddress, "store-address": p.set.StoreAddress,
	}).Info("instance started")
	err := g.Run()
	if err != nil {
		p.log.WithError(err).Error("instance failed")
		return err
	}
	p.log.Info("instance stopped")
	return nil
}

const (
	// headerTimeout and idleTimeout bound the waits for a request.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeader bounds a request's header, in bytes.
	maxHeader = 16 << 10
	// shutdownTimeout bounds the wait for answers that are being written when
	// the process ends.
	shutdownTimeout = time.Second
)

// addServer adds a server to a group. A server that is shut down ends the group,
// unless drained is given, only after that is closed: requests that are still
// open need the others of the group.
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

// ready returns nil when the instance takes callers.
func (p *Process) ready(context.Context) error {
	switch {
	case p.draining.Load():
		return fault.New(fault.Draining, fault.RanNo)
	case p.config.Load() == nil:
		return fault.New(fault.ConfigMissing, fault.RanNo)
	case !p.owned.Load():
		return fault.New(fault.HomeUnreachable, fault.RanNo).WithDetail("no owner of the endpoints is known")
	}
	return nil
}

// runDrain waits for the end of ctx, then lets the load balancer and the
// callers go before the process ends.
func (p *Process) runDrain(ctx context.Context, callers *http.Server) error {
	<-ctx.Done()
	end := p.set.Clock.Now().Add(p.set.Grace - drainMargin)
	p.draining.Store(true)
	p.log.Info("draining")
	p.post(func(now time.Time) { p.act(now, p.core.Drain(now)) })
	p.sleep(min(p.set.RotationWait, p.set.Grace/2))
	callers.SetKeepAlivesEnabled(false)
	left, cancel := context.WithTimeout(context.Background(), max(0, end.Sub(p.set.Clock.Now())))
	defer cancel()
	if err := callers.Shutdown(left); err != nil {
		p.log.WithError(err).Warn("callers were still waiting at the end of the grace period")
	}
	return nil
}

// drainMargin is left of the grace period for the end of the process.
const drainMargin = 600 * time.Millisecond

// sleep waits for d or the end of the process.
func (p *Process) sleep(d time.Duration) {
	done := make(chan struct{})
	timer := p.set.Clock.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-done:
	case <-p.ctx.Done():
	}
}

// post passes work to loop.
func (p *Process) post(f func(now time.Time)) {
	select {
	case p.posts <- f:
	case <-p.ctx.Done():
	}
}

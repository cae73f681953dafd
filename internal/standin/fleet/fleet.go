// Package fleet starts a small fleet in one process on loopback: a stand-in
// store, stand-in endpoints and real entry instances. The demo, tests and
// benchmarks use it.
package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/process/entry"
	"hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

// Config describes a fleet.
type Config struct {
	// Instances names the entry instances and their data centres.
	Instances []Instance
	Endpoints []Endpoint
	// Token is shared by the instances.
	Token string
	Clock clock.Clock
	Log   *logrus.Logger
}

// Instance describes one entry instance.
type Instance struct {
	ID         ident.InstanceID
	DataCentre ident.DataCentre
}

// Endpoint describes one endpoint.
type Endpoint struct {
	ID         ident.EndpointID
	DataCentre ident.DataCentre
	Service    ident.Service
	Slots      int
	Speed      float64
	// RunTime is the nominal run time of a task whose input names none.
	RunTime time.Duration
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	if c.Token == "" {
		c.Token = "loopback"
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Log == nil {
		c.Log = logrus.New()
		c.Log.SetOutput(io.Discard)
	}
	return c
}

// Fleet is a running fleet.
type Fleet struct {
	Store        *platform.Store
	StoreAddress string
	Endpoints    map[ident.EndpointID]*platform.Endpoint
	Instances    map[ident.InstanceID]*Member

	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	// applies counts the applied configurations.
	applies int
	failed  error
}

// Member is one running entry instance.
type Member struct {
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	Client          *caller.Client
	spec            Instance
	// ordinal is the position within the data centre.
	ordinal int
	// started is true once a process of this instance ran.
	started bool
	stop    context.CancelFunc
	done    chan struct{}
}

// Start starts a fleet. Close ends it.
func Start(cfg Config) (*Fleet, error) {
	cfg = cfg.Defaults()
	f := &Fleet{
		Store:        platform.NewStore(platform.StoreSettings{Clock: cfg.Clock}),
		StoreAddress: Address(),
		Endpoints:    map[ident.EndpointID]*platform.Endpoint{},
		Instances:    map[ident.InstanceID]*Member{},
		cfg:          cfg,
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.serve(f.StoreAddress, f.Store.Serve); err != nil {
		f.Close()
		return nil, err
	}
	var rows []work.Instance
	for _, spec := range cfg.Endpoints {
		row, err := f.startEndpoint(spec)
		if err != nil {
			f.Close()
			return nil, err
		}
		rows = append(rows, row)
	}
	ordinals := map[ident.DataCentre]int{}
	for _, spec := range cfg.Instances {
		m := &Member{CallerAddress: Address(), OperatorAddress: Address(), PeerAddress: Address(), spec: spec,
			ordinal: ordinals[spec.DataCentre]}
		ordinals[spec.DataCentre]++
		f.Instances[spec.ID] = m
		rows = append(rows, work.Instance{
			ID: string(spec.ID), Kind: work.KindEntry, DataCentre: spec.DataCentre, Address: m.PeerAddress})
	}
	f.Store.SetInstances(rows)
	for _, m := range f.Instances {
		if err := f.StartInstance(m); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// run starts a part of the fleet and notes its failure.
func (f *Fleet) run(part func(context.Context) error) {
	f.wg.Add(1)
	go f.runPart(part)
}

// serve listens before it returns, so that the part can be called at once.
func (f *Fleet) serve(address string, part func(context.Context, net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	f.run(func(ctx context.Context) error { return part(ctx, l) })
	return nil
}

func (f *Fleet) runPart(part func(context.Context) error) {
	defer f.wg.Done()
	if err := part(f.ctx); err != nil {
		f.fail(err)
	}
}

func (f *Fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == nil {
		f.failed = err
	}
}

// Err returns the first failure of a part.
func (f *Fleet) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// defaultSlots and defaultConnections are what the users' workers have.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

func (f *Fleet) startEndpoint(spec Endpoint) (work.Instance, error) {
	if spec.Slots == 0 {
		spec.Slots = defaultSlots
	}
	e, err := platform.NewEndpoint(platform.EndpointSettings{
		Slots:       spec.Slots,
		Connections: defaultConnections,
		Speed:       spec.Speed,
		RunTime:     spec.RunTime,
		Clock:       f.cfg.Clock,
	})
	if err != nil {
		return work.Instance{}, err
	}
	address := Address()
	f.Endpoints[spec.ID] = e
	if err := f.serve(address, e.Serve); err != nil {
		return work.Instance{}, err
	}
	return work.Instance{
		ID:          string(spec.ID),
		Kind:        work.KindEndpoint,
		DataCentre:  spec.DataCentre,
		Address:     address,
		Incarnation: 1,
		Service:     spec.Service,
		Slots:       spec.Slots,
		Connections: defaultConnections,
	}, nil
}

// StartInstance starts an entry instance, or a new process of one that ended.
func (f *Fleet) StartInstance(m *Member) error {
	dataCentres, instances := f.planned()
	cfg := entry.Config{
		Self:                   ident.Process{Instance: m.spec.ID},
		DataCentre:             m.spec.DataCentre,
		CallerAddress:          m.CallerAddress,
		PeerAddress:            m.PeerAddress,
		OperatorAddress:        m.OperatorAddress,
		PlatformAddress:        f.StoreAddress,
		Token:                  f.cfg.Token,
		Clock:                  f.cfg.Clock,
		Log:                    f.cfg.Log,
		Ordinal:                m.ordinal,
		InstancesPerDataCentre: instances,
		DataCentres:            dataCentres,
	}
	if !m.started {
		// No earlier process can have tasks running.
		m.started, cfg.FloorWait = true, time.Nanosecond
	}
	p, err := entry.New(cfg)
	if err != nil {
		return err
	}
	m.Client = caller.NewClient(m.CallerAddress, f.cfg.Clock)
	ctx, stop := context.WithCancel(f.ctx)
	m.stop, m.done = stop, make(chan struct{})
	f.run(func(context.Context) error {
		defer close(m.done)
		return p.Run(ctx)
	})
	return nil
}

// planned returns the number of data centres and the most instances of one.
func (f *Fleet) planned() (dataCentres, instances int) {
	count := map[ident.DataCentre]int{}
	for _, spec := range f.cfg.Instances {
		count[spec.DataCentre]++
		instances = max(instances, count[spec.DataCentre])
	}
	return len(count), instances
}

// Drain asks an entry instance to leave and waits until it has.
func (m *Member) Drain() {
	m.stop()
	<-m.done
}

// Starts returns how often each task was started, over all endpoints.
func (f *Fleet) Starts() map[string]int {
	all := map[string]int{}
	for _, e := range f.Endpoints {
		for name, n := range e.Starts() {
			all[name] += n
		}
	}
	return all
}

// readyInterval is the time between two looks at an instance's readiness.
const readyInterval = 20 * time.Millisecond

// Ready waits until all entry instances are ready.
func (f *Fleet) Ready(ctx context.Context) error {
	ticker := f.cfg.Clock.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		if err := f.Err(); err != nil {
			return err
		}
		ready := true
		for _, m := range f.Instances {
			ready = ready && isReady(ctx, m.OperatorAddress)
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Internal, fault.RanNo).WithDetail("the fleet did not become ready")
		case <-ticker.C():
		}
	}
}

func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// Close ends the fleet and waits for its parts.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
}

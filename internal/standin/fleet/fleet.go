// Package fleet runs a small fleet in one process on loopback: a simulated
// store, simulated endpoints and real entry instances. The demo, tests and
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
	// Instances describes the entry instances and their data centres.
	Instances []Instance
	Endpoints []Endpoint
	// Token authenticates the instances to each other, and operators to them.
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
	// RunTime is the nominal run time of a task whose input does not give one.
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
	Instances    map[ident.InstanceID]*EntryInstance

	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	// applies counts the calls of Apply with a valid file. It is part of the
	// apply ids.
	applies int
	// firstErr is the first error of a component: of the store, an endpoint or
	// an entry instance.
	firstErr error
}

// EntryInstance is an entry instance of a fleet. It keeps its addresses when
// its process is stopped and started again.
type EntryInstance struct {
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	Client          *caller.Client
	spec            Instance
	// ordinal is the instance's position within its data centre.
	ordinal int
	// started is true after the first start of a process of this instance.
	started bool
	stop    context.CancelFunc
	// done is closed when the current process has exited.
	done chan struct{}
}

// Start starts a fleet. Close stops it.
func Start(cfg Config) (*Fleet, error) {
	cfg = cfg.Defaults()
	f := &Fleet{
		Store:        platform.NewStore(platform.StoreSettings{Clock: cfg.Clock}),
		StoreAddress: Address(),
		Endpoints:    map[ident.EndpointID]*platform.Endpoint{},
		Instances:    map[ident.InstanceID]*EntryInstance{},
		cfg:          cfg,
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.startServer(f.StoreAddress, f.Store.Serve); err != nil {
		f.Close()
		return nil, err
	}
	var instanceList []work.Instance
	for _, spec := range cfg.Endpoints {
		listed, err := f.startEndpoint(spec)
		if err != nil {
			f.Close()
			return nil, err
		}
		instanceList = append(instanceList, listed)
	}
	ordinals := map[ident.DataCentre]int{}
	for _, spec := range cfg.Instances {
		in := &EntryInstance{CallerAddress: Address(), OperatorAddress: Address(), PeerAddress: Address(), spec: spec,
			ordinal: ordinals[spec.DataCentre]}
		ordinals[spec.DataCentre]++
		f.Instances[spec.ID] = in
		instanceList = append(instanceList, work.Instance{
			ID: string(spec.ID), Kind: work.KindEntry, DataCentre: spec.DataCentre, Address: in.PeerAddress})
	}
	f.Store.SetInstances(instanceList)
	for _, in := range f.Instances {
		if err := f.StartInstance(in); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// startComponent starts a component of the fleet in a goroutine and records its
// error.
func (f *Fleet) startComponent(component func(context.Context) error) {
	f.wg.Add(1)
	go f.runComponent(component)
}

// startServer starts a component that serves on the address. It listens before
// it returns, so that the component can be called at once.
func (f *Fleet) startServer(address string, component func(context.Context, net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	f.startComponent(func(ctx context.Context) error { return component(ctx, l) })
	return nil
}

func (f *Fleet) runComponent(component func(context.Context) error) {
	defer f.wg.Done()
	if err := component(f.ctx); err != nil {
		f.recordError(err)
	}
}

func (f *Fleet) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstErr == nil {
		f.firstErr = err
	}
}

// Err returns the first error of a component, or nil.
func (f *Fleet) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstErr
}

// defaultSlots and defaultConnections match the users' workers.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// startEndpoint starts an endpoint and returns it as it is to be listed.
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
	if err := f.startServer(address, e.Serve); err != nil {
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

// StartInstance starts an entry instance, or restarts it after its process has
// exited.
func (f *Fleet) StartInstance(in *EntryInstance) error {
	dataCentres, instances := f.plannedSize()
	cfg := entry.Config{
		Self:                   ident.Process{Instance: in.spec.ID},
		DataCentre:             in.spec.DataCentre,
		CallerAddress:          in.CallerAddress,
		PeerAddress:            in.PeerAddress,
		OperatorAddress:        in.OperatorAddress,
		PlatformAddress:        f.StoreAddress,
		Token:                  f.cfg.Token,
		Clock:                  f.cfg.Clock,
		Log:                    f.cfg.Log,
		Ordinal:                in.ordinal,
		InstancesPerDataCentre: instances,
		DataCentres:            dataCentres,
	}
	if !in.started {
		// No earlier process exists whose tasks could still run, so the
		// instance may use the floors of its limits at once. A floor is the
		// number of units that it may use without the store.
		in.started, cfg.FloorWait = true, time.Nanosecond
	}
	p, err := entry.New(cfg)
	if err != nil {
		return err
	}
	in.Client = caller.NewClient(in.CallerAddress, f.cfg.Clock)
	ctx, stop := context.WithCancel(f.ctx)
	in.stop, in.done = stop, make(chan struct{})
	f.startComponent(func(context.Context) error {
		defer close(in.done)
		return p.Run(ctx)
	})
	return nil
}

// plannedSize returns the planned size of the fleet for entry.Config: the
// number of data centres, and the largest number of instances in one of them.
func (f *Fleet) plannedSize() (dataCentres, instances int) {
	count := map[ident.DataCentre]int{}
	for _, spec := range f.cfg.Instances {
		count[spec.DataCentre]++
		instances = max(instances, count[spec.DataCentre])
	}
	return len(count), instances
}

// Drain shuts the entry instance down gracefully and waits until its process
// has exited.
func (in *EntryInstance) Drain() {
	in.stop()
	<-in.done
}

// Starts returns the number of starts of each task, summed over all endpoints.
func (f *Fleet) Starts() map[string]int {
	all := map[string]int{}
	for _, e := range f.Endpoints {
		for task, n := range e.Starts() {
			all[task] += n
		}
	}
	return all
}

// readyInterval is the interval of readiness checks.
const readyInterval = 20 * time.Millisecond

// Ready waits until all entry instances are ready. It returns an error if a
// component fails or ctx is cancelled first.
func (f *Fleet) Ready(ctx context.Context) error {
	ticker := f.cfg.Clock.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		if err := f.Err(); err != nil {
			return err
		}
		ready := true
		for _, in := range f.Instances {
			ready = ready && isReady(ctx, in.OperatorAddress)
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

// Close stops the fleet and waits until its components have ended.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
}

package fleet_test

import (
	"context"
	"maps"
	"net"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/endpoint"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
	"hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

var systemClock = clock.System{}

var loadNames = maps.Keys[map[string]load]

// policy is a routing policy that the benchmark measures.
type policy struct {
	name      string
	instances int
	run       func(testing.TB, load, []arrival) *measurements
}

// policies starts with the reference, since the others are compared with it.
var policies = []policy{
	{"reference", 1, func(t testing.TB, l load, s []arrival) *measurements { return runReference(t, l, s, false) }},
	{"reference-free", 1, func(t testing.TB, l load, s []arrival) *measurements { return runReference(t, l, s, true) }},
	{"fleet", 2, runFleet},
	{"two-choices", 2, func(t testing.TB, l load, s []arrival) *measurements { return runRandomChoice(t, l, s, 2) }},
	{"random", 2, func(t testing.TB, l load, s []arrival) *measurements { return runRandomChoice(t, l, s, 1) }},
}

// injectFault makes an endpoint fail or straggle, as specified by the load.
func (l load) injectFault(e *platform.Endpoint) {
	if l.failing {
		e.SetFailFast(true)
	}
	if l.straggling {
		e.SetSpeedFactor(stragglerSpeed)
	}
}

// stragglerSpeed is the factor by which the speed of a straggler is multiplied.
const stragglerSpeed = 0.1

// allowedBadStarts is the number of starts that are tolerated at an endpoint
// that fails all tasks. Only further starts count.
const allowedBadStarts = 50

// excessStarts returns by how many the starts at an endpoint exceed the earlier
// ones plus allowedBadStarts, or 0.
func excessStarts(e *platform.Endpoint, earlier int) int {
	return max(0, len(e.StartRecords())-earlier-allowedBadStarts)
}

func runFleet(t testing.TB, l load, schedule []arrival) *measurements {
	f, err := fleet.Start(fleet.Config{
		Instances: []fleet.Instance{{ID: "entry-0", DataCentre: "dc-0"}, {ID: "entry-1", DataCentre: "dc-0"}},
		Endpoints: benchEndpointSpecs(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if _, err := f.Apply(ctx, []byte(benchConfig)); err != nil {
		t.Fatal(err)
	}
	if err := f.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	var targets, operators []string
	for _, id := range []ident.InstanceID{"entry-0", "entry-1"} {
		targets = append(targets, f.Instances[id].CallerAddress)
		operators = append(operators, f.Instances[id].OperatorAddress)
	}
	before, began := readTraffic(t, operators), time.Now()
	bad, starts := f.Endpoints[endpointName(badEndpoint)], 0
	m := &measurements{}
	m.samples = drive(t, targets, schedule, func() {
		starts = len(bad.StartRecords())
		l.injectFault(bad)
	})
	m.traffic = readTraffic(t, operators).sub(before)
	m.elapsed = time.Since(began)
	m.excessBadStarts = excessStarts(bad, starts)
	return m
}

// startBackends starts the endpoints of the benchmark without a fleet.
func startBackends(ctx context.Context, t testing.TB) *backends {
	b := &backends{}
	for _, spec := range benchEndpointSpecs() {
		e, err := platform.NewEndpoint(platform.EndpointSettings{Slots: spec.Slots, Speed: spec.Speed, RunTime: spec.RunTime})
		if err != nil {
			t.Fatal(err)
		}
		address := fleet.Address()
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = e.Serve(ctx, listener) }()
		b.endpoints = append(b.endpoints, e)
		b.list = append(b.list, work.Instance{ID: string(spec.ID), Address: address, Slots: spec.Slots, Incarnation: 1})
	}
	return b
}

// newClient returns the backends with a separate client. Each instance of a
// baseline has one.
func (b *backends) newClient(t testing.TB) *backends {
	client, err := endpoint.New(endpoint.Settings{DialTimeout: callTimeout})
	if err != nil {
		t.Fatal(err)
	}
	return &backends{list: b.list, endpoints: b.endpoints, client: client}
}

// runBaseline runs the schedule against the frontends of a baseline or of the
// reference, one per instance, and closes them. It calls atWarmUp at the end of
// the warm-up, after the fault is injected.
func runBaseline(t testing.TB, l load, schedule []arrival, instances []*backends, frontends []*frontend, atWarmUp func()) *measurements {
	bad, starts := instances[0].endpoints[badEndpoint], 0
	var targets []string
	for _, f := range frontends {
		targets = append(targets, f.address)
	}
	m := &measurements{}
	began := time.Now()
	m.samples = drive(t, targets, schedule, func() {
		starts = len(bad.StartRecords())
		l.injectFault(bad)
		atWarmUp()
	})
	m.elapsed = time.Since(began)
	for _, f := range frontends {
		f.server.Close()
	}
	for _, b := range instances {
		s := b.client.Stats()
		m.traffic.endpointCalls += s.Calls
		m.traffic.refused += s.Busy
		b.client.Close()
	}
	m.excessBadStarts = excessStarts(bad, starts)
	return m
}

func runRandomChoice(t testing.TB, l load, schedule []arrival, choices int) *measurements {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	all := startBackends(ctx, t)
	var instances []*backends
	var frontends []*frontend
	for i := range 2 {
		b := all.newClient(t)
		f, err := newFrontend(newRandomChoice(b, choices, benchSeed+uint64(i)).run)
		if err != nil {
			t.Fatal(err)
		}
		instances, frontends = append(instances, b), append(frontends, f)
	}
	return runBaseline(t, l, schedule, instances, frontends, func() {})
}

func runReference(t testing.TB, l load, schedule []arrival, freeOnly bool) *measurements {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := startBackends(ctx, t).newClient(t)
	p := newReference(b, freeOnly)
	f, err := newFrontend(p.run)
	if err != nil {
		t.Fatal(err)
	}
	return runBaseline(t, l, schedule, []*backends{b}, []*frontend{f}, func() {
		switch {
		case l.failing:
			p.setSpeed(badEndpoint, 0)
		case l.straggling:
			p.setSpeed(badEndpoint, speedOf(badEndpoint)*stragglerSpeed)
		}
	})
}

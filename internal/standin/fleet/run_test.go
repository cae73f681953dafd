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

var mapsKeys = maps.Keys[map[string]load]

// policy is one way to route work.
type policy struct {
	name      string
	instances int
	run       func(testing.TB, load, []arrival) *outcome
}

// policies has the reference first, since the others are compared with it.
var policies = []policy{
	{"reference", 1, func(t testing.TB, l load, s []arrival) *outcome { return runReference(t, l, s, false) }},
	{"reference-free", 1, func(t testing.TB, l load, s []arrival) *outcome { return runReference(t, l, s, true) }},
	{"fleet", 2, runFleet},
	{"two-choices", 2, func(t testing.TB, l load, s []arrival) *outcome { return runNaive(t, l, s, 2) }},
	{"random", 2, func(t testing.TB, l load, s []arrival) *outcome { return runNaive(t, l, s, 1) }},
}

// disturb makes an endpoint fail or straggle as the load says.
func (l load) disturb(e *platform.Endpoint) {
	if l.failing {
		e.SetFailFast(true)
	}
	if l.straggling {
		e.SetSpeedFactor(stragglerSpeed)
	}
}

// stragglerSpeed is the share of its speed that a straggler keeps.
const stragglerSpeed = 0.1

// allowedBadStarts is the number of tasks that an endpoint that fails
// everything may take before they count.
const allowedBadStarts = 50

// badStarts returns the starts at an endpoint since the given number, beyond
// those allowed.
func badStarts(e *platform.Endpoint, before int) int {
	return max(0, len(e.StartRecords())-before-allowedBadStarts)
}

func runFleet(t testing.TB, l load, schedule []arrival) *outcome {
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
	if _, err := f.Apply(ctx, []byte(benchFile)); err != nil {
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
	o := &outcome{}
	o.samples = drive(t, targets, schedule, func() {
		starts = len(bad.StartRecords())
		l.disturb(bad)
	})
	o.traffic = readTraffic(t, operators).minus(before)
	o.elapsed = time.Since(began)
	o.badExtra = badStarts(bad, starts)
	return o
}

// startBackends starts the endpoints without a fleet.
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
		b.all = append(b.all, e)
		b.rows = append(b.rows, work.Instance{ID: string(spec.ID), Address: address, Slots: spec.Slots, Incarnation: 1})
	}
	return b
}

// newClient returns the backends with a client of their own, as each instance
// of a baseline has.
func (b *backends) newClient(t testing.TB) *backends {
	client, err := endpoint.New(endpoint.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	return &backends{rows: b.rows, all: b.all, client: client}
}

// runBaseline drives the fronts, one for each instance.
func runBaseline(t testing.TB, l load, schedule []arrival, instances []*backends, fronts []*front, atWarmUp func()) *outcome {
	bad, starts := instances[0].all[badEndpoint], 0
	var targets []string
	for _, f := range fronts {
		targets = append(targets, f.address)
	}
	o := &outcome{}
	began := time.Now()
	o.samples = drive(t, targets, schedule, func() {
		starts = len(bad.StartRecords())
		l.disturb(bad)
		atWarmUp()
	})
	o.elapsed = time.Since(began)
	for _, f := range fronts {
		f.server.Close()
	}
	for _, b := range instances {
		s := b.client.Stats()
		o.traffic.endpointCalls += s.Calls
		o.traffic.refused += s.Busy
		b.client.Close()
	}
	o.badExtra = badStarts(bad, starts)
	return o
}

func runNaive(t testing.TB, l load, schedule []arrival, choices int) *outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	all := startBackends(ctx, t)
	var instances []*backends
	var fronts []*front
	for i := range 2 {
		b := all.newClient(t)
		f, err := newFront(newNaive(b, choices, benchSeed+uint64(i)).run)
		if err != nil {
			t.Fatal(err)
		}
		instances, fronts = append(instances, b), append(fronts, f)
	}
	return runBaseline(t, l, schedule, instances, fronts, func() {})
}

func runReference(t testing.TB, l load, schedule []arrival, freeOnly bool) *outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := startBackends(ctx, t).newClient(t)
	p := newReference(b, freeOnly)
	f, err := newFront(p.run)
	if err != nil {
		t.Fatal(err)
	}
	return runBaseline(t, l, schedule, []*backends{b}, []*front{f}, func() {
		switch {
		case l.failing:
			p.setSpeed(badEndpoint, 0)
		case l.straggling:
			p.setSpeed(badEndpoint, speedOf(badEndpoint)*stragglerSpeed)
		}
	})
}

package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/decide/route"
)

// simulate runs a test in simulated time. Garbage collections before it drop the
// timers that yamux has pooled in an earlier bubble, where this one must not
// use them.
func simulate(t *testing.T, f func(*testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// simFleet runs whole processes, but for their HTTP servers, with a store, a
// network and a clock of its own. It must be used within a synctest bubble.
type simFleet struct {
	t         testing.TB
	rand      *rand.Rand
	store     *simStore
	network   *simNetwork
	instances []*simInstance
	log       io.Writer
}

// simInstance is an instance with its current process, which is nil while the
// instance is down.
type simInstance struct {
	fleet   *simFleet
	id      ident.InstanceID
	dc      ident.DataCentre
	process *Process
	stop    func()
	started time.Time
}

// simShape is the size of a fleet. A divided fleet has more endpoints than one
// owner can take, and a changing one at times.
type simShape struct {
	dcs, perDC        int
	divided, changing bool
}

// Numbers of endpoints for each data centre.
const (
	wholeEndpoints   = 2
	dividedEndpoints = 9
)

func newSimFleet(t testing.TB, seed uint64, shape simShape, log io.Writer) *simFleet {
	dcs := make([]ident.DataCentre, shape.dcs)
	for i := range dcs {
		dcs[i] = ident.DataCentre("dc" + strconv.Itoa(i))
	}
	f := &simFleet{
		t: t, rand: rand.New(rand.NewPCG(seed, 0)), store: newSimStore(dividedEndpoints*shape.dcs, dcs), network: newSimNetwork(), log: log,
	}
	if !shape.divided {
		f.store.setListed(wholeEndpoints * shape.dcs)
	}
	for i := range shape.dcs * shape.perDC {
		in := &simInstance{fleet: f, id: ident.InstanceID(fmt.Sprintf("i%02d", i)), dc: dcs[i%shape.dcs]}
		f.instances = append(f.instances, in)
		in.start()
	}
	return f
}

// simOwnerEndpoints is how many endpoints an instance can own.
const simOwnerEndpoints = 12

// start starts a process of the instance.
func (in *simInstance) start() {
	f := in.fleet
	log := logrus.New()
	log.SetOutput(f.log)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "05.000"})
	begin := time.Now()
	settings := Settings{
		Instance: in.id, DataCentre: in.dc, CallerAddress: "unused", ReadinessAddress: "unused", PeerAddress: string(in.id) + ":1", Clock: clock.System{}, Log: log,
		SinceBoot:   func() time.Duration { return time.Since(begin) },
		PeerNetwork: peer.Network{Listen: f.listen(in.id), Dial: f.dial(in.id)},
		Leader:      leader.Config{Strength: group.Strength{Processors: 2 * simOwnerEndpoints}},
	}
	p, err := New(settings, Ports{
		Store: f.store.ports(in.id), ParseConfig: parseSimConfig,
		Endpoints: Endpoints{
			Poll:  simPoll,
			Start: func(_ context.Context, s owner.Start) owner.CallResult { return owner.CallResult{Call: s.Number} },
			Stop:  func(_ context.Context, s owner.Stop) owner.CallResult { return owner.CallResult{Call: s.Number} },
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx = ctx
	var wg sync.WaitGroup
	for _, run := range p.background() {
		wg.Go(func() { _ = run(ctx) })
	}
	in.process, in.started = p, begin
	in.stop = func() {
		cancel()
		wg.Wait()
	}
}

// The addresses of the simulated network are ids, those of the process have a
// port.
func (f *simFleet) listen(id ident.InstanceID) func(context.Context, string) (net.Listener, error) {
	return func(ctx context.Context, _ string) (net.Listener, error) { return f.network.listen(ctx, string(id)) }
}

func (f *simFleet) dial(id ident.InstanceID) func(context.Context, string) (net.Conn, error) {
	dial := f.network.dial(id)
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dial(ctx, address[:len(address)-len(":1")])
	}
}

func (in *simInstance) kill() {
	if in.process == nil {
		return
	}
	in.stop()
	in.process = nil
}

func (f *simFleet) close() {
	f.network.healAll()
	for _, in := range f.instances {
		in.kill()
	}
	time.Sleep(time.Second) // the goroutines of the network end
}

// version returns the version in force, or zero while there is none.
func (in *simInstance) version() uint64 {
	if in.process == nil {
		return 0
	}
	return in.process.configVersion()
}

// owner returns the instance that this one follows as the owner.
func (in *simInstance) owner() (id ident.InstanceID) {
	if in.process == nil {
		return ""
	}
	in.process.jobs.runOnLoop(func(time.Time) { id = in.process.core.OwnerInstance() })
	return id
}

func (f *simFleet) instance(id ident.InstanceID) *simInstance {
	for _, in := range f.instances {
		if in.id == id {
			return in
		}
	}
	return nil
}

// parseSimConfig decodes a configuration of the simulated store, which has the
// routes that all versions so far have added.
func parseSimConfig(content []byte) (*route.Table, error) {
	version, err := strconv.ParseUint(string(content[1:]), 10, 64)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, fault.RanNo)
	}
	var routes []route.Route
	for n := range version {
		routes = append(routes, route.Route{Host: simHost, Prefix: simPath(n + 1)})
	}
	return route.NewTable(version, routes, 0), nil
}

const simHost = "h.example"

// simPath returns the path of the route that a version adds.
func simPath(version uint64) string { return "/" + strconv.FormatUint(version, 10) + "/" }

// deniesRoute reports whether an instance says that the route of a version does
// not exist.
func (in *simInstance) deniesRoute(version uint64) bool {
	_, err := in.process.jobs.Match(simHost, simPath(version))
	return fault.KindOf(err) == fault.UnknownService
}

func simPoll(ctx context.Context, poll owner.Poll) owner.PollResult {
	sent := time.Now()
	select {
	case <-time.After(max(poll.Wait, 50*time.Millisecond)):
	case <-ctx.Done():
	}
	return owner.PollResult{Call: poll.Number, Clock: owner.EndpointTime(time.Now().UnixMilli()), Incarnation: 1, SentAt: sent}
}

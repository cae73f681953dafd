package endpoints_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/endpoints"
)

// simulatedService runs tasks on simulated endpoints of two slots each.
type simulatedService struct {
	pool      *endpoints.Pool
	now       time.Time
	instances []work.Instance
	random    *rand.Rand
	running   []runningTask
	// started and failed count the attempts by endpoint id.
	started, failed map[string]int
	// outcome returns how a task with the run time took ends on an endpoint. By
	// default it succeeds after that time.
	outcome func(id string, took time.Duration) endpoints.Outcome
}

// runningTask is a task in flight and the outcome that it will have.
type runningTask struct {
	end      time.Time
	instance work.Instance
	endpoints.Outcome
}

func newSimulatedService(n int) *simulatedService {
	f := &simulatedService{
		pool:    endpoints.NewPool(endpoints.Defaults(), 500*time.Millisecond),
		now:     epoch,
		random:  rand.New(rand.NewPCG(1, 1)),
		started: map[string]int{},
		failed:  map[string]int{},
		outcome: func(_ string, took time.Duration) endpoints.Outcome {
			return endpoints.Outcome{Took: took}
		},
	}
	for i := range n {
		f.instances = append(f.instances, work.Instance{ID: fmt.Sprintf("worker-%02d", i), Incarnation: 1, Slots: 2})
	}
	f.pool.SetOwned(f.now, f.instances)
	return f
}

// drawRunTime returns a random run time between 50 ms and 5 s with a median of
// 500 ms.
func (f *simulatedService) drawRunTime() time.Duration {
	s := 0.5 * math.Exp(f.random.NormFloat64())
	return time.Duration(min(max(s, 0.05), 5) * float64(time.Second))
}

// pick starts a task if the pool offers a slot.
func (f *simulatedService) pick() bool {
	c, ok := f.pool.Pick(f.now, 0)
	if ok {
		f.started[c.Endpoint.ID]++
		o := f.outcome(c.Endpoint.ID, f.drawRunTime())
		f.running = append(f.running, runningTask{f.now.Add(o.Took), c.Endpoint, o})
	}
	return ok
}

// finish advances the time to the end of the task that ends first, and finishes
// it.
func (f *simulatedService) finish() {
	i := 0
	for j := range f.running {
		if f.running[j].end.Before(f.running[i].end) {
			i = j
		}
	}
	t := f.running[i]
	f.running = slices.Delete(f.running, i, i+1)
	f.now = t.end
	if t.Kind == endpoints.Failed {
		f.failed[t.instance.ID]++
	}
	f.pool.Finish(f.now, ident.EndpointID(t.instance.ID), t.instance.Incarnation, t.Outcome)
}

// saturate finishes n tasks while all slots that the pool offers are in use.
func (f *simulatedService) saturate(n int) {
	for range n {
		for f.pick() {
		}
		f.finish()
	}
}

func (f *simulatedService) health(id string) endpoints.Health {
	for _, h := range f.pool.Health() {
		if string(h.ID) == id {
			return h
		}
	}
	return endpoints.Health{}
}

// TestFaultyEndpoint guards against a faulty endpoint that keeps getting tasks,
// and against a working one that no longer gets any. Each case simulates one
// kind of fault, drain or restart of one endpoint in eight, or of all of them.
func TestFaultyEndpoint(t *testing.T) {
	const faulty = "worker-00"
	cases := map[string]func(*is.I, *simulatedService){
		"all tasks fail fast": func(is *is.I, f *simulatedService) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == faulty {
					return endpoints.Outcome{Kind: endpoints.Failed, Took: time.Millisecond}
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(1000)
			// Five failures until the first ejection, another task in
			// flight at that time, and one failure on probation after each of
			// the ejections of 5, 10, 20 and 40 s.
			is.True(f.failed[faulty] >= 5)
			is.True(f.failed[faulty] <= 10)
			is.Equal(f.health(faulty).State, endpoints.StateEjected)
		},
		"ejections are short again after a long recovery": func(is *is.I, f *simulatedService) {
			fails := true
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == faulty && fails {
					return endpoints.Outcome{Kind: endpoints.Failed, Took: took}
				}
				return endpoints.Outcome{Took: took}
			}
			for i := 0; i < 1000 && f.health(faulty).State != endpoints.StateEjected; i++ {
				f.saturate(1)
			}
			is.Equal(f.health(faulty).Until, f.now.Add(5*time.Second))
			fails = false
			for end := f.now.Add(70 * time.Second); f.now.Before(end); {
				f.saturate(1)
			}
			is.Equal(f.health(faulty).State, endpoints.StateHealthy)
			fails = true
			for i := 0; i < 1000 && f.health(faulty).State != endpoints.StateEjected; i++ {
				f.saturate(1)
			}
			is.Equal(f.health(faulty).Until, f.now.Add(5*time.Second))
		},
		"fast failures do not raise the speed": func(is *is.I, f *simulatedService) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == faulty && f.started[id]%3 == 0 {
					return endpoints.Outcome{Kind: endpoints.Failed, Took: time.Millisecond}
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(1000)
			is.True(f.health(faulty).Speed < 1.5)
		},
		"all endpoints fail": func(is *is.I, f *simulatedService) {
			f.outcome = func(_ string, took time.Duration) endpoints.Outcome {
				return endpoints.Outcome{Kind: endpoints.Failed, Took: took}
			}
			f.saturate(400)
			states := map[endpoints.State]int{}
			for _, h := range f.pool.Health() {
				states[h.State]++
			}
			is.Equal(states[endpoints.StateEjected], 2)
			is.True(f.pool.Free(f.now) > 0) // the other endpoints still get tasks
		},
		"a tenth of the usual speed": func(is *is.I, f *simulatedService) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == faulty {
					took *= 10
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(400)
			is.Equal(f.health(faulty).State, endpoints.StateStraggler)
			before := f.started[faulty]
			f.saturate(400)
			is.Equal(f.started[faulty], before)
		},
		"straggler whose tasks all miss their deadlines": func(is *is.I, f *simulatedService) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == faulty {
					return endpoints.Outcome{Kind: endpoints.Cancelled, Took: 5 * time.Second}
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(800)
			is.Equal(f.health(faulty).State, endpoints.StateStraggler)
		},
		"one long task": func(is *is.I, f *simulatedService) {
			f.saturate(400)
			speed := f.health(faulty).Speed
			for f.pool.Free(f.now) > 0 {
				f.pool.Pick(f.now, 0)
			}
			f.pool.Finish(f.now, faulty, 1, endpoints.Outcome{Took: 50 * time.Second})
			is.True(f.health(faulty).Speed > speed/2)
		},
		"leaving in the platform's list": func(is *is.I, f *simulatedService) {
			for f.pick() {
			}
			f.instances[0].Leaving = true
			f.pool.SetOwned(f.now, f.instances)
			is.Equal(f.health(faulty).Running, 2)
			f.saturate(100)
			is.Equal(f.started[faulty], 2)
			is.Equal(f.health(faulty).Running, 0)
		},
		"refuses tasks while draining": func(is *is.I, f *simulatedService) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == faulty {
					return endpoints.Outcome{Kind: endpoints.Draining, Took: time.Millisecond}
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(100)
			is.Equal(f.started[faulty], 2) // both were started before the answer
		},
		"new incarnation": func(is *is.I, f *simulatedService) {
			f.saturate(100)
			for f.pick() {
			}
			f.instances[0].Incarnation = 2
			f.pool.SetOwned(f.now, f.instances)
			h := f.health(faulty)
			is.Equal(h.Running, 0)
			is.Equal(h.Speed, 1.0)
			is.True(f.pick()) // the only free slots are those of the new process
			is.True(f.pick())
			failed := endpoints.Outcome{Kind: endpoints.Failed}
			is.True(f.pool.Finish(f.now, faulty, 1, failed))
			is.True(f.pool.Finish(f.now, faulty, 1, failed))
			is.Equal(f.pool.Finish(f.now, faulty, 1, failed), false)
			is.Equal(f.health(faulty).Running, 2)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(is.New(t), newSimulatedService(8)) })
	}
}

// TestTwoOwnersShareEndpoint guards against two owners of the same endpoint
// that each count only their own tasks. They could keep sending tasks that the
// endpoint must refuse, or back off so far that its slots stay unused.
func TestTwoOwnersShareEndpoint(t *testing.T) {
	is := is.New(t)
	const slots = 8
	random := rand.New(rand.NewPCG(1, 1))
	instance := work.Instance{ID: "worker-00", Incarnation: 1, Slots: slots}
	owners := make([]*endpoints.Pool, 2)
	for i := range owners {
		owners[i] = endpoints.NewPool(endpoints.Defaults(), 100*time.Millisecond)
		owners[i].SetOwned(epoch, []work.Instance{instance})
	}
	type ownerTask struct{ owner, msLeft, took int } // msLeft and took in ms
	var running []ownerTask
	done, refused := 0, 0
	for tick := range 20_000 { // of 1 ms
		now := epoch.Add(time.Duration(tick) * time.Millisecond)
		for i := len(running) - 1; i >= 0; i-- {
			if running[i].msLeft--; running[i].msLeft <= 0 {
				o := endpoints.Outcome{Took: time.Duration(running[i].took) * time.Millisecond}
				owners[running[i].owner].Finish(now, "worker-00", 1, o)
				running = slices.Delete(running, i, i+1)
				done++
			}
		}
		for _, i := range random.Perm(2) {
			if _, ok := owners[i].Pick(now, 0); !ok {
				continue
			}
			if len(running) == slots {
				refused++
				owners[i].Finish(now, "worker-00", 1, endpoints.Outcome{Kind: endpoints.Busy})
				continue
			}
			took := 50 + random.IntN(100)
			running = append(running, ownerTask{i, took, took})
		}
	}
	t.Logf("%d done, %d refused", done, refused)
	is.True(done > 1400) // of 1600 that the slots allow
	is.True(refused < done/4)

	newOwner := endpoints.NewPool(endpoints.Defaults(), 100*time.Millisecond)
	newOwner.SetOwned(epoch, []work.Instance{instance})
	newOwner.SetReportedStatus(epoch, "worker-00", 6, slots, false)
	is.Equal(newOwner.Free(epoch), 2) // a new owner starts with the load that the endpoint reports
	is.Equal(newOwner.NextChange(epoch), epoch.Add(50*time.Millisecond))
}

// TestLoadEstimates guards against wrong slot counts, estimates and waits.
// Instances compare these to choose the instance that runs a task.
func TestLoadEstimates(t *testing.T) {
	is := is.New(t)
	f := newSimulatedService(2)
	is.Equal(f.pool.UsableSlots(), 4)
	is.Equal(f.pool.EstimateWait(3), time.Duration(0)) // the fourth task has a slot
	is.Equal(f.pool.EstimateWait(11), time.Second)     // two batches of four tasks of 500 ms
	is.Equal(f.pool.Estimate(0), 500*time.Millisecond)
	is.Equal(f.pool.P95(), 1500*time.Millisecond)
	c, ok := f.pool.Pick(f.now, 0)
	is.True(ok)
	is.Equal(c.Estimate, 500*time.Millisecond)
	is.Equal(c.CheckAfter, 1500*time.Millisecond)
	other, ok := f.pool.PickHedge(f.now, 0, ident.EndpointID(c.Endpoint.ID))
	is.True(ok)
	is.True(other.Endpoint.ID != c.Endpoint.ID)
	f.pool.SetExpected(100 * time.Millisecond)
	is.Equal(f.pool.Estimate(0), 100*time.Millisecond)
	f.pool.SetOwned(f.now, nil)
	is.Equal(f.pool.UsableSlots(), 0)
	is.Equal(f.pool.EstimateWait(0), time.Minute) // without usable slots
	is.Equal(len(f.pool.Health()), 2)             // kept while their tasks run
}

// TestConfigValidate guards against invalid thresholds that Validate accepts.
func TestConfigValidate(t *testing.T) {
	cases := map[string]struct {
		change func(*endpoints.Config)
		field  string
	}{
		"defaults":             {func(*endpoints.Config) {}, ""},
		"window above 64":      {func(c *endpoints.Config) { c.Window = 65 }, "endpoints.window"},
		"zero straggler speed": {func(c *endpoints.Config) { c.StragglerSpeed = 0 }, "endpoints.straggler-speed"},
		"NaN share":            {func(c *endpoints.Config) { c.EjectedShare = math.NaN() }, "endpoints.ejected-share"},
		"max below min":        {func(c *endpoints.Config) { c.EjectionMax = 1 }, "endpoints.ejection-max"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := endpoints.Defaults()
			c.change(&cfg)
			err := cfg.Validate()
			is.Equal(err == nil, c.field == "")
			if err != nil {
				is.Equal(fault.From(err).Field, c.field)
			}
		})
	}
}

// TestDeclaredSizes guards against estimates that follow declared sizes
// although these are unrelated to run times, and against estimates that ignore
// sizes that do predict run times.
func TestDeclaredSizes(t *testing.T) {
	// declare returns the declared size per unit of actual size; if it is nil,
	// the declared size is independent of the actual size.
	cases := map[string]struct {
		declare func(*rand.Rand) float64
		low     float64 // bounds of the ratio of the estimate for size 40 to that for 10
		high    float64
	}{
		"right":                   {func(*rand.Rand) float64 { return 10 }, 3, 5},
		"wrong by up to 10 times": {func(r *rand.Rand) float64 { return 10 * math.Pow(10, 2*r.Float64()-1) }, 1, 2.2},
		"unrelated":               {nil, 1, 1.2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			p := endpoints.NewPool(endpoints.Defaults(), time.Second)
			p.SetOwned(epoch, []work.Instance{{ID: "worker-00", Incarnation: 1, Slots: 8}})
			for i := range 500 {
				actualSize := math.Exp(random.NormFloat64())
				size := 10 * math.Exp(random.NormFloat64())
				if c.declare != nil {
					size = actualSize * c.declare(random)
				}
				_, ok := p.Pick(epoch, size)
				is.True(ok)
				took := time.Duration(actualSize * float64(200*time.Millisecond))
				p.Finish(epoch, "worker-00", 1, endpoints.Outcome{Took: took, Size: size})
				if i == 0 { // at first, run times are assumed proportional to sizes
					is.True(p.Estimate(4*size) > 2*p.Estimate(size))
				}
			}
			ratio := p.Estimate(40).Seconds() / p.Estimate(10).Seconds()
			t.Logf("estimates of four times the size: %.2f times", ratio)
			is.True(ratio >= c.low && ratio <= c.high)
		})
	}
}

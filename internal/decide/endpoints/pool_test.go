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

// fleet runs tasks at simulated endpoints of two slots each.
type fleet struct {
	pool    *endpoints.Pool
	now     time.Time
	rows    []work.Instance
	random  *rand.Rand
	running []flight
	// started and failed count the attempts at each endpoint.
	started, failed map[string]int
	// outcome returns how a task of the run time ends at an endpoint. The
	// default is a success in just that time.
	outcome func(id string, took time.Duration) endpoints.Outcome
}

type flight struct {
	end time.Time
	row work.Instance
	endpoints.Outcome
}

func newFleet(n int) *fleet {
	f := &fleet{
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
		f.rows = append(f.rows, work.Instance{ID: fmt.Sprintf("worker-%02d", i), Incarnation: 1, Slots: 2})
	}
	f.pool.SetOwned(f.now, f.rows)
	return f
}

// runTime returns a run time between 50 ms and 5 s with a median of 500 ms.
func (f *fleet) runTime() time.Duration {
	s := 0.5 * math.Exp(f.random.NormFloat64())
	return time.Duration(min(max(s, 0.05), 5) * float64(time.Second))
}

func (f *fleet) pick() bool {
	c, ok := f.pool.Pick(f.now, 0)
	if ok {
		f.started[c.Endpoint.ID]++
		o := f.outcome(c.Endpoint.ID, f.runTime())
		f.running = append(f.running, flight{f.now.Add(o.Took), c.Endpoint, o})
	}
	return ok
}

// finish moves on to the end of the next task.
func (f *fleet) finish() {
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
		f.failed[t.row.ID]++
	}
	f.pool.Finish(f.now, ident.EndpointID(t.row.ID), t.row.Incarnation, t.Outcome)
}

// saturate runs n tasks with every offered slot in use.
func (f *fleet) saturate(n int) {
	for range n {
		for f.pick() {
		}
		f.finish()
	}
}

func (f *fleet) health(id string) endpoints.Health {
	for _, h := range f.pool.Health() {
		if string(h.ID) == id {
			return h
		}
	}
	return endpoints.Health{}
}

// TestFailures guards against the effect of each failure of an endpoint on the
// tasks of the others.
func TestFailures(t *testing.T) {
	const bad = "worker-00"
	cases := map[string]func(*is.I, *fleet){
		"fails everything fast": func(is *is.I, f *fleet) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == bad {
					return endpoints.Outcome{Kind: endpoints.Failed, Took: time.Millisecond}
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(1000)
			// Five failures, one more in flight with the fifth, and one after
			// each ejection of 5, 10, 20 and 40 s.
			is.True(f.failed[bad] >= 5)
			is.True(f.failed[bad] <= 10)
			is.Equal(f.health(bad).State, endpoints.StateEjected)
		},
		"fails again after a long time": func(is *is.I, f *fleet) {
			fails := true
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == bad && fails {
					return endpoints.Outcome{Kind: endpoints.Failed, Took: took}
				}
				return endpoints.Outcome{Took: took}
			}
			for i := 0; i < 1000 && f.health(bad).State != endpoints.StateEjected; i++ {
				f.saturate(1)
			}
			is.Equal(f.health(bad).Until, f.now.Add(5*time.Second))
			fails = false
			for end := f.now.Add(70 * time.Second); f.now.Before(end); {
				f.saturate(1)
			}
			is.Equal(f.health(bad).State, endpoints.StateHealthy)
			fails = true
			for i := 0; i < 1000 && f.health(bad).State != endpoints.StateEjected; i++ {
				f.saturate(1)
			}
			is.Equal(f.health(bad).Until, f.now.Add(5*time.Second))
		},
		"fails some fast": func(is *is.I, f *fleet) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == bad && f.started[id]%3 == 0 {
					return endpoints.Outcome{Kind: endpoints.Failed, Took: time.Millisecond}
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(1000)
			is.True(f.health(bad).Speed < 1.5)
		},
		"all fail": func(is *is.I, f *fleet) {
			f.outcome = func(_ string, took time.Duration) endpoints.Outcome {
				return endpoints.Outcome{Kind: endpoints.Failed, Took: took}
			}
			f.saturate(400)
			states := map[endpoints.State]int{}
			for _, h := range f.pool.Health() {
				states[h.State]++
			}
			is.Equal(states[endpoints.StateEjected], 2)
			is.True(f.pool.Free(f.now) > 0) // the others are still tried
		},
		"a tenth of the speed": func(is *is.I, f *fleet) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == bad {
					took *= 10
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(400)
			is.Equal(f.health(bad).State, endpoints.StateStraggler)
			before := f.started[bad]
			f.saturate(400)
			is.Equal(f.started[bad], before)
		},
		"a tenth of the speed, all late": func(is *is.I, f *fleet) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == bad {
					return endpoints.Outcome{Kind: endpoints.Cancelled, Took: 5 * time.Second}
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(800)
			is.Equal(f.health(bad).State, endpoints.StateStraggler)
		},
		"one long task": func(is *is.I, f *fleet) {
			f.saturate(400)
			speed := f.health(bad).Speed
			for f.pool.Free(f.now) > 0 {
				f.pool.Pick(f.now, 0)
			}
			f.pool.Finish(f.now, bad, 1, endpoints.Outcome{Took: 50 * time.Second})
			is.True(f.health(bad).Speed > speed/2)
		},
		"leaves by the list": func(is *is.I, f *fleet) {
			for f.pick() {
			}
			f.rows[0].Leaving = true
			f.pool.SetOwned(f.now, f.rows)
			is.Equal(f.health(bad).Running, 2)
			f.saturate(100)
			is.Equal(f.started[bad], 2)
			is.Equal(f.health(bad).Running, 0)
		},
		"leaves by its own answer": func(is *is.I, f *fleet) {
			f.outcome = func(id string, took time.Duration) endpoints.Outcome {
				if id == bad {
					return endpoints.Outcome{Kind: endpoints.Draining, Took: time.Millisecond}
				}
				return endpoints.Outcome{Took: took}
			}
			f.saturate(100)
			is.Equal(f.started[bad], 2) // both were started before the answer
		},
		"new incarnation": func(is *is.I, f *fleet) {
			f.saturate(100)
			for f.pick() {
			}
			f.rows[0].Incarnation = 2
			f.pool.SetOwned(f.now, f.rows)
			h := f.health(bad)
			is.Equal(h.Running, 0)
			is.Equal(h.Speed, 1.0)
			is.True(f.pick()) // the only free slots are those of the new process
			is.True(f.pick())
			failed := endpoints.Outcome{Kind: endpoints.Failed}
			is.True(f.pool.Finish(f.now, bad, 1, failed))
			is.True(f.pool.Finish(f.now, bad, 1, failed))
			is.Equal(f.pool.Finish(f.now, bad, 1, failed), false)
			is.Equal(f.health(bad).Running, 2)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(is.New(t), newFleet(8)) })
	}
}

// TestTwoOwners guards against owners that count an endpoint separately and
// keep sending tasks which it must refuse, or leave its slots unused.
func TestTwoOwners(t *testing.T) {
	is := is.New(t)
	const slots = 8
	random := rand.New(rand.NewPCG(1, 1))
	row := work.Instance{ID: "worker-00", Incarnation: 1, Slots: slots}
	owners := make([]*endpoints.Pool, 2)
	for i := range owners {
		owners[i] = endpoints.NewPool(endpoints.Defaults(), 100*time.Millisecond)
		owners[i].SetOwned(epoch, []work.Instance{row})
	}
	type held struct{ owner, ticks, took int }
	var running []held
	done, refused := 0, 0
	for tick := range 20_000 { // of 1 ms
		now := epoch.Add(time.Duration(tick) * time.Millisecond)
		for i := len(running) - 1; i >= 0; i-- {
			if running[i].ticks--; running[i].ticks <= 0 {
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
			running = append(running, held{i, took, took})
		}
	}
	t.Logf("%d done, %d refused", done, refused)
	is.True(done > 1400) // of 1600 that the slots allow
	is.True(refused < done/4)

	fresh := endpoints.NewPool(endpoints.Defaults(), 100*time.Millisecond)
	fresh.SetOwned(epoch, []work.Instance{row})
	fresh.SetBusy(epoch, "worker-00", 6, slots, false)
	is.Equal(fresh.Free(epoch), 2) // a new owner begins from the endpoint's count
	is.Equal(fresh.NextChange(epoch), epoch.Add(50*time.Millisecond))
}

// TestLoad guards against waits and estimates that peers cannot compare.
func TestLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	is.Equal(f.pool.Slots(), 4)
	is.Equal(f.pool.Wait(3), time.Duration(0)) // the fourth task has a slot
	is.Equal(f.pool.Wait(11), time.Second)     // two rounds of four tasks of 500 ms
	is.Equal(f.pool.Estimate(0), 500*time.Millisecond)
	is.Equal(f.pool.P95(), 1500*time.Millisecond)
	c, ok := f.pool.Pick(f.now, 0)
	is.True(ok)
	is.Equal(c.Estimate, 500*time.Millisecond)
	is.Equal(c.Progress, 1500*time.Millisecond)
	other, ok := f.pool.PickOther(f.now, 0, ident.EndpointID(c.Endpoint.ID))
	is.True(ok)
	is.True(other.Endpoint.ID != c.Endpoint.ID)
	f.pool.SetExpected(100 * time.Millisecond)
	is.Equal(f.pool.Estimate(0), 100*time.Millisecond)
	f.pool.SetOwned(f.now, nil)
	is.Equal(f.pool.Slots(), 0)
	is.Equal(f.pool.Wait(0), time.Minute) // no slot is known to come
	is.Equal(len(f.pool.Health()), 2)     // with the two running tasks
}

// TestConfigValidate guards against thresholds that the pool cannot work with.
func TestConfigValidate(t *testing.T) {
	cases := map[string]struct {
		change func(*endpoints.Config)
		field  string
	}{
		"defaults":        {func(*endpoints.Config) {}, ""},
		"wide window":     {func(c *endpoints.Config) { c.Window = 65 }, "endpoints.window"},
		"no straggler":    {func(c *endpoints.Config) { c.StragglerSpeed = 0 }, "endpoints.straggler-speed"},
		"share no number": {func(c *endpoints.Config) { c.EjectedShare = math.NaN() }, "endpoints.ejected-share"},
		"max below min":   {func(c *endpoints.Config) { c.EjectionMax = 1 }, "endpoints.ejection-max"},
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

// TestDeclaredSizes guards against estimates that follow declared sizes which
// say nothing, and against ones that ignore sizes which do.
func TestDeclaredSizes(t *testing.T) {
	// Each case returns the declared size of a task of ten units.
	cases := map[string]struct {
		declare func(*rand.Rand) float64
		low     float64 // bounds of the estimate of 40 units against that of 10
		high    float64
	}{
		"right":             {func(*rand.Rand) float64 { return 10 }, 3, 5},
		"wrong by 10 times": {func(r *rand.Rand) float64 { return 10 * math.Pow(10, 2*r.Float64()-1) }, 1, 2.2},
		"unrelated":         {nil, 1, 1.2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			p := endpoints.NewPool(endpoints.Defaults(), time.Second)
			p.SetOwned(epoch, []work.Instance{{ID: "worker-00", Incarnation: 1, Slots: 8}})
			for i := range 500 {
				units := math.Exp(random.NormFloat64())
				size := 10 * math.Exp(random.NormFloat64())
				if c.declare != nil {
					size = units * c.declare(random)
				}
				_, ok := p.Pick(epoch, size)
				is.True(ok)
				took := time.Duration(units * float64(200*time.Millisecond))
				p.Finish(epoch, "worker-00", 1, endpoints.Outcome{Took: took, Size: size})
				if i == 0 { // the first estimates take sizes at their word
					is.True(p.Estimate(4*size) > 2*p.Estimate(size))
				}
			}
			ratio := p.Estimate(40).Seconds() / p.Estimate(10).Seconds()
			t.Logf("estimates of four times the size: %.2f times", ratio)
			is.True(ratio >= c.low && ratio <= c.high)
		})
	}
}

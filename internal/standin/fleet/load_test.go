package fleet_test

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
)

// The benchmark's fleet: 16 endpoints of 8 slots, speeds four to one.
const (
	benchEndpoints = 16
	benchSlots     = 8
	minSpeed       = 0.5
	maxSpeed       = 2.0
	// badEndpoint is the one that fails or straggles, of about median speed.
	badEndpoint = benchEndpoints / 2
	benchSeed   = 20261204
)

// Run times are the users' 50 ms to 5 s divided by timeScale, so that a run
// takes some 10 s. The shortest, 10 ms, is well above the loopback cost of
// under 1 ms. Thresholds of the product, such as ejection times, are not
// scaled.
const (
	timeScale = 5
	shortFrom = 50 * time.Millisecond / timeScale
	shortTo   = time.Second / timeScale
	longTo    = 5 * time.Second / timeScale
	// longShare of the tasks run for over 1 s, unscaled.
	longShare = 0.1
)

// jobTasks is the size of the users' larger jobs.
const jobTasks = 1300

// speedOf spreads speeds evenly on a logarithmic scale.
func speedOf(i int) float64 {
	return minSpeed * math.Pow(maxSpeed/minSpeed, float64(i)/(benchEndpoints-1))
}

func endpointName(i int) ident.EndpointID { return ident.EndpointID("worker-" + strconv.Itoa(i)) }

func benchEndpointSpecs() []fleet.Endpoint {
	var specs []fleet.Endpoint
	for i := range benchEndpoints {
		specs = append(specs, fleet.Endpoint{ID: endpointName(i), DataCentre: "dc-0", Service: "sheet-render",
			Slots: benchSlots, Speed: speedOf(i), RunTime: shortFrom})
	}
	return specs
}

// capacity returns the tasks per second that all endpoints can run.
func capacity() float64 {
	mean := (1-longShare)*meanLogUniform(shortFrom, shortTo) + longShare*meanLogUniform(shortTo, longTo)
	return totalSpeed() / mean
}

// totalSpeed returns the nominal seconds of work done in one second.
func totalSpeed() float64 {
	total := 0.0
	for i := range benchEndpoints {
		total += benchSlots * speedOf(i)
	}
	return total
}

func meanLogUniform(lo, hi time.Duration) float64 {
	return (hi - lo).Seconds() / math.Log(hi.Seconds()/lo.Seconds())
}

func logUniform(r *rand.Rand, lo, hi time.Duration) time.Duration {
	return time.Duration(float64(lo) * math.Pow(float64(hi)/float64(lo), r.Float64()))
}

func drawRunTime(r *rand.Rand) time.Duration {
	if r.Float64() < longShare {
		return logUniform(r, shortTo, longTo)
	}
	return logUniform(r, shortFrom, shortTo)
}

// load describes one arrival process. Shares are of capacity.
type load struct {
	share float64
	// burst multiplies the arrivals during the first second after warmUp.
	burst float64
	// jobEvery is the time between jobs of jobTasks tasks, or zero.
	jobEvery time.Duration
	// failing and straggling change badEndpoint after warmUp.
	failing, straggling bool
	length              time.Duration
}

// arrival is one submission: a single request, or a job.
type arrival struct {
	at    time.Duration
	tasks []time.Duration
	// instance and caller are the random numbers that choose the instance and
	// the caller.
	instance, caller uint32
}

func (a *arrival) job() bool { return len(a.tasks) > 1 }

// ideal returns the shortest possible response time: for a request its run
// time on the fastest endpoint; for a job its longest task there, or its total
// work over all slots if that is longer. It is the same for every policy.
func (a *arrival) ideal() time.Duration {
	longest, sum := time.Duration(0), time.Duration(0)
	for _, t := range a.tasks {
		longest, sum = max(longest, t), sum+t
	}
	ideal := float64(longest) / maxSpeed
	if a.job() {
		ideal = max(ideal, float64(sum)/totalSpeed())
	}
	return time.Duration(ideal)
}

// schedule draws the arrivals of a load: a Poisson process.
func (l load) schedule(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	nextJob := warmUp
	for at := time.Duration(0); ; {
		rate := l.share * capacity()
		if l.burst > 0 && at >= warmUp && at < warmUp+time.Second {
			rate *= l.burst
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= l.length {
			return all
		}
		a := arrival{at: at, tasks: []time.Duration{drawRunTime(r)}, instance: r.Uint32(), caller: r.Uint32()}
		if l.jobEvery > 0 && at >= nextJob {
			nextJob += l.jobEvery
			for len(a.tasks) < jobTasks {
				a.tasks = append(a.tasks, drawRunTime(r))
			}
		}
		all = append(all, a)
	}
}

// taskInput is the stand-in endpoint's input: the nominal run time.
type taskInput struct {
	RunMS float64 `json:"run-ms"`
}

func inputOf(d time.Duration) []byte {
	return []byte(`{"run-ms":` + strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 4, 64) + `}`)
}

func runTimeOf(body []byte) time.Duration {
	var in taskInput
	if json.Unmarshal(body, &in) != nil {
		return 0
	}
	return time.Duration(in.RunMS * float64(time.Millisecond))
}

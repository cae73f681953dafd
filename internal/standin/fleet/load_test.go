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

// The fleet of the benchmark: 16 endpoints of 8 slots. The fastest is four
// times as fast as the slowest.
const (
	benchEndpoints = 16
	benchSlots     = 8
	minSpeed       = 0.5
	maxSpeed       = 2.0
	// badEndpoint is the index of the endpoint that fails or straggles. Its
	// speed is about the median.
	badEndpoint = benchEndpoints / 2
	benchSeed   = 20261204
)

// Run times are the users' 50 ms to 5 s divided by timeScale, so that a run of
// the benchmark takes about 10 s. The shortest run time, 10 ms, is well above
// the cost of a loopback call, which is under 1 ms. Thresholds of the
// dispatcher, such as ejection times, are not scaled.
const (
	timeScale   = 5
	minRunTime  = 50 * time.Millisecond / timeScale
	longRunTime = time.Second / timeScale
	maxRunTime  = 5 * time.Second / timeScale
	// longShare is the share of tasks that run for over 1 s before scaling.
	longShare = 0.1
)

// jobTasks is the number of tasks in one of the users' larger jobs.
const jobTasks = 1300

// speedOf returns the speed of endpoint i. Speeds are spread evenly on a
// logarithmic scale.
func speedOf(i int) float64 {
	return minSpeed * math.Pow(maxSpeed/minSpeed, float64(i)/(benchEndpoints-1))
}

func endpointName(i int) ident.EndpointID { return ident.EndpointID("worker-" + strconv.Itoa(i)) }

func benchEndpointSpecs() []fleet.Endpoint {
	var specs []fleet.Endpoint
	for i := range benchEndpoints {
		specs = append(specs, fleet.Endpoint{ID: endpointName(i), DataCentre: "dc-0", Service: "sheet-render",
			Slots: benchSlots, Speed: speedOf(i), RunTime: minRunTime})
	}
	return specs
}

// capacity returns the tasks per second that all endpoints can run.
func capacity() float64 {
	mean := (1-longShare)*meanLogUniform(minRunTime, longRunTime) + longShare*meanLogUniform(longRunTime, maxRunTime)
	return totalSpeed() / mean
}

// totalSpeed returns the nominal seconds of work that all slots do in one
// second.
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
		return logUniform(r, longRunTime, maxRunTime)
	}
	return logUniform(r, minRunTime, longRunTime)
}

// load describes an arrival process.
type load struct {
	// share is the rate of tasks as a share of capacity.
	share float64
	// burst multiplies the arrivals during the first second after warmUp.
	burst float64
	// jobEvery is the time between jobs of jobTasks tasks, or zero.
	jobEvery time.Duration
	// failing makes badEndpoint fail all tasks after warmUp, and straggling
	// makes it slow.
	failing, straggling bool
	// length is how long submissions arrive, including warmUp.
	length time.Duration
}

// arrival is one submission: a single request, or a job.
type arrival struct {
	// at is the time since the start of the run. tasks holds the nominal run
	// time of each task.
	at    time.Duration
	tasks []time.Duration
	// instance and caller are the random numbers that choose the instance and
	// the caller.
	instance, caller uint32
}

func (a *arrival) isJob() bool { return len(a.tasks) > 1 }

// ideal returns the shortest possible response time. For a request, this is the
// run time on the fastest endpoint. For a job, it is the run time of the
// longest task on the fastest endpoint, or the time of the total work on all
// slots if that is longer. It is the same for every policy.
func (a *arrival) ideal() time.Duration {
	longest, sum := time.Duration(0), time.Duration(0)
	for _, t := range a.tasks {
		longest, sum = max(longest, t), sum+t
	}
	ideal := float64(longest) / maxSpeed
	if a.isJob() {
		ideal = max(ideal, float64(sum)/totalSpeed())
	}
	return time.Duration(ideal)
}

// schedule returns random arrivals of a Poisson process.
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

// taskInput is the input of a task at a simulated endpoint: the nominal run
// time in milliseconds.
type taskInput struct {
	RunMS float64 `json:"run-ms"`
}

func encodeInput(d time.Duration) []byte {
	return []byte(`{"run-ms":` + strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 4, 64) + `}`)
}

func decodeRunTime(body []byte) time.Duration {
	var in taskInput
	if json.Unmarshal(body, &in) != nil {
		return 0
	}
	return time.Duration(in.RunMS * float64(time.Millisecond))
}

package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

const (
	// warmUp is excluded from the figures, since run time estimates are still
	// being learned.
	warmUp = 2 * time.Second
	// benchLength is how long submissions arrive, including the warm-up.
	benchLength = 8 * time.Second
	// callers is the number of callers per instance. Each has its own
	// connections.
	callers = 64
	// drainLimit is the time after benchLength at which a run of the benchmark
	// ends even if its queues are not empty. It also limits the start of the
	// fleet.
	drainLimit = 10 * time.Second
)

const benchConfig = `
services:
  - name: sheet-render
    expected-run-time: 100ms
    response-weight: 1
    idempotent: true
teams:
  - name: studio
`

var benchLoads = map[string]load{
	"steady-0.5": {share: 0.5, length: benchLength},
	"steady-0.7": {share: 0.7, length: benchLength},
	"steady-0.9": {share: 0.9, length: benchLength},
	// The burst exceeds capacity by 2 s of full load. The backlog is worked off
	// after about 3 s.
	"burst":     {share: 0.3, burst: 10, length: benchLength},
	"jobs":      {share: 0.4, jobEvery: 2500 * time.Millisecond, length: benchLength},
	"failing":   {share: 0.7, failing: true, length: benchLength},
	"straggler": {share: 0.7, straggling: true, length: benchLength},
}

// traffic counts HTTP calls and frames. In a report, a call is two messages,
// the request and the reply, and a frame between instances is one. Messages
// that yamux and TCP add are not counted.
type traffic struct {
	// refused counts the endpointCalls that were refused because no slot was
	// free.
	endpointCalls, statusCalls, refused uint64
	peerMessages, controlBytes          uint64
	storeCalls                          uint64
}

func (t traffic) sub(o traffic) traffic {
	return traffic{t.endpointCalls - o.endpointCalls, t.statusCalls - o.statusCalls, t.refused - o.refused,
		t.peerMessages - o.peerMessages, t.controlBytes - o.controlBytes, t.storeCalls - o.storeCalls}
}

// sample is the result of one submission.
type sample struct {
	arrival  arrival
	response time.Duration
	failed   bool
	// failure says why the submission failed, for the test's output.
	failure string
	// endedAt is the time since the start of the run.
	endedAt time.Duration
}

// measurements holds the results of one run of the benchmark.
type measurements struct {
	samples []sample
	traffic traffic
	elapsed time.Duration
	// excessBadStarts is the number of starts at badEndpoint beyond
	// allowedBadStarts.
	excessBadStarts int
}

// drive sends each submission of the schedule to its target at its arrival
// time, without waiting for the answers to earlier ones, and then waits for all
// answers. It calls atWarmUp at the end of the warm-up.
func drive(t testing.TB, targets []string, schedule []arrival, atWarmUp func()) []sample {
	ctx, cancel := context.WithTimeout(context.Background(), benchLength+drainLimit)
	defer cancel()
	ids := make([][]ident.SubmissionID, len(targets))
	clients := make([][]*caller.Client, len(targets))
	for i, target := range targets {
		for range callers {
			clients[i] = append(clients[i], caller.NewClient(target, systemClock))
		}
		// Ids are requested before the run, so that each submission takes only
		// one request and reply.
		for len(ids[i]) < len(schedule) {
			got, err := clients[i][0].IDs(ctx, 1000)
			if err != nil {
				t.Fatal(err)
			}
			ids[i] = append(ids[i], got...)
		}
	}
	samples := make([]sample, len(schedule))
	var wg sync.WaitGroup
	began := time.Now()
	warmUpTimer := time.AfterFunc(warmUp, atWarmUp)
	defer warmUpTimer.Stop()
	for i, a := range schedule {
		time.Sleep(time.Until(began.Add(a.at)))
		index := int(a.instance) % len(targets)
		call := caller.Call{ID: ids[index][i], Service: "sheet-render", Team: "studio", Deadline: time.Minute}
		for _, d := range a.tasks {
			call.Tasks = append(call.Tasks, caller.Task{Input: encodeInput(d)})
		}
		client := clients[index][int(a.caller)%callers]
		wg.Add(1)
		go func() {
			defer wg.Done()
			submit := client.Request
			if a.isJob() {
				submit = client.Job
			}
			answer, err := submit(ctx, call)
			endedAt := time.Since(began)
			samples[i] = sample{arrival: a, response: endedAt - a.at, endedAt: endedAt,
				failed: err != nil || answer.State != work.Complete, failure: fmt.Sprint(err, answer.Failures)}
		}()
	}
	wg.Wait()
	for _, c := range slices.Concat(clients...) {
		c.Close()
	}
	return samples
}

// statusBody is the part of an instance's status with the message counters.
type statusBody struct {
	Store struct{ Calls map[string]uint64 }
	Calls struct{ Calls, StatusCalls, Busy uint64 } `json:"endpoint-calls"`
	Peers struct {
		ControlMessages uint64 `json:"control-messages"`
		ControlBytes    uint64 `json:"control-bytes"`
		TrafficFrames   uint64 `json:"traffic-frames"`
	} `json:"peers"`
}

// readTraffic returns the sum of the message counters of the instances.
// Counters are published once a second, so it first waits for longer than that.
func readTraffic(t testing.TB, operators []string) traffic {
	time.Sleep(1100 * time.Millisecond)
	var sum traffic
	for _, address := range operators {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/status", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer loopback")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		var s statusBody
		if err != nil || json.Unmarshal(data, &s) != nil {
			t.Fatal("cannot decode the status of the instance")
		}
		sum.endpointCalls += s.Calls.Calls
		sum.statusCalls += s.Calls.StatusCalls
		sum.refused += s.Calls.Busy
		sum.peerMessages += s.Peers.ControlMessages + s.Peers.TrafficFrames
		sum.controlBytes += s.Peers.ControlBytes
		for _, n := range s.Store.Calls {
			sum.storeCalls += n
		}
	}
	return sum
}

// percentile returns the quantile p (0 to 1) of the durations. It sorts them in
// place.
func percentile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(p*float64(len(all))), len(all)-1)]
}

// figures holds the results that are compared between policies. A lag is the
// response time beyond the ideal one. failed is the share of failed submissions
// and goodput the tasks answered per task offered, both between the warm-up and
// the last arrival.
type figures struct {
	lag50, lag99, response50, response99, jobLag time.Duration
	failed, goodput                              float64
	tasks                                        int
}

// summarise computes the figures of a run. The warm-up is excluded from all but
// the count of tasks. Failed submissions have no response time and no lag.
// Percentiles are of single requests; jobLag is the median of jobs.
func (m *measurements) summarise(l load) figures {
	var f figures
	var lags, responses, jobs []time.Duration
	offered, answered, failed := 0, 0, 0
	for _, s := range m.samples {
		f.tasks += len(s.arrival.tasks)
		if s.endedAt >= warmUp && s.endedAt < l.length && !s.failed {
			answered += len(s.arrival.tasks)
		}
		if s.arrival.at < warmUp {
			continue
		}
		offered += len(s.arrival.tasks)
		switch {
		case s.failed:
			failed++
		case s.arrival.isJob():
			jobs = append(jobs, s.response-s.arrival.ideal())
		default:
			lags = append(lags, s.response-s.arrival.ideal())
			responses = append(responses, s.response)
		}
	}
	f.lag50, f.lag99 = percentile(lags, 0.5), percentile(lags, 0.99)
	f.response50, f.response99 = percentile(responses, 0.5), percentile(responses, 0.99)
	f.jobLag = percentile(jobs, 0.5)
	f.failed = float64(failed) / float64(len(lags)+len(jobs)+failed)
	f.goodput = float64(answered) / float64(offered)
	return f
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// report reports the figures as metrics of the benchmark. The ideal number of
// messages is a request and a reply between caller and instance for each
// submission, and a request and a reply between instance and endpoint for each
// task.
func report(b *testing.B, l load, m *measurements, reference *figures, instances int) {
	f := m.summarise(l)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(milliseconds(f.lag50), "lag-p50-ms")
	b.ReportMetric(milliseconds(f.lag99), "lag-p99-ms")
	if reference != nil {
		b.ReportMetric(float64(f.response50)/float64(reference.response50), "p50-ratio")
		b.ReportMetric(float64(f.response99)/float64(reference.response99), "p99-ratio")
	}
	if l.jobEvery > 0 {
		b.ReportMetric(milliseconds(f.jobLag), "job-lag-ms")
	}
	tasks, seconds := float64(f.tasks), m.elapsed.Seconds()
	t := m.traffic
	total := 2*len(m.samples) + int(2*(t.endpointCalls+t.statusCalls+t.storeCalls)+t.peerMessages)
	ideal := 2*len(m.samples) + 2*f.tasks
	b.ReportMetric(float64(total)/tasks, "msgs/task")
	b.ReportMetric(float64(total-ideal)/tasks, "wasted-msgs/task")
	b.ReportMetric(float64(t.peerMessages)/tasks, "peer-msgs/task")
	b.ReportMetric(float64(t.refused)/tasks, "refused/task")
	b.ReportMetric(float64(t.storeCalls)/seconds/float64(instances), "store-calls/s")
	b.ReportMetric(float64(t.controlBytes)/seconds/float64(instances), "control-bytes/s")
	b.ReportMetric(100*f.failed, "failed-%")
	b.ReportMetric(f.goodput, "goodput")
	if l.failing {
		b.ReportMetric(100*float64(m.excessBadStarts)/tasks, "bad-starts-%")
	}
}

// BenchmarkRouting compares the fleet with simple baselines and with a
// reference that has full knowledge, on the same arrivals.
func BenchmarkRouting(b *testing.B) {
	for _, name := range slices.Sorted(loadNames(benchLoads)) {
		l := benchLoads[name]
		b.Run("load="+name, func(b *testing.B) {
			var reference *figures
			for _, p := range policies {
				b.Run("policy="+p.name, func(b *testing.B) {
					for i := range b.N {
						m := p.run(b, l, l.schedule(benchSeed+uint64(i)))
						if p.name == "reference" {
							f := m.summarise(l)
							reference = &f
						}
						report(b, l, m, reference, p.instances)
					}
				})
			}
		})
	}
}

// TestRouting guards against benchmark policies that lose or fail requests:
// each policy must answer all requests of a short load and one small job.
func TestRouting(t *testing.T) {
	l := load{share: 0.2, length: 200 * time.Millisecond}
	schedule := l.schedule(benchSeed)
	for range 20 {
		schedule[0].tasks = append(schedule[0].tasks, minRunTime)
	}
	for _, p := range policies {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			m := p.run(t, l, schedule)
			is.Equal(len(m.samples), len(schedule))
			for i, s := range m.samples {
				if s.failed {
					t.Errorf("request %d failed: %s", i, s.failure)
				}
			}
		})
	}
}

package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

const (
	// A task that crashes endpoints may start twice after maxCrashedUnder of them
	// have crashed under it.
	maxCrashedUnder = 3
	maxFurther      = 2
	endpointDown    = 3 * time.Second
)

// deadlyFleet is a fleet in which some tasks crash each endpoint that starts
// them.
type deadlyFleet struct {
	*fleet
	deadly map[job.Key]bool
	// crashes counts the endpoints that crashed while they ran a task, and
	// further the starts after maxCrashedUnder of them.
	crashes, further map[job.Key]int
	// silent is set if the endpoints do not refuse connections while they are
	// down.
	silent bool
}

// TestDeadlyTasks guards against a task that crashes endpoint after endpoint,
// and against the failure of jobs beside it, also when owners are killed and
// callers submit their jobs again to other instances.
func TestDeadlyTasks(t *testing.T) {
	if *seedFlag != 0 {
		runDeadly(t, *seedFlag)
		return
	}
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runDeadly(t, seed) })
	}
}

func runDeadly(t *testing.T, seed uint64) {
	f := &deadlyFleet{
		fleet: newFleet(t, seed, 4, 24, group.Strength{}), silent: seed%3 == 0,
		deadly: map[job.Key]bool{}, crashes: map[job.Key]int{}, further: map[job.Key]int{},
	}
	f.maxSubmissions = 12
	for _, s := range f.endpoints {
		s.fake.PlanOf = func(key job.Key) leased.RunPlan {
			if f.deadly[key] {
				return leased.RunPlan{Duration: 10 * time.Millisecond, Crashes: true}
			}
			plan := f.planOf(key)
			plan.Fails = false
			return plan
		}
		s.fake.OnCrash = func(time.Time) { f.crashProcess(s) }
		checkStart := s.fake.OnStart
		s.fake.OnStart = func(now time.Time, key job.Key, run int) {
			checkStart(now, key, run)
			f.countStart(key)
		}
	}
	f.run(time.Second)
	for range 200 {
		n := f.instances[f.rng.IntN(len(f.instances))]
		if n.up {
			j := f.newJob()
			if f.chance(0.06) {
				f.deadly[job.Key{Job: j.spec.ID}] = true
			}
			f.submit(n, j)
		}
		if f.chance(0.02) {
			f.kill(n, f.chance(0.3))
			f.at(time.Second, func() { f.restart(n) })
		}
		f.run(time.Duration(f.rng.IntN(60)) * time.Millisecond)
	}
	f.run(20 * time.Second)
	f.checkFailed()
}

func (f *deadlyFleet) crashProcess(s *simEndpoint) {
	for _, key := range s.fake.Running() {
		f.crashes[key]++
	}
	s.refuses = !f.silent
	f.crash(s, endpointDown)
}

func (f *deadlyFleet) countStart(key job.Key) {
	if f.crashes[key] < maxCrashedUnder {
		return
	}
	f.further[key]++
	if f.further[key] > maxFurther {
		f.t.Fatalf("%v: task %v starts for the %d. time after %d endpoints have crashed under it", f.now, key, f.further[key], f.crashes[key])
	}
}

// checkFailed fails if a job is answered as failed, though at most one endpoint
// crashed under each of its tasks.
func (f *deadlyFleet) checkFailed() {
	failed, total := 0, 0
	for _, j := range f.simJobs {
		most := 0
		for key, n := range f.crashes {
			if key.Job == j.spec.ID {
				most = max(most, n)
			}
		}
		total += most
		if j.result == home.Failed {
			failed++
			if most < 2 {
				f.t.Fatalf("job %s is failed, with %d endpoints crashed under a task", j.spec.ID, most)
			}
		}
	}
	f.t.Logf("%d deadly tasks, %d jobs failed, %d crashes under tasks, %d of %d jobs finished", len(f.deadly), failed, total, f.finished, len(f.simJobs))
}

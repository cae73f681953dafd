package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/decide/group"
)

// refusalSchedule is a kind of random schedule in which jobs are refused.
type refusalSchedule struct {
	run func(f *fleet)
	// failedSeeds are seeds above the usual number that have failed.
	failedSeeds []uint64
}

var refusalSchedules = map[string]refusalSchedule{
	"owner changes": {(*fleet).changeOwners, []uint64{
		17, 18, 54, 160, 218, // another owner has refused the job
		38, 262, // an owner gets the job again while its refusal is on the way
	}},
	"endpoint faults": {(*fleet).restartEndpoints, []uint64{
		14, 17, // endpoints refuse the starts of a task whose run was lost
		132, 220, 476, // an endpoint restarts before its answer to a start arrives
	}},
}

// TestRefusalSchedules guards against a job that runs although each of its
// submissions was answered with home.Refused.
func TestRefusalSchedules(t *testing.T) {
	for name, s := range refusalSchedules {
		t.Run(name, func(t *testing.T) {
			chosen := slices.Clone(s.failedSeeds)
			for seed := uint64(1); seed <= uint64(*seeds)/4; seed++ {
				chosen = append(chosen, seed)
			}
			if *seedFlag != 0 {
				chosen = []uint64{*seedFlag}
			}
			starts, refused, jobs := 0, 0, 0
			for _, seed := range chosen {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					f := newRefusalFleet(t, seed)
					s.run(f)
					starts, refused, jobs = starts+f.starts, refused+f.refused, jobs+len(f.simJobs)
				})
			}
			t.Logf("%d starts, %d refusals of %d jobs", starts, refused, jobs)
			if refused < len(chosen) && *seedFlag == 0 {
				t.Fatal("less than one refusal a schedule, so the schedules cover too little")
			}
		})
	}
}

// newRefusalFleet returns a fleet whose owners refuse what arrives while some
// tasks wait, and whose links can be slow.
func newRefusalFleet(t *testing.T, seed uint64) *fleet {
	var strength group.Strength
	if seed%2 == 1 {
		strength.Processors = 16 // as in runSchedule
	}
	f := newFleet(t, seed, 4, 6, strength)
	f.slow = &slowLinks{delays: map[[2]int]time.Duration{}, channels: map[channelID][]transit{}}
	f.cfg.Owner.MaxWaiting = 6
	for _, n := range f.instances {
		if err := n.core.Configure(f.cfg.Owner); err != nil {
			t.Fatal(err)
		}
	}
	f.run(time.Second)
	return f
}

// changeOwners submits more jobs than fit while links are slow and owners change.
func (f *fleet) changeOwners() {
	for range 12 {
		f.slowLinks()
		if f.chance(0.4) {
			f.ownerFault()
		} else {
			f.isolate(f.ownerInstance(), time.Duration(500+f.rng.IntN(500))*time.Millisecond)
		}
		for range 50 + f.rng.IntN(60) {
			f.submitSmall(time.Duration(500+f.rng.IntN(1500))*time.Millisecond, 1+f.rng.IntN(2))
			f.run(time.Duration(f.rng.IntN(25)) * time.Millisecond)
		}
	}
	f.run(4 * time.Second)
}

// restartEndpoints submits jobs with long deadlines while endpoints restart.
func (f *fleet) restartEndpoints() {
	for range 8 {
		for range 1 + f.rng.IntN(10) {
			f.submitSmall(time.Duration(2000+f.rng.IntN(3000))*time.Millisecond, 1)
		}
		for _, s := range f.endpoints {
			f.coldStart(s)
		}
		f.run(time.Duration(2000+f.rng.IntN(3000)) * time.Millisecond)
	}
}

// coldStart lets an endpoint lose answers and restart. After that it refuses
// starts for some seconds.
func (f *fleet) coldStart(s *simEndpoint) {
	cold := time.Duration(2000+f.rng.IntN(3000)) * time.Millisecond
	s.lostShare = 0.5
	f.at(time.Duration(f.rng.IntN(200))*time.Millisecond, func() {
		f.crash(s, time.Duration(f.rng.IntN(100))*time.Millisecond)
		s.lostShare, s.refusedShare = 0, 1
		f.at(cold, func() { s.refusedShare = 0 })
	})
}

// submitSmall submits a job of one step and at most two tasks. Its caller gives
// up after the given number of submissions.
func (f *fleet) submitSmall(deadline time.Duration, limit int) {
	n := f.instances[f.rng.IntN(len(f.instances))]
	if !n.up {
		return
	}
	j := f.newJob()
	j.spec.Steps = j.spec.Steps[:1]
	j.spec.Steps[0].Tasks = 1 + f.rng.IntN(5)/4
	j.deadline, j.limit = deadline, limit
	f.submit(n, j)
}

// ownerFault causes a fault of the owner or of a link.
func (f *fleet) ownerFault() {
	n, o := f.ownerInstance(), f.instances[f.rng.IntN(len(f.instances))]
	d := time.Duration(f.rng.Int64N(int64(1500 * time.Millisecond)))
	switch k := f.rng.IntN(100); {
	case k < 18 && n != o:
		f.slow.delay(f, n, o, d)
	case k < 30:
		f.pause(n, d, f.chance(0.2))
	case k < 42 && n != o:
		f.cut(n, o, d)
	case k < 48:
		f.isolate(n, d)
	case k < 60 && n != o:
		f.disconnect(n, o)
	case k < 63:
		f.kill(n, f.chance(0.5))
		f.at(d, func() { f.restart(n) })
	case n.up && !n.paused:
		f.apply(n, n.core.Drain(f.clock(n)))
		p := n.process
		f.at(d, func() {
			if n.process == p {
				f.kill(n, false)
				f.at(d, func() { f.restart(n) })
			}
		})
	}
}

// slowLinks slows most links.
func (f *fleet) slowLinks() {
	for i, n := range f.instances {
		for _, o := range f.instances[:i] {
			if f.chance(0.7) {
				f.slow.delay(f, n, o, time.Second)
			}
		}
	}
}

// ownerInstance returns the owner of the endpoints, or another instance that is
// up, if there is one.
func (f *fleet) ownerInstance() *simInstance {
	n := f.instances[f.rng.IntN(len(f.instances))]
	for _, o := range f.instances {
		if o.up && !o.paused && o.core.IsOwner() {
			return o
		}
	}
	return n
}

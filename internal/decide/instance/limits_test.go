package instance_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// sharesRecord is the stored record of shares, changed by compare-and-swap.
type sharesRecord struct {
	data     []byte
	revision uint64
}

// accessShares simulates a read or write of the shares record, which fails
// during an outage of the store. A write may lose its reply, and then takes
// effect late or not at all.
func (f *fleet) accessShares(n *simInstance, a instance.Action) {
	core, delay := n.core, time.Duration(f.random.IntN(20))*time.Millisecond
	reply := func(ev instance.Event) {
		f.schedule(delay, func() {
			if n.core == core {
				f.handle(n, ev)
			}
		})
	}
	write, isWrite := a.(instance.WriteShares)
	switch {
	case f.storeDown && isWrite:
		reply(instance.SharesWritten{WriteNumber: write.WriteNumber, Failure: fault.New(fault.StoreUnavailable, fault.RanNo)})
	case f.storeDown:
		reply(instance.SharesRead{Failure: fault.New(fault.StoreUnavailable, fault.RanNo)})
	case !isWrite:
		reply(instance.SharesRead{Data: f.record.data, Revision: f.record.revision})
	case f.losesReplies && f.random.IntN(4) == 0:
		if f.random.IntN(2) == 0 {
			f.schedule(time.Duration(f.random.IntN(6000))*time.Millisecond, func() { f.replaceRecord(write) })
		}
		reply(instance.SharesWritten{WriteNumber: write.WriteNumber, Failure: fault.New(fault.StoreUnknown, fault.RanUnknown)})
	default:
		f.schedule(delay, func() {
			ev := instance.SharesWritten{WriteNumber: write.WriteNumber}
			if !f.replaceRecord(write) {
				ev.Failure = fault.New(fault.StoreConflict, fault.RanNo)
			}
			reply(ev)
		})
	}
}

// replaceRecord performs a write and reports whether it took effect.
func (f *fleet) replaceRecord(w instance.WriteShares) bool {
	if f.storeDown || w.Revision != f.record.revision {
		return false
	}
	f.record = sharesRecord{data: w.Data, revision: w.Revision + 1}
	return true
}

// countInFlight counts a task at an endpoint as in flight under its limits,
// until the returned function is called: when the task ends or its call is
// ended, whichever is first.
func (f *fleet) countInFlight(t *work.Task) func() {
	names := []quota.LimitName{quota.ServiceLimit(t.Service), quota.TeamLimit(t.Team)}
	for _, name := range names {
		f.tasksUnderLimit[name]++
		f.peakInFlight[name] = max(f.peakInFlight[name], f.tasksUnderLimit[name])
		if limit, ok := f.limits[name]; ok && f.tasksUnderLimit[name] > limit {
			f.t.Fatalf("seed %d: %d tasks in flight at endpoints under %s, the limit is %d", f.seed, f.tasksUnderLimit[name], name, limit)
		}
	}
	ended := false
	return func() {
		if !ended {
			ended = true
			for _, name := range names {
				f.tasksUnderLimit[name]--
			}
		}
	}
}

// setRandomLimits sets a limit on the idempotent service and one on a team,
// with or without floors.
func (f *fleet) setRandomLimits() {
	service, team := 1+f.random.IntN(6), 1+f.random.IntN(8)
	floor := []float64{0, 0.5, 1}[f.random.IntN(3)]
	file := f.revision.File
	file.Services[1].MaxRunning, file.Services[1].FloorShare = uint32(service), &floor
	file.Teams[1].MaxRunning, file.Teams[1].FloorShare = uint32(team), &floor
	f.apply(file)
	f.losesReplies = true
	f.limits = map[quota.LimitName]int{quota.ServiceLimit(sheetRender): service, quota.TeamLimit("shop"): team}
}

// newLimitedFleet returns a fleet with a limit on the running tasks of the team
// shop, and waits until the configuration and the first shares are in use.
func newLimitedFleet(t *testing.T, dcs, perDC, limit int, floor float64) *fleet {
	f := newFleet(t, 1, dcs, perDC, 3)
	f.apply(&configpb.File{
		Services: f.revision.File.Services[:1],
		Teams:    []*configpb.Team{{Name: "shop", MaxRunning: uint32(limit), FloorShare: &floor}, {Name: "studio"}},
	})
	f.limits = map[quota.LimitName]int{quota.TeamLimit("shop"): limit}
	f.advance(2 * time.Second)
	return f
}

// keepBusy submits jobs of the limited team at each of the instances for d, and
// returns the largest number of its tasks that were in flight at once.
func (f *fleet) keepBusy(d time.Duration, instances ...*simInstance) int {
	clear(f.peakInFlight)
	for end := f.now.Add(d); f.now.Before(end); f.advance(500 * time.Millisecond) {
		for _, n := range instances {
			if s := f.newSubmission(n, sheetPress, "shop", 8, 5*time.Second); s != nil {
				f.submit(n, s)
			}
		}
	}
	return f.peakInFlight[quota.TeamLimit("shop")]
}

// granter returns the instance that is the granter, and the others.
func (f *fleet) granter() (g *simInstance, others []*simInstance) {
	for _, n := range f.instances {
		if !n.down && n.core.Status(f.now).Granter {
			g = n
		} else {
			others = append(others, n)
		}
	}
	return g, others
}

// TestFloorsDuringStoreOutage guards against a limited team that can't run
// tasks, or runs more than its floors allow, when the store is down for an
// hour.
func TestFloorsDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 2, 1, 8, 0.5)
	f.losesReplies = true
	is.Equal(f.keepBusy(40*time.Second, f.instances...), 8)
	var writes uint64
	f.keepBusy(60*time.Second, f.instances...)
	for _, n := range f.instances {
		writes += n.core.Counters().ShareRenewed
	}
	is.True(writes <= 2*2*11) // two writes in 10 s in each of two data centres, in 11 periods
	f.storeDown = true
	f.advance(time.Hour)
	is.Equal(f.keepBusy(10*time.Second, f.instances...), 4) // two in each data centre
	f.storeDown = false
	f.advance(20 * time.Second)
	is.Equal(f.keepBusy(40*time.Second, f.instances...), 8)
}

// TestLeaseEndsDuringPause guards against an instance that resumes after a
// pause and uses units that were granted to another instance in the meantime.
func TestLeaseEndsDuringPause(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 2, 4, 0)
	_, others := f.granter()
	paused := others[0]
	is.Equal(f.keepBusy(30*time.Second, paused), 4)
	f.advance(6 * time.Second)
	for _, e := range f.endpoints {
		e.speed = 0.002 // so that tasks would run past the lease
	}
	for range 20 {
		f.submit(paused, f.newSubmission(paused, sheetPress, "shop", 8, time.Minute))
	}
	f.advance(3 * time.Second)
	paused.pausedUntil = f.now.Add(25 * time.Second)
	g, _ := f.granter()
	is.Equal(f.keepBusy(24*time.Second, g), 4) // all units while the other is paused
	f.keepBusy(5*time.Second, g)
}

// TestGranterFailover guards against a new granter that grants units which the
// failed one has already granted, and against units that stay unused
// afterwards.
func TestGranterFailover(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 3, 4, 0)
	g, others := f.granter()
	is.Equal(f.keepBusy(30*time.Second, others[0]), 4)
	f.kill(g)
	f.disconnect(others[0], others[1]) // so that it cannot ask the new granter
	f.keepBusy(40*time.Second, others...)
	f.connect(others[0], others[1])
	f.advance(20 * time.Second)
	is.Equal(f.keepBusy(40*time.Second, others...), 4)
}

// TestPartitionedGranters guards against two granters of a data centre without
// a link that keep replacing each other in the shares record, so that no units
// are granted.
func TestPartitionedGranters(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 2, 4, 0)
	f.keepBusy(30*time.Second, f.instances...)
	f.disconnect(f.instances[0], f.instances[1])
	f.keepBusy(100*time.Second, f.instances...)
	is.Equal(f.keepBusy(30*time.Second, f.instances...), 4)
}

// TestUnusedUnitsReturned guards against units that are granted only after the
// next regular write of the shares record, and against an idle instance that
// keeps its units until their lease ends.
func TestUnusedUnitsReturned(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 2, 4, 0)
	is.Equal(f.keepBusy(4*time.Second, f.instances[0]), 4) // well before the second regular write
	f.keepBusy(30*time.Second, f.instances[0])
	f.advance(6 * time.Second)
	for _, n := range f.instances {
		for _, use := range n.core.Status(f.now).Limits {
			is.Equal(use.Leased, quota.Count(0))
		}
	}
}

// TestEarlyWritesBounded guards against a granter that keeps writing the shares
// record early to get units that a failed data centre still holds.
func TestEarlyWritesBounded(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 2, 1, 4, 0)
	is.Equal(f.keepBusy(30*time.Second, f.instances[0]), 4)
	f.kill(f.instances[0])
	before := f.instances[1].core.Counters().ShareWrites
	f.keepBusy(20*time.Second, f.instances[1])
	is.Equal(f.peakInFlight[quota.TeamLimit("shop")], 0)
	is.True(f.instances[1].core.Counters().ShareWrites-before <= 5) // two in 10 s
	f.advance(40 * time.Second)
	is.Equal(f.keepBusy(10*time.Second, f.instances[1]), 4)
}

// TestFloorsDelayedAfterRestart guards against a restarted process that uses
// its floor while tasks of the previous process still run, and against one that
// never uses it.
func TestFloorsDelayedAfterRestart(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 2, 2, 1)
	for _, e := range f.endpoints {
		e.speed = 0.002
	}
	is.Equal(f.keepBusy(5*time.Second, f.instances...), 2)
	f.kill(f.instances[0])
	f.start(f.instances[0])
	for _, e := range f.endpoints {
		e.speed = 1
	}
	f.keepBusy(longestDeadline, f.instances...)
	is.Equal(f.keepBusy(10*time.Second, f.instances...), 2)
}

// TestTasksMoveOnlyToInstancesWithUnits guards against tasks that move to, or
// stay at, an instance without units while another instance has one.
func TestTasksMoveOnlyToInstancesWithUnits(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 2, 1, 1) // one floor unit, at the first instance
	f.revision.File.Teams[1].MaxRunning = 1
	f.record.data = []byte("{") // no renewal succeeds, so studio gets no unit
	f.apply(f.revision.File)
	f.advance(2 * time.Second)
	f.submit(f.instances[0], f.newSubmission(f.instances[0], sheetPress, "studio", 8, 20*time.Second))
	var all []*callerSubmission
	for _, n := range f.instances {
		for range 10 {
			s := f.newSubmission(n, sheetPress, "shop", 1, 10*time.Second)
			f.submit(n, s)
			all = append(all, s)
		}
		f.advance(10 * time.Second)
	}
	for _, s := range all {
		is.True(s.answer != nil && s.answer.State == work.Complete)
	}
	is.Equal(f.instances[1].core.Counters().Received, uint64(0))
}

// TestCostIsSettled guards against a team that exceeds its cost limit per hour,
// and against reservations that are not replaced by the actual cost.
func TestCostIsSettled(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 2, 100, 0.5)
	f.revision.File.Services[0].CostPerSlotSecondMicros = 1000
	f.revision.File.Teams[0].MaxCostPerHourMicros = 20_000
	f.apply(f.revision.File)
	f.advance(2 * time.Second)
	f.endpoints[0].draining = true // refuses calls, which then cost nothing
	f.keepBusy(60*time.Second, f.instances...)
	f.advance(6 * time.Second)
	var used quota.Count
	for _, n := range f.instances {
		for _, use := range n.core.Status(f.now).Limits {
			if use.PerHour {
				used += use.Used
			}
		}
	}
	// f.spent leaves out calls that end at their deadline, which the instances
	// charge for. These are few.
	is.True(math.Abs(float64(used-f.spent)) < 0.01*float64(used))
	is.True(used > 18_000 && used < 21_000) // costs may exceed the reserved estimates a little
}

// TestLimitDoesNotBlockOtherTeams guards against waiting tasks without units
// that delay the tasks of another team at the same instances.
func TestLimitDoesNotBlockOtherTeams(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 2, 1, 0)
	for range 100 {
		f.submit(f.instances[0], f.newSubmission(f.instances[0], sheetPress, "shop", 8, 20*time.Second))
	}
	for range 10 {
		s := f.newSubmission(f.instances[0], sheetPress, "studio", 8, 4*time.Second)
		f.submit(f.instances[0], s)
		f.advance(2 * time.Second)
		is.True(s.answer != nil && s.answer.State == work.Complete)
	}
	var steals uint64
	for _, n := range f.instances {
		steals += n.core.Counters().Steals
	}
	t.Logf("%d steals", steals)
	is.True(steals < 60) // a steal request that names exhausted limits is not repeated at once
}

// TestUnplaceable guards against submissions that are admitted although no
// instance can ever have the units for them.
func TestUnplaceable(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 2, 1, 0)
	floor := 1.0
	file := f.revision.File
	file.Services[0].CostPerSlotSecondMicros = 1000
	file.Teams = []*configpb.Team{
		{Name: "shop", MaxCostPerHourMicros: 50},              // one task is estimated at 100
		{Name: "studio", MaxRunning: 100, FloorShare: &floor}, // all units are floors, so that none can be granted
	}
	f.apply(file)
	f.limits = nil
	for _, n := range f.instances {
		f.kill(n)
		f.start(n)
	}
	f.advance(5 * time.Second)
	for team, placeable := range map[ident.Team]bool{"shop": false, "studio": true} {
		s := f.newSubmission(f.instances[0], sheetPress, team, 1, 5*time.Second)
		f.submit(f.instances[0], s)
		is.Equal(s.refusal != nil && s.refusal.Kind == fault.Unplaceable, !placeable)
	}
}

// TestPeerRequestsUnitsToSteal guards against a peer whose slots stay free
// while a job waits at another instance, because it requests units only for
// tasks in its own queue.
func TestPeerRequestsUnitsToSteal(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 2, 96, 0)
	s := f.newSubmission(f.instances[0], sheetPress, "shop", 300, time.Minute)
	f.submit(f.instances[0], s)
	f.advance(40 * time.Second)
	is.True(s.answer != nil && s.answer.State == work.Complete)
	is.True(f.instances[1].core.Counters().Starts > 0)
}

// TestPeerGetsUnitsPromptly guards against a peer that gets units only after
// the granter's next write, ten seconds later, because its request arrived just
// after an early write. This depends on when the job is submitted, so the test
// varies the time of the submission.
func TestPeerGetsUnitsPromptly(t *testing.T) {
	tests := map[string]struct {
		atGranter bool
		within    time.Duration
	}{
		// A job may take only about a second. Units that come later are of no
		// use to it.
		"the peer is the granter": {false, time.Second},
		// The peer's requests are two seconds apart at most.
		"the home is the granter": {true, 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for after := time.Duration(0); after < 2*time.Second; after += 20 * time.Millisecond {
				f := newLimitedFleet(t, 1, 2, 96, 0)
				f.advance(after)
				home, others := f.granter()
				peer := others[0]
				if !tt.atGranter {
					home, peer = peer, home
				}
				f.submit(home, f.newSubmission(home, sheetPress, "shop", 300, time.Minute))
				f.advance(tt.within)
				if peer.core.Counters().Starts == 0 {
					t.Errorf("the peer started no task of a job submitted after %v", after)
				}
			}
		})
	}
}

package quota_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
)

// run advances by whole seconds and makes the calls that the processes of a
// real fleet make: each granter renews when due, and each instance sends
// requests every 5 s. Busy instances start as many tasks of 4 s as they can.
func (f *fleet) run(d time.Duration, busy ...*instance) {
	isBusy := map[*instance]bool{}
	for _, n := range busy {
		isBusy[n] = true
	}
	for s := range int(d / time.Second) {
		for _, n := range f.members {
			if n == f.granters[n.dc] && !n.pausedUntil.After(f.now) && !n.granter.RenewAt().After(f.localTime(n)) {
				f.renewRecord(n, 0, 0)
				f.advance(0)
			}
		}
		for _, n := range f.members {
			if n.pausedUntil.After(f.now) {
				continue
			}
			if s%5 == 0 {
				f.requestShares(n, isBusy[n])
			}
		}
		f.advance(time.Second)
		for _, n := range f.members {
			if isBusy[n] && !n.pausedUntil.After(f.now) {
				f.startAll(4*time.Second, n)
			}
		}
	}
}

// requestShares sends the requests of an instance, which are answered at once.
// A busy instance has enough waiting tasks for the whole limits.
func (f *fleet) requestShares(n *instance, busy bool) {
	waiting := map[quota.LimitName]quota.Count{}
	if busy {
		waiting[team], waiting[cost] = f.limits[0].Max, f.limits[1].Max
	}
	f.sendRequests(n, waiting, 0, 0)
	f.advance(0)
}

// running returns the number of running tasks of the instances.
func (f *fleet) running(instances ...*instance) int {
	count := 0
	for _, k := range f.tasks {
		for _, n := range instances {
			if k.instance == n {
				count++
			}
		}
	}
	return count
}

// TestFailureScenarios guards, with one case for each failure, against units
// that are used twice and units that stay unusable. The limit is 20 in two data
// centres of two instances, so the floors are 3, 2, 3 and 2, and the pool is
// 10.
func TestFailureScenarios(t *testing.T) {
	cases := map[string]func(is *is.I, f *fleet, n []*instance){
		"burst at one instance": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			is.Equal(f.running(n[1]), 12) // the floor of 2 and the pool
			f.run(60*time.Second, n...)
			is.Equal(f.running(n...), 20)
			is.Equal(f.running(n[2], n[3]), 10) // the pool is shared evenly
		},
		"pause past the lease": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			f.advance(5 * time.Second)
			f.startAll(40*time.Second, n[1])
			is.Equal(f.running(n[1]), 2) // leased units do not cover 40 s
			is.True(f.startTask(n[1], 4*time.Second, time.Hour))
			n[1].pausedUntil = f.now.Add(25 * time.Second)
			f.run(25*time.Second, n[0], n[2], n[3])
			is.True(f.running(n[0]) > 3) // the units went to others
			is.True(!f.startTask(n[1], time.Second, time.Hour))
		},
		"late reply does not extend the lease": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			f.sendRequests(n[1], map[quota.LimitName]quota.Count{team: 20}, 0, 10*time.Second)
			f.advance(0)
			f.advance(10 * time.Second)
			f.startAll(9*time.Second, n[1])
			is.Equal(f.running(n[1]), 2)
			is.True(f.startTask(n[1], 7*time.Second, time.Hour))
		},
		"partition from the store": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[0], n[1])
			n[0].storeUnreachable, n[1].storeUnreachable = true, true
			f.run(28*time.Second, n...)
			is.Equal(f.running(n...), 10) // floors only, before others may use the pool
			f.run(40*time.Second, n...)
			is.Equal(f.running(n[2], n[3]), 15)
			n[0].storeUnreachable, n[1].storeUnreachable = false, false
			f.run(60*time.Second, n...)
			is.Equal(f.running(n[0], n[1]), 10)
		},
		"frequent writes do not free a share early": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			checkShareUnderFrequentWrites(is, f, n[2], n[2])
		},
		"two granters that write do not free a share early": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			checkShareUnderFrequentWrites(is, f, n[2], n[3])
		},
		"store outage of an hour": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n...)
			is.Equal(f.running(n...), 20)
			f.storeDown = true
			f.run(time.Hour, n...)
			is.Equal(f.running(n...), 10)
			f.storeDown = false
			f.run(60*time.Second, n...)
			is.Equal(f.running(n...), 20)
		},
		"lost write reply": func(is *is.I, f *fleet, n []*instance) {
			f.requestShares(n[1], true)
			f.renewRecord(n[0], 0, -1)
			f.advance(10 * time.Second)
			f.requestShares(n[1], true)
			// The write is not confirmed yet, so the instance has only its
			// floor of 2. This single start stays below that floor in any case.
			is.True(!f.startTask(n[1], 4*time.Second, time.Hour) || f.running(n[1]) <= 2)
			f.renewRecord(n[0], -1, -1) // reads the first write; its own write is lost
			f.requestShares(n[1], true)
			f.startAll(4*time.Second, n[1])
			is.Equal(f.running(n[1]), 12)
		},
		"lost reply of a write that gives units back": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			f.advance(5 * time.Second)
			// Units are returned after two calls that did not need them. The
			// first call still counts the peak since the call before it.
			f.requestShares(n[1], false)
			f.requestShares(n[1], false)
			f.requestShares(n[1], false)
			f.renewRecord(n[0], 0, -1)
			f.advance(0)
			f.requestShares(n[1], true)
			f.requestShares(n[2], true)
			f.renewRecord(n[2], 0, 0)
			f.advance(0)
			f.requestShares(n[2], true)
			f.startAll(4*time.Second, n[1], n[2])
			is.Equal(f.running(n[1]), 2)
			is.Equal(f.running(n[2]), 13)
		},
		"many cancellations at once": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			for _, k := range f.tasks {
				k.ended = true
			}
			f.endTasksAndCheckLimits()
			for range 3 { // the first call still counts the peak since the one before
				f.requestShares(n[1], false)
			}
			f.requestShares(n[0], true)
			f.startAll(4*time.Second, n[0])
			is.Equal(f.running(n[0]), 13) // without waiting for the lease to end
		},
		"request out of order": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			f.advance(5 * time.Second)
			for range 3 {
				f.sendRequests(n[1], nil, 3*time.Second, -1) // returns units, arrives late
			}
			f.requestShares(n[1], true)
			f.startAll(9*time.Second, n[1])
			f.advance(4 * time.Second)
			f.requestShares(n[0], true)
			f.startAll(4*time.Second, n[0])
			is.Equal(f.running(n[0], n[1]), 15)
		},
		"replaced granter": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			f.granters["dc-1"] = n[1]
			f.run(20*time.Second, n[0], n[1])
			is.Equal(f.running(n[0], n[1]), 5)
			f.run(30*time.Second, n[0], n[1])
			is.Equal(f.running(n[0], n[1]), 15)
		},
		"hourly cost limit": func(is *is.I, f *fleet, n []*instance) {
			for hour := range 2 {
				f.run(30*time.Second, n[1])
				f.spendAll(n[1])
				is.Equal(f.spent[quota.HourOf(f.now)], quota.Count(1250)) // the floor of 250 and the pool
				f.granters["dc-1"] = n[hour]
				f.run(10*time.Minute, n...)
				f.spendAll(n[0], n[2], n[3])
				is.Equal(f.spent[quota.HourOf(f.now)], quota.Count(2000))
				f.advance(55 * time.Minute)
			}
		},
		"request for the previous hour": func(is *is.I, f *fleet, n []*instance) {
			n[1].clockOffset = -time.Minute
			f.run(30*time.Second, n[0], n[2])
			f.spendAll(n[0], n[2], n[3])
			f.run(59*time.Minute+50*time.Second, n[0]) // n[1] is still in the first hour
			for range 3 {
				f.requestShares(n[0], false)
			}
			f.requestShares(n[1], true)
			f.spendAll(n[1])
			is.Equal(f.spent[quota.HourOf(start)], quota.Count(2000))
		},
		"raised floor applies after RaiseDelay": func(is *is.I, f *fleet, n []*instance) {
			f.run(30*time.Second, n[1])
			limits := testLimits(20, 1, 2)
			for _, n := range f.members {
				n.limiter.SetLimits(limits)
				n.granter.SetLimits(limits)
			}
			f.run(50*time.Second, n...)
			f.run(30*time.Second, n...)
			is.Equal(f.running(n...), 20)
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, testLimits(20, 0.5, 2), 2, 2)
			c(is.New(t), f, f.members)
		})
	}
}

// checkShareUnderFrequentWrites writes the record each second, by the two given
// granters in turn, which may be the same instance, and checks that the first
// one gets no more than its floor.
func checkShareUnderFrequentWrites(is *is.I, f *fleet, granters ...*instance) {
	for i := range 24 {
		f.renewRecord(granters[i%2], 0, 0)
		f.advance(0)
		f.advance(time.Second)
		f.requestShares(granters[0], true)
	}
	f.startAll(time.Second, granters[0])
	is.Equal(f.running(granters[0]), 3)
}

// TestRecordSize guards against a record that is too large for a value of the
// store, with the longest names that are allowed. With names of usual length,
// it also guards against a record of 50,000 bytes or more: read and written
// every 10 s, it would take more than 10 KB/s of a granter's control traffic,
// which is 23 KB/s in all.
func TestRecordSize(t *testing.T) {
	cases := map[string]struct {
		// nameLength is the length of the names, maxBytes the limit of the
		// encoded size.
		services, teams, nameLength, maxBytes int
	}{
		"longest names": {71, 71, 61, 1 << 19},
		"usual names":   {20, 71, 12, 50_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := fullRecord(c.services, c.teams, c.nameLength)
			value, err := r.Value()
			is.NoErr(err)
			t.Logf("%d services and %d teams in 7 data centres take %d bytes", c.services, c.teams, len(value))
			is.True(len(value) < c.maxBytes)
			decoded, err := quota.ParseRecord(value)
			is.NoErr(err)
			is.Equal(decoded, r)
		})
	}
}

// fullRecord returns a record in which each data centre has shares of all
// limits.
func fullRecord(services, teams, nameLength int) quota.Record {
	var limits []quota.Limit
	want := map[quota.LimitName]quota.Count{}
	for i := range teams {
		name := fmt.Sprintf("%s-%02d", strings.Repeat("n", nameLength), i)
		if i < services {
			limits = append(limits, quota.Limit{Name: quota.ServiceLimit(ident.Service(name)), Max: 99_999, DataCentres: dataCentres(7)})
		}
		limits = append(limits,
			quota.Limit{Name: quota.TeamLimit(ident.Team(name)), Max: 99_999, DataCentres: dataCentres(7)},
			quota.Limit{Name: quota.CostLimit(ident.Team(name)), Max: 1e15, PerHour: true, DataCentres: dataCentres(7)})
	}
	for i, l := range limits {
		want[l.Name] = l.Max - quota.Count(i*i)
	}
	var r quota.Record
	for round := range 14 {
		dc := dataCentres(7)[round%7]
		granter := ident.Process{Instance: ident.InstanceID("entry-" + dc), Incarnation: 1 << 63}
		r, _ = quota.Rebalance(r, dc, quota.RebalanceRequest{Granter: granter, WriteNumber: uint64(round), Limits: limits, Want: want}, start)
	}
	return r
}

// TestOddRecordFreesNoUnits guards against a record of the store whose numbers
// overflow where the units of the other data centres are subtracted from a limit,
// so that this data centre gets units that another one holds.
func TestOddRecordFreesNoUnits(t *testing.T) {
	limit := quota.Limit{Name: team, Max: 12, DataCentres: dataCentres(3)}
	request := quota.RebalanceRequest{
		Granter: ident.Process{Instance: "a", Incarnation: 1}, WriteNumber: 1, Limits: []quota.Limit{limit}, Want: map[quota.LimitName]quota.Count{team: 12},
	}
	const highest = 1<<63 - 1
	for name, held := range map[string][2]quota.Count{"usual": {12, 0}, "negative": {12, -highest}, "sum of two": {highest, highest}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state := func(n quota.Count) quota.DataCentreState {
				return quota.DataCentreState{Granter: "b", Incarnation: 1, Shares: map[quota.LimitName]quota.Count{team: n}}
			}
			value, err := quota.Record{DataCentres: map[ident.DataCentre]quota.DataCentreState{"dc-2": state(held[0]), "dc-3": state(held[1])}}.Value()
			is.NoErr(err)
			record, err := quota.ParseRecord(value)
			is.NoErr(err)
			_, granted := quota.Rebalance(record, "dc-1", request, start)
			is.Equal(granted[team], quota.Count(0))
		})
	}
}

// TestHugeWantsAreAdded guards against wants of instances whose sum overflows, so
// that their data centre asks for nothing.
func TestHugeWantsAreAdded(t *testing.T) {
	is := is.New(t)
	g := quota.NewGranter(ident.Process{Instance: "a", Incarnation: 1}, "dc-1")
	g.SetLimits([]quota.Limit{{Name: team, Max: 12, DataCentres: dataCentres(1)}})
	for _, id := range []ident.InstanceID{"a", "b"} {
		g.Request(start, quota.ShareRequest{Number: 1, Instance: ident.Process{Instance: id, Incarnation: 1}, Limit: team, Units: 1 << 62})
	}
	record, _ := g.Propose(start, quota.Record{})
	is.Equal(record.DataCentres["dc-1"].Shares[team], quota.Count(12))
}

// TestStoreCalls guards against a number of store calls that grows with the
// number of instances.
func TestStoreCalls(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{2, 12} {
		f := newFleet(t, testLimits(500, 0.5, 7), 7, instances)
		f.run(10*time.Minute, f.members...)
		t.Logf("%d instances: %d calls in 10 min", len(f.members), f.storeCalls)
		is.Equal(f.storeCalls, 7*60*2) // a read and a write per data centre every 10 s
	}
}

// TestLargestTake guards against limits that are treated as usable
// although no instance can get a unit, and against floors of planned data
// centres that exceed the limit.
func TestLargestTake(t *testing.T) {
	is := is.New(t)
	l := quota.Limit{Name: team, Max: 12, FloorShare: 1, Planned: 3}
	is.Equal(l.LargestTake(2), quota.Count(2))
	is.Equal(l.LargestTake(3), quota.Count(2)) // a floor of 4 units for 3 instances
	is.Equal(l.LargestTake(0), quota.Count(0)) // all units are in floors, and no instance has one
	l.FloorShare = 0.5
	is.Equal(l.LargestTake(0), quota.Count(6))
	limiter := quota.NewLimiter(ident.Process{Instance: "a"}, quota.FloorPosition{DataCentre: "dc-9", Instances: 1})
	limiter.SetLimits([]quota.Limit{l})
	is.Equal(limiter.Usage(start)[0].Floor, quota.Count(2))
}

// TestTakeWithin guards against a deadline after the end of a unit's lease, and
// against a lease that goes unused because the task's own deadline is later.
func TestTakeWithin(t *testing.T) {
	is := is.New(t)
	limiter := quota.NewLimiter(ident.Process{Instance: "a"}, quota.FloorPosition{DataCentre: "dc-1"})
	limiter.SetLimits([]quota.Limit{{Name: team, Max: 1, DataCentres: dataCentres(1)}})
	r := limiter.ShareRequests(start, map[quota.LimitName]quota.Count{team: 1})[0]
	limiter.Accept(start.Add(time.Second), quota.ShareGrant{Number: r.Number, Limit: team, Units: 1, Lease: 10 * time.Second})
	minute := start.Add(time.Minute)
	_, _, ok := limiter.TakeWithin(start, start.Add(10*time.Second), minute, team)
	is.True(!ok)
	_, end, ok := limiter.TakeWithin(start, start.Add(2*time.Second), minute, team)
	is.True(ok)
	is.Equal(end, start.Add(10*time.Second-quota.Margin-1))
	_, _, ok = limiter.TakeWithin(start, start.Add(2*time.Second), minute, team)
	is.True(!ok)
}

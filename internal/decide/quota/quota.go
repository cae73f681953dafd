// Package quota decides which tasks may start under limits that hold for the
// whole fleet, without a call per start.
//
// Each limit is divided three times. Half of it, by default, is a static floor
// that is split between data centres and, by ordinal, between instances. The
// rest is a pool: Rebalance moves shares of it between data centres in one
// Record of the store, and the Granter of each data centre lends its share to
// the Books of the instances. A Book that reaches nobody uses its floor only.
// When a limit is smaller than the number of instances, the floors of most of
// them are zero and a cut-off instance starts nothing under that limit.
//
// No rule compares the clocks of two machines. A lease ends by its holder's
// monotonic clock, counted from before the request was sent, and the lender
// counts the same length from when the request arrived. The clocks must run at
// the same rate, within Margin per lease, and must go on while a process is
// paused.
package quota

import (
	"slices"
	"sort"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Count is a number of units: tasks, or micros for a limit per hour.
type Count int64

// LimitName names a limit.
type LimitName string

// ServiceLimit names the limit on the running tasks of a service.
func ServiceLimit(s ident.Service) LimitName { return LimitName("service/" + s) }

// TeamLimit names the limit on the running tasks of a team.
func TeamLimit(t ident.Team) LimitName { return LimitName("team/" + t) }

// CostLimit names the limit on the cost of a team per hour.
func CostLimit(t ident.Team) LimitName { return LimitName("cost/" + t) }

// Times of the leases.
const (
	// StoreLease is how long a data centre may use its shares after it sent
	// the write that holds them.
	StoreLease = 30 * time.Second
	// RenewEvery is the time between two writes of a data centre.
	RenewEvery = 10 * time.Second
	// GrantLease is the longest lease of an instance. It is shorter than what
	// is left of StoreLease just before a renewal.
	GrantLease = 18 * time.Second
	// Margin covers clocks that run at different rates and the time to abort a
	// task at its deadline. It is over 2% of GrantLease.
	Margin = 500 * time.Millisecond
	// RaiseDelay is how long a Book waits before it uses a floor that a new
	// configuration raised, since the units may come out of the pool. It
	// covers 15 s until the configuration is in force everywhere, then one
	// StoreLease, with room to spare.
	RaiseDelay = 60 * time.Second
)

// Limit is one limit of the configuration.
type Limit struct {
	Name LimitName
	// Max is the most units in use in the whole fleet, or the most micros
	// spent in an hour.
	Max Count
	// PerHour is true for a cost limit, whose units are used up.
	PerHour bool
	// FloorShare is the part of Max, from 0 to 1, that is divided into floors.
	FloorShare float64
	// DataCentres are those in which the limit is used; empty means all of
	// them.
	DataCentres []ident.DataCentre
	// Planned is the number of data centres that the fleet is planned for. It
	// counts when DataCentres is empty, and must be the same everywhere.
	Planned int
}

// dataCentres returns the number of data centres that have a floor.
func (l Limit) dataCentres() Count {
	if len(l.DataCentres) == 0 {
		return Count(max(l.Planned, 0))
	}
	return Count(len(l.DataCentres))
}

// usedIn reports whether a data centre has a floor.
func (l Limit) usedIn(dc ident.DataCentre) bool {
	return len(l.DataCentres) == 0 && l.Planned > 0 || slices.Contains(l.DataCentres, dc)
}

// Largest returns the most units that one instance can ever have at once, when
// each data centre is planned for so many instances.
func (l Limit) Largest(instances int) Count {
	if instances <= 0 {
		return l.pool()
	}
	n := Count(instances)
	return max(l.pool(), (l.floor()+n-1)/n)
}

// floor returns the static floor of one data centre.
func (l Limit) floor() Count {
	if l.dataCentres() == 0 {
		return 0
	}
	share := min(max(l.FloorShare, 0), 1)
	return min(l.Max, Count(float64(l.Max)*share)) / l.dataCentres()
}

// pool returns what the data centres share beyond their floors.
func (l Limit) pool() Count { return l.Max - l.floor()*l.dataCentres() }

// instanceFloor returns the part of the floor that belongs to one instance.
// The parts of the ordinals below p.Instances add up to the floor.
func (l Limit) instanceFloor(p Place) Count {
	if !l.usedIn(p.DataCentre) || p.Ordinal < 0 || p.Ordinal >= p.Instances {
		return 0
	}
	part := l.floor() / Count(p.Instances)
	if Count(p.Ordinal) < l.floor()%Count(p.Instances) {
		part++
	}
	return part
}

// Place tells which part of the floors belongs to an instance.
type Place struct {
	DataCentre ident.DataCentre
	// Ordinal is the position within the data centre, from 0. Two live
	// processes must not have the same.
	Ordinal int
	// Instances is the number that the data centre is planned for. An instance
	// with a higher ordinal has no floor.
	Instances int
	// FloorFrom is the earliest use of the floors. A process that replaces
	// another sets it to the latest deadline of the tasks that the other may
	// have started. Floors per hour are then used from the next full hour.
	FloorFrom time.Time
}

// ShareRequest asks the granter for units. Units is the total that the holder
// wants; it has already stopped to use more than that under earlier grants, so
// a lower total hands units back.
type ShareRequest struct {
	// Number rises with each request of the holder.
	Number uint64
	Holder ident.Process
	Limit  LimitName
	Units  Count
	// Hour is the hour that a limit per hour is about.
	Hour int64
}

// ShareGrant answers the request of the same number with a total of units. The
// lease counts from when the holder made the request. A grant of a limit per
// hour has no lease: it is good for its hour.
type ShareGrant struct {
	Number uint64
	Limit  LimitName
	Units  Count
	Lease  time.Duration
	Hour   int64
}

// HourOf numbers the hours since the Unix epoch by the wall clock.
func HourOf(t time.Time) int64 { return t.Unix() / 3600 }

// grant is a number of units until a time.
type grant struct {
	units Count
	end   time.Time
}

// largest returns the largest of the grants that end after t.
func largest(grants []grant, t time.Time) Count {
	var units Count
	for _, g := range grants {
		if g.end.After(t) {
			units = max(units, g.units)
		}
	}
	return units
}

// prune removes the grants that do not end after t and caps the rest.
func prune(grants []grant, t time.Time, units Count) []grant {
	kept := grants[:0]
	for _, g := range grants {
		if g.end.After(t) {
			kept = append(kept, grant{units: min(g.units, units), end: g.end})
		}
	}
	return kept
}

// unlimited is a cap that changes nothing.
const unlimited Count = 1<<63 - 1

// fairShares divides total between wants: nobody gets more than it wants, and
// who gets less than it wants gets no less than another, but for a remainder
// of one unit each. The offset selects who gets the remainder.
func fairShares(wants []Count, total Count, offset int) []Count {
	n := len(wants)
	order := make([]int, n)
	for i := range order {
		order[i] = (i + offset) % n
	}
	sort.SliceStable(order, func(i, j int) bool { return wants[order[i]] < wants[order[j]] })
	shares := make([]Count, n)
	total = max(total, 0)
	for i, j := range order {
		shares[j] = min(wants[j], total/Count(n-i))
		total -= shares[j]
	}
	return shares
}

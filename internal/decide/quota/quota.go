// Package quota enforces limits that apply to the whole fleet. It decides which
// tasks may start under them without a remote call per start.
//
// A unit of a limit is one running task or, for an hourly limit, one micro of
// cost. Each limit has a static floor and a pool. The floor, by default half of
// the limit, consists of the units that can be used without the store: it is
// split between data centres and, by ordinal, between instances. The rest is
// the pool. A share is the number of units of the pool that a data centre or an
// instance holds. The shares of the data centres are in one Record of the
// store; units move between data centres as each of them writes the record that
// Rebalance computes. One process of each data centre, its granter, runs a
// Granter, which leases the data centre's share to the instances: it answers
// the requests of their Limiters. A Limiter that cannot reach a Granter uses
// its floor only. When a limit is smaller than the number of instances, the
// floors of most of them are zero, and an instance that is cut off starts
// nothing under that limit.
//
// No lease depends on a comparison of the clocks of two machines. The holder of
// a lease measures it by its own monotonic clock from before it sent the
// request. The granter measures the same duration by its own clock from when
// the request arrived; for the leases of data centres, Record describes how the
// other data centres recognise the end. The clocks must run at the same rate,
// to within Margin per lease, and must keep running while a process is paused.
// Hourly limits do compare wall-clock hours, those of the instance, the granter
// and the Record: no units are granted while the hours differ.
package quota

import (
	"slices"
	"sort"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Count is a number of units: running tasks, or micros of cost for an hourly
// limit.
type Count int64

// LimitName is the name of a limit. The configuration need not have the limit.
type LimitName string

// ServiceLimit names the limit on the running tasks of a service.
func ServiceLimit(s ident.Service) LimitName { return LimitName("service/" + s) }

// TeamLimit names the limit on the running tasks of a team.
func TeamLimit(t ident.Team) LimitName { return LimitName("team/" + t) }

// CostLimit names the limit on the cost of a team per hour.
func CostLimit(t ident.Team) LimitName { return LimitName("cost/" + t) }

// Durations and intervals of the leases.
const (
	// StoreLease is how long a data centre may use its shares, counted from
	// when it sent the write that holds them.
	StoreLease = 30 * time.Second
	// RenewInterval is the interval between two writes of a data centre.
	RenewInterval = 10 * time.Second
	// GrantLease is the longest lease of an instance. It is shorter than what
	// is left of StoreLease just before a renewal.
	GrantLease = 18 * time.Second
	// Margin covers clocks that run at different rates and the time to abort a
	// task at its deadline. A Limiter stops using a lease one Margin before its
	// end, and a Granter grants the units again one Margin after it. Each
	// Margin is 2.8% of GrantLease: it covers rates that differ by 2% and
	// leaves 140 ms for the abort.
	Margin = 500 * time.Millisecond
	// RaiseDelay is how long a Limiter waits before it uses a floor that a new
	// configuration raised, since the added units may still be granted from the
	// pool. It covers 15 s until the configuration is in force everywhere, then
	// one StoreLease, and leaves 15 s of slack.
	RaiseDelay = 60 * time.Second
)

// Limit is one limit of the configuration.
type Limit struct {
	Name LimitName
	// Max is the number of units that may be in use at once in the whole fleet,
	// or the micros that may be spent in an hour.
	Max Count
	// PerHour is true for a cost limit. Its units are spent and not returned.
	PerHour bool
	// FloorShare is the fraction of Max, from 0 to 1, that is split into
	// floors.
	FloorShare float64
	// DataCentres lists the data centres that use the limit; empty means all of
	// them.
	DataCentres []ident.DataCentre
	// Planned is the number of data centres that the fleet is planned for. It
	// is used when DataCentres is empty, and must be the same on all instances.
	Planned int
}

// floorDataCentres returns the number of data centres that have a floor.
func (l Limit) floorDataCentres() Count {
	if len(l.DataCentres) == 0 {
		return Count(max(l.Planned, 0))
	}
	return Count(len(l.DataCentres))
}

// hasFloorIn reports whether a data centre has a floor.
func (l Limit) hasFloorIn(dc ident.DataCentre) bool {
	return len(l.DataCentres) == 0 && l.Planned > 0 || slices.Contains(l.DataCentres, dc)
}

// LargestTake returns the most units that a single Take or Reserve can get at
// an instance, when each data centre is planned for the given number of
// instances. They come either from its floor or from a lease. Without a planned
// number of instances there are no floors, and only the pool remains.
func (l Limit) LargestTake(instances int) Count {
	if instances <= 0 {
		return l.pool()
	}
	n := Count(instances)
	return max(l.pool(), (l.floor()+n-1)/n)
}

// floor returns the static floor of one data centre.
func (l Limit) floor() Count {
	if l.floorDataCentres() == 0 {
		return 0
	}
	share := min(max(l.FloorShare, 0), 1)
	return min(l.Max, Count(float64(l.Max)*share)) / l.floorDataCentres()
}

// pool returns the units that are in no floor. The data centres share them.
func (l Limit) pool() Count { return l.Max - l.floor()*l.floorDataCentres() }

// instanceFloor returns the part of the data centre's floor that belongs to one
// instance. The parts of the ordinals below p.Instances add up to the floor.
func (l Limit) instanceFloor(p FloorPosition) Count {
	if !l.hasFloorIn(p.DataCentre) || p.Ordinal < 0 || p.Ordinal >= p.Instances {
		return 0
	}
	part := l.floor() / Count(p.Instances)
	if Count(p.Ordinal) < l.floor()%Count(p.Instances) {
		part++
	}
	return part
}

// FloorPosition determines which part of the floors belongs to an instance, and
// from when the instance may use it.
type FloorPosition struct {
	DataCentre ident.DataCentre
	// Ordinal is the position within the data centre, from 0. Two running
	// processes must not have the same ordinal.
	Ordinal int
	// Instances is the number of instances that the data centre is planned for.
	// An instance with an ordinal of this number or above has no floor.
	Instances int
	// FloorFrom is the earliest time at which the floors may be used. A process
	// that replaces another sets it to the latest deadline of the tasks that
	// the other may have started. Hourly floors are then used from the next
	// full hour.
	FloorFrom time.Time
}

// ShareRequest asks the granter for units. Units is the total that the instance
// wants. Before it sends the request, the instance caps its earlier grants at
// Units, so a lower total returns units.
type ShareRequest struct {
	// Number increases with each request of the instance.
	Number   uint64
	Instance ident.Process
	Limit    LimitName
	Units    Count
	// Hour is the hour to which a request for an hourly limit applies, as
	// returned by HourOf.
	Hour int64
}

// ShareGrant answers the request with the same number. Units is the total that
// is granted. The lease starts when the holder made the request. A grant of an
// hourly limit has no lease: it is valid for its hour.
type ShareGrant struct {
	Number uint64
	Limit  LimitName
	Units  Count
	Lease  time.Duration
	Hour   int64
}

// HourOf returns the number of full hours since the Unix epoch by the wall
// clock.
func HourOf(t time.Time) int64 { return t.Unix() / 3600 }

// grant is a total of units that may be used until end. The units of
// overlapping grants do not add up: each is a total, and the largest one
// counts. In a Granter, end includes a Margin after the end of the lease.
type grant struct {
	units Count
	end   time.Time
}

// largestGrant returns the units of the largest grant that ends after t.
func largestGrant(grants []grant, t time.Time) Count {
	var units Count
	for _, g := range grants {
		if g.end.After(t) {
			units = max(units, g.units)
		}
	}
	return units
}

// prune removes the grants that end at or before t and caps the units of each
// of the rest at maxUnits.
func prune(grants []grant, t time.Time, maxUnits Count) []grant {
	kept := grants[:0]
	for _, g := range grants {
		if g.end.After(t) {
			kept = append(kept, grant{units: min(g.units, maxUnits), end: g.end})
		}
	}
	return kept
}

const (
	// maxCount is the largest Count. As a cap of units it has no effect.
	maxCount Count = 1<<63 - 1
	// maxUnits is the largest number of units that counts of what an instance or
	// a data centre wants or holds. It is as high as the highest limit, and the
	// sum of thousands of them is in range.
	maxUnits Count = 1 << 50
)

// fairShares divides total between wants by max-min fairness: no share is
// larger than what is wanted, and the shares that are smaller than what is
// wanted are the largest ones and equal, to within one unit. The offset selects
// who gets the odd units.
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

package quota

import (
	"sort"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// maxAttempts is the number of writes with an unknown outcome that a Granter
// remembers. After more than a few, the leases have expired and only the next
// write matters.
const maxAttempts = 8

// Granter leases the shares of one data centre to its instances. It runs in the
// process that holds the data centre's granter lease in the store. No limit is
// exceeded if a second Granter still runs. Granter is not safe for concurrent
// use.
type Granter struct {
	self       ident.Process
	dataCentre ident.DataCentre
	limits     []Limit
	byName     map[LimitName]Limit
	holders    map[LimitName]map[ident.Process]*instanceState
	hour       int64

	// shares and hourlyUnits are what the record certainly holds for the data
	// centre: shares until end, hourlyUnits in hour.
	shares, hourlyUnits map[LimitName]Count
	end                 time.Time
	// entitled is the largest part of each pool that the data centre may have
	// while others want theirs. Units beyond it are not lent again.
	entitled map[LimitName]Count
	// inherited are units that a previous granter may have lent: those of
	// limits on running tasks until inheritedUntil, those of hourly limits in
	// inheritedHour.
	inherited      map[LimitName]Count
	inheritedUntil time.Time
	inheritedHour  int64

	// attempts are the writes whose outcome is not known yet. attempt is the
	// number of the latest write.
	attempts []attempt
	attempt  uint64
	// ticks is the data centre's tick count in the record, first seen at
	// tickSeenAt.
	ticks      uint64
	tickSeenAt time.Time
	renewAt    time.Time
	lastSweep  time.Time
}

// instanceState is what the granter knows of one limit at one instance: the
// latest request, the units that it wants, and the grants that may be in use.
type instanceState struct {
	lastRequest uint64
	want        Count
	lastHeard   time.Time
	grants      []grant
}

// attempt is a proposed write whose outcome is not known yet.
type attempt struct {
	number    uint64
	sent      time.Time
	hour      int64
	ticks     uint64
	granted   map[LimitName]Count
	entitled  map[LimitName]Count
	inherited map[LimitName]Count
}

// NewGranter returns a Granter that has no shares yet.
func NewGranter(self ident.Process, dc ident.DataCentre) *Granter {
	return &Granter{self: self, dataCentre: dc, holders: make(map[LimitName]map[ident.Process]*instanceState)}
}

// SetLimits replaces the limits.
func (g *Granter) SetLimits(limits []Limit) {
	g.limits = limits
	g.byName = make(map[LimitName]Limit, len(limits))
	for _, l := range limits {
		g.byName[l.Name] = l
	}
}

// RenewAt returns when the next call of Propose is due. A write that failed
// because of a newer revision may be retried at once.
func (g *Granter) RenewAt() time.Time { return g.renewAt }

// NeedsUnits reports whether the instances want units that the record does not
// hold for the data centre yet, within the part it is entitled to. A write
// before RenewAt may then get them sooner.
func (g *Granter) NeedsUnits(now time.Time) bool {
	g.update(now)
	for _, l := range g.limits {
		held := g.shares[l.Name]
		if l.PerHour {
			held = g.hourlyUnits[l.Name]
		}
		if held >= g.entitled[l.Name] {
			continue
		}
		var want Count
		for _, h := range g.holders[l.Name] {
			want += h.wanted(now)
		}
		if want > held {
			return true
		}
	}
	return false
}

// Request answers the request of an instance. The time must be read after the
// request arrived. A request that arrives out of order gets no units.
func (g *Granter) Request(now time.Time, r ShareRequest) ShareGrant {
	g.update(now)
	answer := ShareGrant{Number: r.Number, Limit: r.Limit, Hour: r.Hour}
	l, ok := g.byName[r.Limit]
	if !ok || l.PerHour && r.Hour != g.hour {
		return answer
	}
	h := g.instanceState(r.Limit, r.Holder)
	if r.Number <= h.lastRequest {
		return answer
	}
	h.lastRequest, h.want, h.lastHeard = r.Number, r.Units, now
	h.grants = prune(h.grants, now, r.Units)
	others := g.lent(r.Limit, now) - h.outstanding(now)
	total := g.available(l, now)
	units := min(g.fairShare(r.Limit, r.Holder, total, now), total-others)
	if l.PerHour {
		// The instance may have spent its hourly units already.
		if units = max(units, h.outstanding(now)); units > 0 {
			h.grants = []grant{{units: units, end: farFuture}}
			answer.Units = units
		}
		return answer
	}
	lease := min(GrantLease, g.end.Sub(now)-Margin)
	if units > 0 && lease > 0 {
		h.grants = append(h.grants, grant{units: units, end: now.Add(lease + Margin)})
		answer.Units, answer.Lease = units, lease
	}
	return answer
}

// Propose returns the record to write by compare-and-swap in place of the one
// just read, and the number of this write. Units that the write would return
// are no longer lent from now on, since the write may take effect without a
// reply.
func (g *Granter) Propose(now time.Time, r Record) (Record, uint64) {
	g.update(now)
	own := r.DataCentres[g.dataCentre]
	replaced := own.process() != g.self
	if !replaced {
		g.Confirm(now, own.Attempt)
	}
	if g.tickSeenAt.IsZero() {
		g.tickSeenAt = now
	}
	g.recordTicks(now, own.Ticks)
	g.attempt++
	want, keep := g.totals(now)
	if now.Before(g.renewAt) {
		g.addHeadroom(want)
	}
	d := RebalanceRequest{Granter: g.self, Attempt: g.attempt, Limits: g.limits, Want: want, Keep: keep}
	d.Tick = now.Sub(g.tickSeenAt) >= RenewInterval
	next, granted := Rebalance(r, g.dataCentre, d, now)
	a := attempt{number: g.attempt, sent: now, hour: next.Hour, granted: granted}
	a.ticks = next.DataCentres[g.dataCentre].Ticks
	a.entitled = make(map[LimitName]Count, len(g.limits))
	for _, l := range g.limits {
		a.entitled[l.Name] = next.fairShare(g.dataCentre, l, l.pool())
	}
	if replaced {
		before, _ := Rebalance(r, g.dataCentre, RebalanceRequest{Granter: g.self}, now)
		a.inherited = keepUnits(before.DataCentres[g.dataCentre].Shares, nil, true)
		for name, n := range before.DataCentres[g.dataCentre].HourlyUnits {
			a.inherited[name] = n
		}
	}
	g.lowerShares(a)
	if len(g.attempts) == maxAttempts {
		g.attempts = g.attempts[1:]
	}
	g.attempts = append(g.attempts, a)
	g.renewAt = now.Add(RenewInterval)
	return next, g.attempt
}

// addHeadroom doubles the wanted units of limits on running tasks. A write
// before RenewAt happens when instances begin to want units, one after the
// other, and the next write may be RenewInterval later.
func (g *Granter) addHeadroom(want map[LimitName]Count) {
	for name, n := range want {
		if !g.byName[name].PerHour {
			want[name] = 2 * n
		}
	}
}

// Confirm records that the write with this number has taken effect. When the
// reply of a write is lost, the next call of Propose finds the write in the
// record. Writes proposed later can no longer take effect, since they are based
// on a record older than this write.
func (g *Granter) Confirm(now time.Time, number uint64) {
	for _, a := range g.attempts {
		if a.number == number {
			g.update(now)
			g.attempts = nil
			g.apply(now, a)
			return
		}
	}
}

// apply makes the units of a write that has taken effect available.
func (g *Granter) apply(now time.Time, a attempt) {
	g.recordTicks(now, a.ticks)
	g.renewAt = now.Add(RenewInterval)
	g.end = a.sent.Add(StoreLease - Margin)
	g.entitled = a.entitled
	g.shares = make(map[LimitName]Count)
	for name, n := range a.granted {
		if l, ok := g.byName[name]; !ok || !l.PerHour {
			g.shares[name] = n
		}
	}
	if a.hour == g.hour {
		g.hourlyUnits = a.granted
	}
	if a.inherited != nil {
		g.inherited, g.inheritedHour = a.inherited, a.hour
		g.dropInheritedHourly()
		// The previous granter wrote before this one, and its lease counts
		// from before its own write.
		g.inheritedUntil = now.Add(StoreLease + Margin)
	}
}

// recordTicks records the time at which a new tick was first known to have
// taken effect.
func (g *Granter) recordTicks(now time.Time, ticks uint64) {
	if ticks != g.ticks {
		g.ticks, g.tickSeenAt = ticks, now
	}
}

// lowerShares gives up the units that the write does not ask for.
func (g *Granter) lowerShares(a attempt) {
	g.shares = keepUnits(g.shares, a.granted, false)
	if a.hour == g.hour {
		g.hourlyUnits = keepUnits(g.hourlyUnits, a.granted, false)
	}
}

// sweepInterval is the time between two removals of instances that have gone:
// those without a grant and without a request within StoreLease.
const sweepInterval = time.Second

// update starts a new hour and removes expired grants and instances that have
// gone.
func (g *Granter) update(now time.Time) {
	hour := HourOf(now)
	if hour > g.hour {
		g.hour, g.hourlyUnits = hour, nil
		for _, holders := range g.holders {
			for _, h := range holders {
				h.dropHourly()
			}
		}
		g.dropInheritedHourly()
	}
	if now.Sub(g.lastSweep) < sweepInterval {
		return
	}
	g.lastSweep = now
	for _, holders := range g.holders {
		for process, h := range holders {
			h.grants = prune(h.grants, now, unlimited)
			if len(h.grants) == 0 && now.Sub(h.lastHeard) > StoreLease {
				delete(holders, process)
			}
		}
	}
}

// dropInheritedHourly removes the inherited units of hourly limits that belong
// to an earlier hour.
func (g *Granter) dropInheritedHourly() {
	for name := range g.inherited {
		if g.hour > g.inheritedHour && g.byName[name].PerHour {
			delete(g.inherited, name)
		}
	}
}

// dropHourly removes the grants of an hourly limit.
func (h *instanceState) dropHourly() {
	if len(h.grants) > 0 && h.grants[0].end.Equal(farFuture) {
		h.grants, h.want = nil, 0
	}
}

// available returns the total units of a limit that this granter may lend.
func (g *Granter) available(l Limit, now time.Time) Count {
	if l.PerHour {
		return min(g.hourlyUnits[l.Name], g.entitled[l.Name]) - g.inherited[l.Name]
	}
	return min(g.shares[l.Name], g.entitled[l.Name]) - g.withheld(l.Name, now)
}

// withheld returns the units that a previous granter may still have lent.
func (g *Granter) withheld(name LimitName, now time.Time) Count {
	if g.byName[name].PerHour || now.Before(g.inheritedUntil) {
		return g.inherited[name]
	}
	return 0
}

// totals returns the units that the instances want, and those that they may be
// using.
func (g *Granter) totals(now time.Time) (want, keep map[LimitName]Count) {
	want, keep = make(map[LimitName]Count), make(map[LimitName]Count)
	for name, holders := range g.holders {
		for _, h := range holders {
			want[name] += h.wanted(now)
		}
		keep[name] = g.lent(name, now)
	}
	for name := range g.inherited {
		keep[name] += g.withheld(name, now)
		if g.byName[name].PerHour {
			want[name] += g.inherited[name]
		}
	}
	return want, keep
}

// lent returns the units of a limit that instances may be using.
func (g *Granter) lent(name LimitName, now time.Time) Count {
	var n Count
	for _, h := range g.holders[name] {
		n += h.outstanding(now)
	}
	return n
}

// fairShare returns the part of total that one instance is entitled to.
func (g *Granter) fairShare(name LimitName, process ident.Process, total Count, now time.Time) Count {
	processes := make([]ident.Process, 0, len(g.holders[name]))
	for p := range g.holders[name] {
		processes = append(processes, p)
	}
	sort.Slice(processes, func(i, j int) bool {
		a, b := processes[i], processes[j]
		return a.Instance < b.Instance || a.Instance == b.Instance && a.Incarnation < b.Incarnation
	})
	wants := make([]Count, len(processes))
	own := 0
	for i, p := range processes {
		wants[i] = g.holders[name][p].wanted(now)
		if p == process {
			own = i
		}
	}
	// The remainder moves to another instance once per StoreLease.
	offset := int(now.Unix() / int64(StoreLease/time.Second) % int64(len(processes)))
	return fairShares(wants, total, offset)[own]
}

// instanceState returns the state of a limit at an instance and creates it if
// needed.
func (g *Granter) instanceState(name LimitName, p ident.Process) *instanceState {
	holders := g.holders[name]
	if holders == nil {
		holders = make(map[ident.Process]*instanceState)
		g.holders[name] = holders
	}
	h := holders[p]
	if h == nil {
		h = &instanceState{}
		holders[p] = h
	}
	return h
}

// outstanding returns the units that the instance may be using.
func (h *instanceState) outstanding(now time.Time) Count { return largestGrant(h.grants, now) }

// wanted returns the units that the instance wants. For an instance that sent
// no request within GrantLease, it returns those that it may still be using.
func (h *instanceState) wanted(now time.Time) Count {
	if now.Sub(h.lastHeard) > GrantLease {
		return h.outstanding(now)
	}
	return h.want
}

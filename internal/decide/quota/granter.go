package quota

import (
	"sort"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// maxPendingWrites is the number of writes with an unknown outcome that a
// Granter remembers. After more than a few, the leases have expired and only
// the next write matters.
const maxPendingWrites = 8

// Granter leases the shares of one data centre to its instances: it answers
// their requests and proposes the writes that renew the shares in the Record.
// It runs in the process that holds the data centre's granter lease in the
// store, a lock by which the granter is elected. It is not the lease of the
// shares, StoreLease. No limit is exceeded if a second Granter still runs.
// Granter is not safe for concurrent use.
type Granter struct {
	self       ident.Process
	dataCentre ident.DataCentre
	limits     []Limit
	byName     map[LimitName]Limit
	instances  map[LimitName]map[ident.Process]*instanceAccount
	hour       int64

	// shares and hourlyUnits are what the record certainly holds for the data
	// centre: shares until leaseEnd, hourlyUnits in hour.
	shares, hourlyUnits map[LimitName]Count
	leaseEnd            time.Time
	// entitled is the data centre's fair share of each pool, given what the
	// other data centres want. Units beyond it are not granted again.
	entitled map[LimitName]Count
	// inherited are units that a previous granter may have granted: those of
	// limits on running tasks until inheritedUntil, those of hourly limits in
	// inheritedHour.
	inherited      map[LimitName]Count
	inheritedUntil time.Time
	inheritedHour  int64

	// pendingWrites are the proposed writes whose outcome is not known yet, the
	// oldest first. lastWrite is the number of the latest write.
	pendingWrites []pendingWrite
	lastWrite     uint64
	// ticks is the data centre's tick count in the record, first seen at
	// tickSeenAt.
	ticks      uint64
	tickSeenAt time.Time
	renewAt    time.Time
	lastSweep  time.Time
}

// instanceAccount is what the granter knows of one limit at one instance: the
// number of its latest request, the units that it wants, when the request
// arrived, and the grants that may be in use.
type instanceAccount struct {
	lastRequest   uint64
	want          Count
	lastRequestAt time.Time
	grants        []grant
}

// pendingWrite is a proposed write whose outcome is not known yet.
type pendingWrite struct {
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
	return &Granter{self: self, dataCentre: dc, instances: make(map[LimitName]map[ident.Process]*instanceAccount)}
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
// because another process wrote the record in between may be retried at once.
func (g *Granter) RenewAt() time.Time { return g.renewAt }

// NeedsUnits reports whether the instances want units that the record does not
// hold for the data centre yet, up to its fair share of the pool. A write
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
		for _, s := range g.instances[l.Name] {
			want += s.wanted(now)
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
	s := g.getOrCreate(r.Limit, r.Instance)
	if r.Number <= s.lastRequest {
		return answer
	}
	s.lastRequest, s.want, s.lastRequestAt = r.Number, min(r.Units, maxUnits), now
	s.grants = prune(s.grants, now, r.Units)
	others := g.totalOutstanding(r.Limit, now) - s.outstanding(now)
	total := g.available(l, now)
	units := min(g.instanceShare(r.Limit, r.Instance, total, now), total-others)
	if l.PerHour {
		// The instance may have spent its hourly units already.
		if units = max(units, s.outstanding(now)); units > 0 {
			s.grants = []grant{{units: units, end: farFuture}}
			answer.Units = units
		}
		return answer
	}
	lease := min(GrantLease, g.leaseEnd.Sub(now)-Margin)
	if units > 0 && lease > 0 {
		s.grants = append(s.grants, grant{units: units, end: now.Add(lease + Margin)})
		answer.Units, answer.Lease = units, lease
	}
	return answer
}

// Propose returns the record to write by compare-and-swap in place of the one
// just read, and the number of this write. Units that the write would return
// are no longer granted from now on, since the write may take effect without a
// reply.
func (g *Granter) Propose(now time.Time, r Record) (Record, uint64) {
	g.update(now)
	own := r.DataCentres[g.dataCentre]
	granterChanged := own.process() != g.self
	if !granterChanged {
		g.Confirm(now, own.WriteNumber)
	}
	if g.tickSeenAt.IsZero() {
		g.tickSeenAt = now
	}
	g.setTicks(now, own.Ticks)
	g.lastWrite++
	want, keep := g.totals(now)
	if now.Before(g.renewAt) {
		g.addHeadroom(want)
	}
	req := RebalanceRequest{Granter: g.self, WriteNumber: g.lastWrite, Limits: g.limits, Want: want, Keep: keep}
	req.Tick = now.Sub(g.tickSeenAt) >= RenewInterval
	next, granted := Rebalance(r, g.dataCentre, req, now)
	w := pendingWrite{number: g.lastWrite, sent: now, hour: next.Hour, granted: granted}
	w.ticks = next.DataCentres[g.dataCentre].Ticks
	w.entitled = make(map[LimitName]Count, len(g.limits))
	for _, l := range g.limits {
		w.entitled[l.Name] = next.dataCentreShare(g.dataCentre, l, l.pool())
	}
	if granterChanged {
		// With an empty request, Rebalance keeps all unexpired units of the
		// previous granter and takes no others.
		carriedOver, _ := Rebalance(r, g.dataCentre, RebalanceRequest{Granter: g.self}, now)
		w.inherited = keepUnits(carriedOver.DataCentres[g.dataCentre].Shares, nil, true)
		for name, n := range carriedOver.DataCentres[g.dataCentre].HourlyUnits {
			w.inherited[name] = n
		}
	}
	g.dropReturnedUnits(w)
	if len(g.pendingWrites) == maxPendingWrites {
		g.pendingWrites = g.pendingWrites[1:]
	}
	g.pendingWrites = append(g.pendingWrites, w)
	g.renewAt = now.Add(RenewInterval)
	return next, g.lastWrite
}

// addHeadroom doubles the wanted units of limits on running tasks. A write
// before RenewAt is made when the first instances begin to want units. The
// doubled number covers those that begin to want units before the next write,
// which may be RenewInterval later.
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
	for _, w := range g.pendingWrites {
		if w.number == number {
			g.update(now)
			g.pendingWrites = nil
			g.apply(now, w)
			return
		}
	}
}

// apply makes the units of a write that has taken effect available.
func (g *Granter) apply(now time.Time, w pendingWrite) {
	g.setTicks(now, w.ticks)
	g.renewAt = now.Add(RenewInterval)
	g.leaseEnd = w.sent.Add(StoreLease - Margin)
	g.entitled = w.entitled
	g.shares = make(map[LimitName]Count)
	for name, n := range w.granted {
		if l, ok := g.byName[name]; !ok || !l.PerHour {
			g.shares[name] = n
		}
	}
	if w.hour == g.hour {
		g.hourlyUnits = w.granted
	}
	if w.inherited != nil {
		g.inherited, g.inheritedHour = w.inherited, w.hour
		g.dropInheritedHourly()
		// The previous granter wrote before this one, and its lease counts
		// from before its own write.
		g.inheritedUntil = now.Add(StoreLease + Margin)
	}
}

// setTicks sets the data centre's tick count and, if it has changed, the time
// at which the new tick was first known to have taken effect.
func (g *Granter) setTicks(now time.Time, ticks uint64) {
	if ticks != g.ticks {
		g.ticks, g.tickSeenAt = ticks, now
	}
}

// dropReturnedUnits stops granting the units that the write returns, those of
// hourly limits included.
func (g *Granter) dropReturnedUnits(w pendingWrite) {
	g.shares = keepUnits(g.shares, w.granted, false)
	if w.hour == g.hour {
		g.hourlyUnits = keepUnits(g.hourlyUnits, w.granted, false)
	}
}

// sweepInterval is the time between two removals of instances that have gone,
// which are those without a grant and without a request within StoreLease.
const sweepInterval = time.Second

// update starts a new hour and removes expired grants and instances that have
// gone.
func (g *Granter) update(now time.Time) {
	hour := HourOf(now)
	if hour > g.hour {
		g.hour, g.hourlyUnits = hour, nil
		for _, instances := range g.instances {
			for _, s := range instances {
				s.dropHourly()
			}
		}
		g.dropInheritedHourly()
	}
	if now.Sub(g.lastSweep) < sweepInterval {
		return
	}
	g.lastSweep = now
	for _, instances := range g.instances {
		for process, s := range instances {
			s.grants = prune(s.grants, now, maxCount)
			if len(s.grants) == 0 && now.Sub(s.lastRequestAt) > StoreLease {
				delete(instances, process)
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

// dropHourly clears the grants and the wanted units of an hourly limit, which
// is recognised by a grant that ends at farFuture. Without a grant, the wanted
// units stay until the next request.
func (s *instanceAccount) dropHourly() {
	if len(s.grants) > 0 && s.grants[0].end.Equal(farFuture) {
		s.grants, s.want = nil, 0
	}
}

// available returns the total units of a limit that this granter may grant,
// including those that it has granted already.
func (g *Granter) available(l Limit, now time.Time) Count {
	if l.PerHour {
		return min(g.hourlyUnits[l.Name], g.entitled[l.Name]) - g.inherited[l.Name]
	}
	return min(g.shares[l.Name], g.entitled[l.Name]) - g.inheritedUnits(l.Name, now)
}

// inheritedUnits returns the units that a previous granter granted and that may
// still be in use.
func (g *Granter) inheritedUnits(name LimitName, now time.Time) Count {
	if g.byName[name].PerHour || now.Before(g.inheritedUntil) {
		return g.inherited[name]
	}
	return 0
}

// totals returns the units that the instances want, and those that they may be
// using.
func (g *Granter) totals(now time.Time) (want, keep map[LimitName]Count) {
	want, keep = make(map[LimitName]Count), make(map[LimitName]Count)
	for name, instances := range g.instances {
		for _, s := range instances {
			want[name] += s.wanted(now)
		}
		keep[name] = g.totalOutstanding(name, now)
	}
	for name := range g.inherited {
		keep[name] += g.inheritedUnits(name, now)
		if g.byName[name].PerHour {
			want[name] += g.inherited[name]
		}
	}
	return want, keep
}

// totalOutstanding returns the granted units of a limit that instances may be
// using.
func (g *Granter) totalOutstanding(name LimitName, now time.Time) Count {
	var n Count
	for _, s := range g.instances[name] {
		n += s.outstanding(now)
	}
	return n
}

// instanceShare returns the part of total that one instance is entitled to.
func (g *Granter) instanceShare(name LimitName, process ident.Process, total Count, now time.Time) Count {
	processes := make([]ident.Process, 0, len(g.instances[name]))
	for p := range g.instances[name] {
		processes = append(processes, p)
	}
	sort.Slice(processes, func(i, j int) bool {
		a, b := processes[i], processes[j]
		return a.Instance < b.Instance || a.Instance == b.Instance && a.Incarnation < b.Incarnation
	})
	wants := make([]Count, len(processes))
	ownIndex := 0
	for i, p := range processes {
		wants[i] = g.instances[name][p].wanted(now)
		if p == process {
			ownIndex = i
		}
	}
	// The remainder moves to another instance once per StoreLease.
	offset := int(now.Unix() / int64(StoreLease/time.Second) % int64(len(processes)))
	return fairShares(wants, total, offset)[ownIndex]
}

// getOrCreate returns the state of a limit at an instance and creates it if
// needed.
func (g *Granter) getOrCreate(name LimitName, p ident.Process) *instanceAccount {
	instances := g.instances[name]
	if instances == nil {
		instances = make(map[ident.Process]*instanceAccount)
		g.instances[name] = instances
	}
	s := instances[p]
	if s == nil {
		s = &instanceAccount{}
		instances[p] = s
	}
	return s
}

// outstanding returns the granted units that the instance may be using.
func (s *instanceAccount) outstanding(now time.Time) Count { return largestGrant(s.grants, now) }

// wanted returns the units that the instance wants. For an instance that sent
// no request within GrantLease, it returns those that it may still be using.
func (s *instanceAccount) wanted(now time.Time) Count {
	if now.Sub(s.lastRequestAt) > GrantLease {
		return s.outstanding(now)
	}
	return s.want
}

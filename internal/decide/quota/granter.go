package quota

import (
	"sort"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// maxAttempts bounds the writes whose outcome a Granter remembers. Beyond a
// few the leases have lapsed and only the next write matters.
const maxAttempts = 8

// Granter lends the shares of one data centre to its instances. The process
// that holds the data centre's granter lease in the store runs one. A second
// Granter that still runs breaks no limit. Granter is not safe for concurrent
// use.
type Granter struct {
	self       ident.Process
	dataCentre ident.DataCentre
	limits     []Limit
	byName     map[LimitName]Limit
	holders    map[LimitName]map[ident.Process]*holding
	hour       int64

	// shares and spend are what the record certainly holds for the data
	// centre: shares until end, spend in the hour.
	shares, spend map[LimitName]Count
	end           time.Time
	// due is the part of each pool that the data centre may have at most while
	// others want theirs. Units beyond it are not lent again.
	due map[LimitName]Count
	// inherited are units that a previous granter may have lent: those of
	// running limits until inheritedUntil, those per hour in inheritedHour.
	inherited      map[LimitName]Count
	inheritedUntil time.Time
	inheritedHour  int64

	attempts []attempt
	attempt  uint64
	// ticks is the data centre's count in the record, as known since tickSeen.
	ticks    uint64
	tickSeen time.Time
	renewAt  time.Time
	swept    time.Time
}

// holding is what one instance has of one limit.
type holding struct {
	request uint64
	want    Count
	heard   time.Time
	grants  []grant
}

// attempt is a proposed write whose outcome is not known yet.
type attempt struct {
	number    uint64
	sent      time.Time
	hour      int64
	ticks     uint64
	granted   map[LimitName]Count
	due       map[LimitName]Count
	inherited map[LimitName]Count
}

// NewGranter returns a Granter that holds nothing yet.
func NewGranter(self ident.Process, dc ident.DataCentre) *Granter {
	return &Granter{self: self, dataCentre: dc, holders: make(map[LimitName]map[ident.Process]*holding)}
}

// SetLimits replaces the limits.
func (g *Granter) SetLimits(limits []Limit) {
	g.limits = limits
	g.byName = make(map[LimitName]Limit, len(limits))
	for _, l := range limits {
		g.byName[l.Name] = l
	}
}

// RenewAt returns when the next call of Propose is due. A write that met
// another revision may be repeated at once.
func (g *Granter) RenewAt() time.Time { return g.renewAt }

// Wanting reports whether the instances want units that the record does not
// hold for the data centre yet, within what is due to it. A write before
// RenewAt may then get them sooner.
func (g *Granter) Wanting(now time.Time) bool {
	g.update(now)
	for _, l := range g.limits {
		held := g.shares[l.Name]
		if l.PerHour {
			held = g.spend[l.Name]
		}
		if held >= g.due[l.Name] {
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

// Request answers an instance. The time must be from after the request
// arrived. A request that arrives out of order gets no units.
func (g *Granter) Request(now time.Time, r ShareRequest) ShareGrant {
	g.update(now)
	answer := ShareGrant{Number: r.Number, Limit: r.Limit, Hour: r.Hour}
	l, ok := g.byName[r.Limit]
	if !ok || l.PerHour && r.Hour != g.hour {
		return answer
	}
	h := g.holding(r.Limit, r.Holder)
	if r.Number <= h.request {
		return answer
	}
	h.request, h.want, h.heard = r.Number, r.Units, now
	h.grants = prune(h.grants, now, r.Units)
	others := g.lent(r.Limit, now) - h.liability(now)
	total := g.available(l, now)
	units := min(g.fairShare(r.Limit, r.Holder, total, now), total-others)
	if l.PerHour {
		// Units per hour that the instance has may be spent already.
		if units = max(units, h.liability(now)); units > 0 {
			h.grants = []grant{{units: units, end: endOfTime}}
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

// Propose returns the record to write in place of the one just read, by
// compare-and-swap, and the number of the attempt. What the write would give
// back is no longer lent from now on, since it may take effect unnoticed.
func (g *Granter) Propose(now time.Time, r Record) (Record, uint64) {
	g.update(now)
	own := r.DataCentres[g.dataCentre]
	replaced := own.process() != g.self
	if !replaced {
		g.Confirm(now, own.Attempt)
	}
	if g.tickSeen.IsZero() {
		g.tickSeen = now
	}
	g.seeTicks(now, own.Ticks)
	g.attempt++
	want, keep := g.totals(now)
	if now.Before(g.renewAt) {
		g.addHeadroom(want)
	}
	d := Demand{Granter: g.self, Attempt: g.attempt, Limits: g.limits, Want: want, Keep: keep}
	d.Tick = now.Sub(g.tickSeen) >= RenewEvery
	next, granted := Rebalance(r, g.dataCentre, d, now)
	a := attempt{number: g.attempt, sent: now, hour: next.Hour, granted: granted}
	a.ticks = next.DataCentres[g.dataCentre].Ticks
	a.due = make(map[LimitName]Count, len(g.limits))
	for _, l := range g.limits {
		a.due[l.Name] = next.fairShare(g.dataCentre, l, l.pool())
	}
	if replaced {
		before, _ := Rebalance(r, g.dataCentre, Demand{Granter: g.self}, now)
		a.inherited = kept(before.DataCentres[g.dataCentre].Shares, nil, true)
		for name, n := range before.DataCentres[g.dataCentre].Spend {
			a.inherited[name] = n
		}
	}
	g.lower(a)
	if len(g.attempts) == maxAttempts {
		g.attempts = g.attempts[1:]
	}
	g.attempts = append(g.attempts, a)
	g.renewAt = now.Add(RenewEvery)
	return next, g.attempt
}

// addHeadroom doubles the running units that are wanted. A write before its time
// comes when instances begin to want units, one after the other, and the next
// one may be RenewEvery later.
func (g *Granter) addHeadroom(want map[LimitName]Count) {
	for name, n := range want {
		if !g.byName[name].PerHour {
			want[name] = 2 * n
		}
	}
}

// Confirm tells that the write of the attempt has taken effect. When a write's
// reply is lost, the next call of Propose finds out from the record. Writes
// proposed later cannot take effect any more, since they are based on a record
// from before this one.
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

// apply uses the units of a write that has taken effect.
func (g *Granter) apply(now time.Time, a attempt) {
	g.seeTicks(now, a.ticks)
	g.renewAt = now.Add(RenewEvery)
	g.end = a.sent.Add(StoreLease - Margin)
	g.due = a.due
	g.shares = make(map[LimitName]Count)
	for name, n := range a.granted {
		if l, ok := g.byName[name]; !ok || !l.PerHour {
			g.shares[name] = n
		}
	}
	if a.hour == g.hour {
		g.spend = a.granted
	}
	if a.inherited != nil {
		g.inherited, g.inheritedHour = a.inherited, a.hour
		g.endInherited()
		// The write of the previous granter came before ours, and its lease
		// counts from before its own.
		g.inheritedUntil = now.Add(StoreLease + Margin)
	}
}

// seeTicks notes when a new tick was known to have taken effect.
func (g *Granter) seeTicks(now time.Time, ticks uint64) {
	if ticks != g.ticks {
		g.ticks, g.tickSeen = ticks, now
	}
}

// lower gives up the units that the attempt does not ask for.
func (g *Granter) lower(a attempt) {
	g.shares = kept(g.shares, a.granted, false)
	if a.hour == g.hour {
		g.spend = kept(g.spend, a.granted, false)
	}
}

// sweepEvery is the time between two searches for holders that have gone.
const sweepEvery = time.Second

// update starts a new hour and drops what has ended.
func (g *Granter) update(now time.Time) {
	hour := HourOf(now)
	if hour > g.hour {
		g.hour, g.spend = hour, nil
		for _, holders := range g.holders {
			for _, h := range holders {
				h.endHour()
			}
		}
		g.endInherited()
	}
	if now.Sub(g.swept) < sweepEvery {
		return
	}
	g.swept = now
	for _, holders := range g.holders {
		for process, h := range holders {
			h.grants = prune(h.grants, now, unlimited)
			if len(h.grants) == 0 && now.Sub(h.heard) > StoreLease {
				delete(holders, process)
			}
		}
	}
}

// endInherited drops the inherited units per hour of an earlier hour.
func (g *Granter) endInherited() {
	for name := range g.inherited {
		if g.hour > g.inheritedHour && g.byName[name].PerHour {
			delete(g.inherited, name)
		}
	}
}

// endHour drops the grants per hour.
func (h *holding) endHour() {
	if len(h.grants) > 0 && h.grants[0].end.Equal(endOfTime) {
		h.grants, h.want = nil, 0
	}
}

// available returns the units of a limit that this granter may lend in all.
func (g *Granter) available(l Limit, now time.Time) Count {
	if l.PerHour {
		return min(g.spend[l.Name], g.due[l.Name]) - g.inherited[l.Name]
	}
	return min(g.shares[l.Name], g.due[l.Name]) - g.withheld(l.Name, now)
}

// withheld returns the units that a previous granter may still have lent.
func (g *Granter) withheld(name LimitName, now time.Time) Count {
	if g.byName[name].PerHour || now.Before(g.inheritedUntil) {
		return g.inherited[name]
	}
	return 0
}

// totals returns what the instances want, and what they may be using.
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
		n += h.liability(now)
	}
	return n
}

// fairShare returns the share of one instance in the units of a limit.
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
	// Odd units change hands once per StoreLease.
	offset := int(now.Unix() / int64(StoreLease/time.Second) % int64(len(processes)))
	return fairShares(wants, total, offset)[own]
}

func (g *Granter) holding(name LimitName, p ident.Process) *holding {
	holders := g.holders[name]
	if holders == nil {
		holders = make(map[ident.Process]*holding)
		g.holders[name] = holders
	}
	h := holders[p]
	if h == nil {
		h = &holding{}
		holders[p] = h
	}
	return h
}

// liability returns the units that the instance may be using.
func (h *holding) liability(now time.Time) Count { return largest(h.grants, now) }

// wanted returns what the instance wants, unless it has gone silent.
func (h *holding) wanted(now time.Time) Count {
	if now.Sub(h.heard) > GrantLease {
		return h.liability(now)
	}
	return h.want
}

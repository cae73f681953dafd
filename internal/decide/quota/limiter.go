package quota

import (
	"sort"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Limiter tracks the units that one instance uses, and decides whether it may
// start a task. It is not safe for concurrent use.
type Limiter struct {
	self     ident.Process
	position FloorPosition
	accounts map[LimitName]*account
	// names holds the keys of accounts in sorted order.
	names       []LimitName
	lastRequest uint64
}

// account is the state of one limit in a Limiter.
type account struct {
	limit Limit
	// removed is set when the configuration no longer has the limit. The
	// account is kept until its units are released.
	removed bool
	// floor is the floor in force. It becomes targetFloor at raiseFloorAt,
	// which the next call of update sets because SetLimits gets no time.
	floor, targetFloor Count
	raiseFloorAt       time.Time
	// floorUsed and leasedUsed count the units in use, or the micros spent and
	// reserved in hour.
	floorUsed, leasedUsed Count
	hour                  int64
	grants                []grant

	// peak is the highest leasedUsed since the last call of ShareRequests. want
	// is the number of units that the last call found to be needed, and
	// previousWant that of the call before it.
	peak, want, previousWant Count
	// pendingRequest is the number of the unanswered request, which was made at
	// requestedAt.
	pendingRequest uint64
	requestedAt    time.Time
}

// TaskUnits are the units that a started task holds, one of each of its limits.
type TaskUnits struct{ units []unit }

// unit is one unit of a limit, taken from the floor or from a lease.
type unit struct {
	name   LimitName
	leased bool
}

// Reservation is the estimated cost of a started task, taken from an hourly
// limit.
type Reservation struct {
	name   LimitName
	leased bool
	hour   int64
	micros Count
}

// NewLimiter returns a Limiter without limits.
func NewLimiter(self ident.Process, position FloorPosition) *Limiter {
	return &Limiter{self: self, position: position, accounts: make(map[LimitName]*account)}
}

// SetLimits replaces the limits. A lower floor applies at once, a higher one
// after RaiseDelay. Running tasks keep their units.
func (l *Limiter) SetLimits(limits []Limit) {
	for _, a := range l.accounts {
		a.removed = true
	}
	for _, limit := range limits {
		a := l.accounts[limit.Name]
		targetFloor := limit.instanceFloor(l.position)
		if a == nil || a.limit.PerHour != limit.PerHour {
			a = &account{floor: targetFloor}
			l.accounts[limit.Name] = a
		}
		if targetFloor != a.targetFloor {
			a.raiseFloorAt = time.Time{}
		}
		a.limit, a.removed, a.targetFloor, a.floor = limit, false, targetFloor, min(a.floor, targetFloor)
	}
	l.names = l.names[:0]
	for name, a := range l.accounts {
		if a.removed && a.floorUsed == 0 && a.leasedUsed == 0 {
			delete(l.accounts, name)
			continue
		}
		l.names = append(l.names, name)
	}
	sort.Slice(l.names, func(i, j int) bool { return l.names[i] < l.names[j] })
}

// Take takes one unit of each of the limits, or takes none and returns false.
// The task must end by its deadline, and must not be sent after it, because a
// leased unit may be granted to another instance afterwards. Units of the
// floors are taken first. With a zero deadline, no leased units are taken.
// Names that are not configured and hourly limits are ignored.
func (l *Limiter) Take(now, deadline time.Time, names ...LimitName) (TaskUnits, bool) {
	var u TaskUnits
	for _, name := range names {
		a := l.accounts[name]
		if a == nil || a.removed || a.limit.PerHour {
			continue
		}
		l.update(a, now)
		leased, ok := l.canUse(a, now, deadline, 1)
		if !ok {
			return TaskUnits{}, false
		}
		u.units = append(u.units, unit{name: name, leased: leased})
	}
	for _, taken := range u.units {
		l.accounts[taken.name].addUsed(taken.leased, 1)
	}
	return u, true
}

// TakeWithin takes units as Take does, with the latest deadline from earliest
// to latest that the floors and leases allow, and returns that deadline. The
// task must end by the returned deadline, even if its own deadline is later.
func (l *Limiter) TakeWithin(now, earliest, latest time.Time, names ...LimitName) (TaskUnits, time.Time, bool) {
	if u, ok := l.Take(now, latest, names...); ok {
		return u, latest, true
	}
	var ends []time.Time
	for _, name := range names {
		a := l.accounts[name]
		if a == nil || a.limit.PerHour {
			continue
		}
		for _, g := range a.grants {
			// A grant covers deadlines that are more than Margin before its
			// end.
			if end := g.end.Add(-Margin - 1); end.Before(latest) && !end.Before(earliest) {
				ends = append(ends, end)
			}
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[j].Before(ends[i]) })
	for _, end := range ends {
		if u, ok := l.Take(now, end, names...); ok {
			return u, end, true
		}
	}
	return TaskUnits{}, time.Time{}, false
}

// Has reports whether n more units of a limit can be used until the deadline.
// For an hourly limit, whose units do not expire before the hour ends, the
// deadline is ignored. For other limits, a zero deadline excludes leased units.
// For a name that is not configured it returns true.
func (l *Limiter) Has(now, deadline time.Time, name LimitName, n Count) bool {
	a := l.accounts[name]
	if a == nil || a.removed {
		return true
	}
	l.update(a, now)
	if a.limit.PerHour {
		deadline = now
	}
	_, ok := l.canUse(a, now, deadline, n)
	return ok
}

// LimitUsage describes the use of one limit at an instance.
type LimitUsage struct {
	Limit   LimitName `json:"limit"`
	Max     Count     `json:"max"`
	PerHour bool      `json:"per-hour"`
	// Floor and Leased are the units that this instance may use now. Used are
	// those in use, or the micros spent and reserved in the hour.
	Floor  Count `json:"floor"`
	Leased Count `json:"leased"`
	Used   Count `json:"used"`
}

// Usage returns the use of each limit, sorted by name.
func (l *Limiter) Usage(now time.Time) []LimitUsage {
	usage := make([]LimitUsage, 0, len(l.names))
	for _, name := range l.names {
		a := l.accounts[name]
		l.update(a, now)
		usage = append(usage, LimitUsage{
			Limit:   name,
			Max:     a.limit.Max,
			PerHour: a.limit.PerHour,
			Floor:   l.usableFloor(a, now),
			Leased:  l.leasedUnits(a, now),
			Used:    a.floorUsed + a.leasedUsed,
		})
	}
	return usage
}

// Release returns the units that Take took. It must be called once, when the
// task has ended.
func (l *Limiter) Release(now time.Time, u TaskUnits) {
	for _, taken := range u.units {
		a := l.accounts[taken.name]
		l.update(a, now)
		a.addUsed(taken.leased, -1)
	}
}

// Reserve takes the estimated cost of a task from an hourly limit. It returns
// false when too little is left. For a name that is not configured or not an
// hourly limit it returns true and takes nothing.
func (l *Limiter) Reserve(now time.Time, name LimitName, estimate ident.Micros) (Reservation, bool) {
	a := l.accounts[name]
	if a == nil || a.removed || !a.limit.PerHour {
		return Reservation{}, true
	}
	l.update(a, now)
	micros := Count(min(estimate, ident.Micros(maxCount)))
	leased, ok := l.canUse(a, now, now, micros)
	if !ok {
		return Reservation{}, false
	}
	a.addUsed(leased, micros)
	return Reservation{name: name, leased: leased, hour: a.hour, micros: micros}, true
}

// Settle replaces a reservation with the actual cost once the task has ended.
// The cost counts in the hour of the reservation. After that hour, only the
// part above the estimate counts, in the current hour. What an hour overspends
// is deducted from the next one.
func (l *Limiter) Settle(now time.Time, r Reservation, actual ident.Micros) {
	a := l.accounts[r.name]
	if a == nil {
		return
	}
	l.update(a, now)
	difference := Count(min(actual, ident.Micros(maxCount))) - r.micros
	if r.hour == a.hour || difference > 0 {
		a.addUsed(r.leased, difference)
	}
}

// ShareRequests returns the requests for the units that this instance needs.
// They are to be sent to the granter of the data centre every few seconds,
// together with those of ReturnRequests. For each limit, waiting is the number
// of waiting tasks or their estimated cost.
func (l *Limiter) ShareRequests(now time.Time, waiting map[LimitName]Count) []ShareRequest {
	var requests []ShareRequest
	for _, name := range l.names {
		a := l.accounts[name]
		l.update(a, now)
		free := max(0, l.usableFloor(a, now)-a.floorUsed)
		want := max(a.peak, a.leasedUsed) + max(0, waiting[name]-free)
		a.previousWant, a.want, a.peak = a.want, want, a.leasedUsed
		if a.removed {
			continue
		}
		// Units that were needed in one call only are kept until the next, so
		// that they do not move back and forth.
		units := max(a.leasedUsed, min(max(a.want, a.previousWant), a.limit.pool()))
		if units > 0 && units >= l.leasedUnits(a, now) {
			requests = append(requests, l.request(a, now, units))
		}
	}
	return requests
}

// ReturnRequests returns the requests that return the units beyond those that
// the last two calls of ShareRequests found to be needed. The remaining units
// are renewed.
func (l *Limiter) ReturnRequests(now time.Time) []ShareRequest {
	var requests []ShareRequest
	for _, name := range l.names {
		a := l.accounts[name]
		l.update(a, now)
		units := max(a.leasedUsed, min(max(a.want, a.previousWant), a.limit.pool()))
		if a.removed {
			units = a.leasedUsed
		}
		if units < l.leasedUnits(a, now) {
			requests = append(requests, l.request(a, now, units))
		}
	}
	return requests
}

// Accept applies a grant. Only the answer to the latest request for the limit
// is used, since a later request may have returned units.
func (l *Limiter) Accept(now time.Time, g ShareGrant) {
	a := l.accounts[g.Limit]
	if a == nil || g.Number == 0 || g.Number != a.pendingRequest {
		return
	}
	l.update(a, now)
	a.pendingRequest = 0
	if !a.limit.PerHour {
		a.grants = append(a.grants, grant{units: g.Units, end: a.requestedAt.Add(g.Lease)})
	} else if g.Hour == a.hour {
		a.grants = append(a.grants, grant{units: g.Units, end: farFuture})
	}
}

// farFuture is later than any deadline. Grants of hourly limits have it as
// their end: they are dropped when the hour changes.
var farFuture = time.Unix(1<<40, 0)

// request returns a request for a total of units, and stops using the
// granted units beyond that total.
func (l *Limiter) request(a *account, now time.Time, units Count) ShareRequest {
	l.lastRequest++
	a.pendingRequest, a.requestedAt = l.lastRequest, now
	a.grants = prune(a.grants, now, units)
	return ShareRequest{Number: l.lastRequest, Instance: l.self, Limit: a.limit.Name, Units: units, Hour: a.hour}
}

// leasedUnits returns the leased units that the account may use now.
func (l *Limiter) leasedUnits(a *account, now time.Time) Count { return largestGrant(a.grants, now) }

// update brings an account up to date: it drops grants that have ended, applies
// a raised floor, and starts a new hour. What the previous hour overspent is
// deducted from the new one.
func (l *Limiter) update(a *account, now time.Time) {
	if a.floor < a.targetFloor {
		if a.raiseFloorAt.IsZero() {
			a.raiseFloorAt = now.Add(RaiseDelay)
		} else if !now.Before(a.raiseFloorAt) {
			a.floor = a.targetFloor
		}
	}
	if !a.limit.PerHour {
		a.grants = prune(a.grants, now, maxCount)
		return
	}
	// A wall clock that steps back does not reopen an hour.
	if hour := HourOf(now); hour > a.hour {
		a.leasedUsed = max(0, a.leasedUsed-l.leasedUnits(a, now))
		a.floorUsed = max(0, a.floorUsed-a.floor)
		a.hour, a.grants, a.pendingRequest = hour, nil, 0
		a.peak, a.want, a.previousWant = 0, 0, 0
	}
}

// usableFloor returns the floor, or zero before FloorFrom. For an hourly limit
// it returns zero until the first full hour that starts at FloorFrom or later.
func (l *Limiter) usableFloor(a *account, now time.Time) Count {
	at := now
	if a.limit.PerHour {
		at = time.Unix(a.hour*3600, 0)
	}
	if at.Before(l.position.FloorFrom) {
		return 0
	}
	return a.floor
}

// canUse reports whether n more units can be used until the deadline, and
// whether they are leased or belong to the floor. With a zero deadline, only
// units of the floor can be used.
func (l *Limiter) canUse(a *account, now, deadline time.Time, n Count) (leased, ok bool) {
	if n <= l.usableFloor(a, now)-a.floorUsed {
		return false, true
	}
	if deadline.IsZero() {
		return true, false
	}
	return true, n <= largestGrant(a.grants, deadline.Add(Margin))-a.leasedUsed
}

// addUsed adds n to the units in use.
func (a *account) addUsed(leased bool, n Count) {
	if !leased {
		a.floorUsed += n
		return
	}
	a.leasedUsed += n
	a.peak = max(a.peak, a.leasedUsed)
}

package quota

import (
	"sort"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Book counts the units that one instance uses. It is not safe for concurrent
// use.
type Book struct {
	self     ident.Process
	place    Place
	accounts map[LimitName]*account
	// names holds the keys of accounts in order.
	names    []LimitName
	requests uint64
}

// account is one limit in a Book.
type account struct {
	limit   Limit
	removed bool
	// floor becomes target at raiseAt, which is set by the first call with a
	// time.
	floor, target Count
	raiseAt       time.Time
	// floorUsed and leasedUsed count the units in use, or the micros spent and
	// reserved in the hour.
	floorUsed, leasedUsed Count
	hour                  int64
	grants                []grant

	// peak is the highest leasedUsed since the last call of Demand; want and
	// lastWant are what the last two calls found.
	peak, want, lastWant Count
	// request is the number of the unanswered request, made at sent.
	request uint64
	sent    time.Time
}

// Units are what a started task holds of its limits.
type Units struct{ held []held }

type held struct {
	limit  LimitName
	leased bool
}

// Reservation is the estimated cost of a started task.
type Reservation struct {
	limit  LimitName
	leased bool
	hour   int64
	micros Count
}

// NewBook returns a Book without limits.
func NewBook(self ident.Process, place Place) *Book {
	return &Book{self: self, place: place, accounts: make(map[LimitName]*account)}
}

// SetLimits replaces the limits. A lower floor holds at once, a raised one
// after RaiseDelay. Tasks that run keep their units.
func (b *Book) SetLimits(limits []Limit) {
	for _, a := range b.accounts {
		a.removed = true
	}
	for _, l := range limits {
		a := b.accounts[l.Name]
		target := l.instanceFloor(b.place)
		if a == nil || a.limit.PerHour != l.PerHour {
			a = &account{floor: target}
			b.accounts[l.Name] = a
		}
		if target != a.target {
			a.raiseAt = time.Time{}
		}
		a.limit, a.removed, a.target, a.floor = l, false, target, min(a.floor, target)
	}
	b.names = b.names[:0]
	for name, a := range b.accounts {
		if a.removed && a.floorUsed == 0 && a.leasedUsed == 0 {
			delete(b.accounts, name)
			continue
		}
		b.names = append(b.names, name)
	}
	sort.Slice(b.names, func(i, j int) bool { return b.names[i] < b.names[j] })
}

// Take takes one unit from each of the limits, or none and returns false. The
// task must end by its deadline, and must not be sent after it: a leased unit
// is lent to another instance afterwards. Floors come first. Names without a
// limit, and limits per hour, are passed over.
func (b *Book) Take(now, deadline time.Time, limits ...LimitName) (Units, bool) {
	var u Units
	for _, name := range limits {
		a := b.accounts[name]
		if a == nil || a.removed || a.limit.PerHour {
			continue
		}
		b.update(a, now)
		leased, ok := b.find(a, now, deadline, 1)
		if !ok {
			return Units{}, false
		}
		u.held = append(u.held, held{limit: name, leased: leased})
	}
	for _, h := range u.held {
		b.accounts[h.limit].use(h.leased, 1)
	}
	return u, true
}

// TakeWithin takes units as Take does, for the latest deadline between least
// and most that they cover, and returns that deadline. The task must end by
// it, also when its own deadline is later.
func (b *Book) TakeWithin(now, least, most time.Time, limits ...LimitName) (Units, time.Time, bool) {
	if u, ok := b.Take(now, most, limits...); ok {
		return u, most, true
	}
	var ends []time.Time
	for _, name := range limits {
		a := b.accounts[name]
		if a == nil || a.limit.PerHour {
			continue
		}
		for _, g := range a.grants {
			// A grant covers deadlines that are more than Margin before its end.
			if end := g.end.Add(-Margin - 1); end.Before(most) && !end.Before(least) {
				ends = append(ends, end)
			}
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[j].Before(ends[i]) })
	for _, end := range ends {
		if u, ok := b.Take(now, end, limits...); ok {
			return u, end, true
		}
	}
	return Units{}, time.Time{}, false
}

// Has reports whether n more units of a limit can be used until the deadline.
// A name without a limit always has them.
func (b *Book) Has(now, deadline time.Time, name LimitName, n Count) bool {
	a := b.accounts[name]
	if a == nil || a.removed {
		return true
	}
	b.update(a, now)
	if a.limit.PerHour {
		deadline = now
	}
	_, ok := b.find(a, now, deadline, n)
	return ok
}

// Use describes one limit at an instance.
type Use struct {
	Limit   LimitName `json:"limit"`
	Max     Count     `json:"max"`
	PerHour bool      `json:"per-hour"`
	// Floor and Leased are the units that this instance may use now, Used
	// those in use, or the micros spent and reserved in the hour.
	Floor  Count `json:"floor"`
	Leased Count `json:"leased"`
	Used   Count `json:"used"`
}

// Uses describes the limits in the order of their names.
func (b *Book) Uses(now time.Time) []Use {
	uses := make([]Use, 0, len(b.names))
	for _, name := range b.names {
		a := b.accounts[name]
		b.update(a, now)
		uses = append(uses, Use{
			Limit:   name,
			Max:     a.limit.Max,
			PerHour: a.limit.PerHour,
			Floor:   b.usableFloor(a, now),
			Leased:  b.granted(a, now),
			Used:    a.floorUsed + a.leasedUsed,
		})
	}
	return uses
}

// Release gives back what Take took. It must be called once, when the task has
// ended.
func (b *Book) Release(now time.Time, u Units) {
	for _, h := range u.held {
		a := b.accounts[h.limit]
		b.update(a, now)
		a.use(h.leased, -1)
	}
}

// Reserve takes the estimated cost of a task out of a limit per hour, and
// returns false when too little is left. A name without a limit always has
// enough.
func (b *Book) Reserve(now time.Time, limit LimitName, estimate ident.Micros) (Reservation, bool) {
	a := b.accounts[limit]
	if a == nil || a.removed || !a.limit.PerHour {
		return Reservation{}, true
	}
	b.update(a, now)
	micros := Count(min(estimate, ident.Micros(unlimited)))
	leased, ok := b.find(a, now, now, micros)
	if !ok {
		return Reservation{}, false
	}
	a.use(leased, micros)
	return Reservation{limit: limit, leased: leased, hour: a.hour, micros: micros}, true
}

// Settle replaces a reservation by the actual cost, once the task has ended.
// The cost belongs to the hour of the reservation. What exceeds the estimate
// after that hour counts in the current one, and what an hour overspends
// reduces the next.
func (b *Book) Settle(now time.Time, r Reservation, actual ident.Micros) {
	a := b.accounts[r.limit]
	if a == nil {
		return
	}
	b.update(a, now)
	more := Count(min(actual, ident.Micros(unlimited))) - r.micros
	if r.hour == a.hour || more > 0 {
		a.use(r.leased, more)
	}
}

// Demand returns the requests for the units that this instance needs, to be
// sent to the granter of the data centre every few seconds, together with
// those of Excess. The argument counts, for each limit, the waiting tasks or
// their estimated cost.
func (b *Book) Demand(now time.Time, waiting map[LimitName]Count) []ShareRequest {
	var requests []ShareRequest
	for _, name := range b.names {
		a := b.accounts[name]
		b.update(a, now)
		free := max(0, b.usableFloor(a, now)-a.floorUsed)
		want := max(a.peak, a.leasedUsed) + max(0, waiting[name]-free)
		a.lastWant, a.want, a.peak = a.want, want, a.leasedUsed
		if a.removed {
			continue
		}
		// A need that lasts for one call only keeps its units for one more, so
		// that they do not move back and forth.
		units := max(a.leasedUsed, min(max(a.want, a.lastWant), a.limit.pool()))
		if units > 0 && units >= b.granted(a, now) {
			requests = append(requests, b.request(a, now, units))
		}
	}
	return requests
}

// Excess returns the requests that hand back the units beyond what the last
// two calls of Demand found. What remains is renewed.
func (b *Book) Excess(now time.Time) []ShareRequest {
	var requests []ShareRequest
	for _, name := range b.names {
		a := b.accounts[name]
		b.update(a, now)
		units := max(a.leasedUsed, min(max(a.want, a.lastWant), a.limit.pool()))
		if a.removed {
			units = a.leasedUsed
		}
		if units < b.granted(a, now) {
			requests = append(requests, b.request(a, now, units))
		}
	}
	return requests
}

// Accept uses a grant. Only the answer to the latest request about the limit
// counts, since a later request may have handed units back.
func (b *Book) Accept(now time.Time, g ShareGrant) {
	a := b.accounts[g.Limit]
	if a == nil || g.Number == 0 || g.Number != a.request {
		return
	}
	b.update(a, now)
	a.request = 0
	if !a.limit.PerHour {
		a.grants = append(a.grants, grant{units: g.Units, end: a.sent.Add(g.Lease)})
	} else if g.Hour == a.hour {
		a.grants = append(a.grants, grant{units: g.Units, end: endOfTime})
	}
}

// endOfTime is after each deadline. Grants of limits per hour are dropped when
// the hour changes, not by their end.
var endOfTime = time.Unix(1<<40, 0)

// request hands back what exceeds units and asks for that total.
func (b *Book) request(a *account, now time.Time, units Count) ShareRequest {
	b.requests++
	a.request, a.sent = b.requests, now
	a.grants = prune(a.grants, now, units)
	return ShareRequest{Number: b.requests, Holder: b.self, Limit: a.limit.Name, Units: units, Hour: a.hour}
}

// granted returns the leased units that the account may use now.
func (b *Book) granted(a *account, now time.Time) Count { return largest(a.grants, now) }

// update brings an account to the present: it drops grants that have ended,
// applies a raised floor, and starts a new hour.
func (b *Book) update(a *account, now time.Time) {
	if a.floor < a.target {
		if a.raiseAt.IsZero() {
			a.raiseAt = now.Add(RaiseDelay)
		} else if !now.Before(a.raiseAt) {
			a.floor = a.target
		}
	}
	if !a.limit.PerHour {
		a.grants = prune(a.grants, now, unlimited)
		return
	}
	// A wall clock that steps back does not reopen an hour.
	if hour := HourOf(now); hour > a.hour {
		a.leasedUsed = max(0, a.leasedUsed-b.granted(a, now))
		a.floorUsed = max(0, a.floorUsed-a.floor)
		a.hour, a.grants, a.request = hour, nil, 0
		a.peak, a.want, a.lastWant = 0, 0, 0
	}
}

// usableFloor returns the floor, or zero before FloorFrom.
func (b *Book) usableFloor(a *account, now time.Time) Count {
	since := now
	if a.limit.PerHour {
		since = time.Unix(a.hour*3600, 0)
	}
	if since.Before(b.place.FloorFrom) {
		return 0
	}
	return a.floor
}

// find reports whether n more units can be used until the deadline, and
// whether they are leased ones.
func (b *Book) find(a *account, now, deadline time.Time, n Count) (leased, ok bool) {
	if n <= b.usableFloor(a, now)-a.floorUsed {
		return false, true
	}
	if deadline.IsZero() {
		return true, false
	}
	return true, n <= largest(a.grants, deadline.Add(Margin))-a.leasedUsed
}

// use adds n to the units in use.
func (a *account) use(leased bool, n Count) {
	if !leased {
		a.floorUsed += n
		return
	}
	a.leasedUsed += n
	a.peak = max(a.peak, a.leasedUsed)
}

package endpoints

import (
	"math"
	"math/bits"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// process names one process of an endpoint.
type process struct {
	id          ident.EndpointID
	incarnation ident.Incarnation
}

// phase is the place of an endpoint in the cycle of ejection.
type phase int

const (
	inUse phase = iota
	ejected
	onProbation
)

// endpoint is the state of one endpoint process.
type endpoint struct {
	process
	row work.Instance
	// answered is the number of slots that the endpoint itself named, or zero.
	answered int
	running  int
	// retired is true once the process left the owned set, by removal or by a
	// new incarnation. It stays known until its tasks end.
	retired  bool
	draining bool
	// listed is the number of the SetOwned call that last named the endpoint.
	listed uint64

	// outside is the number of slots assumed in use by other owners. It falls
	// by one at outsideUntil.
	outside      int
	outsideUntil time.Time
	// blockedUntil ends the back-off after a refusal; refusals counts the
	// refusals without a success between.
	blockedUntil time.Time
	refusals     int

	phase phase
	// until is the end of the current or latest ejection.
	until     time.Time
	ejections int
	// reason explains the latest ejection, or why one is due while the limit
	// of ejected endpoints is reached.
	reason string
	// failing is true while an ejection is due but not possible.
	failing     bool
	passed      int
	consecutive int
	// history holds the latest outcomes, failures as ones, newest lowest.
	history uint64
	counted int

	speed average
	// key is the learned slowness, a natural logarithm; factor is exp(key).
	key, factor float64
	// limit is the key above which the endpoint is a straggler.
	limit float64
	// observed is true if the speed was observed since the last refresh.
	observed bool

	share share
	at    [heapKinds]int
}

// share is what one endpoint contributes to the totals of the pool.
type share struct {
	members, ejected  int
	failures, counted int
	// slots counts usable slots, rate is slots by factor, and capacity leaves
	// out the slots that other owners use.
	slots          int
	rate, capacity float64
	// The first-choice endpoints are neither failing nor stragglers. busyRate
	// is the rate at which their slots become free.
	firstSlots          int
	firstRate, busyRate float64
	// free counts the first-choice slots that Pick would take now, and reserve
	// those of stragglers and failing endpoints.
	free, reserve int
}

func (s *share) add(o *share, sign int) {
	f := float64(sign)
	s.members += sign * o.members
	s.ejected += sign * o.ejected
	s.failures += sign * o.failures
	s.counted += sign * o.counted
	s.slots += sign * o.slots
	s.rate += f * o.rate
	s.capacity += f * o.capacity
	s.firstSlots += sign * o.firstSlots
	s.firstRate += f * o.firstRate
	s.busyRate += f * o.busyRate
	s.free += sign * o.free
	s.reserve += sign * o.reserve
}

// member reports whether the endpoint may get new work, now or after an
// ejection.
func (e *endpoint) member() bool { return !e.retired && !e.draining && !e.row.Leaving }

// slots returns the number of slots of the endpoint.
func (e *endpoint) slots() int {
	if e.answered > 0 {
		return e.answered
	}
	return max(e.row.Slots, 0)
}

// usable returns the number of slots that may be in use at once.
func (e *endpoint) usable() int {
	switch {
	case !e.member() || e.phase == ejected:
		return 0
	case e.phase == onProbation:
		return min(e.slots(), 1)
	default:
		return e.slots()
	}
}

func (e *endpoint) straggler() bool { return e.key > e.limit }

// second reports whether the endpoint is used only when no other is free.
func (e *endpoint) second() bool { return e.failing || e.straggler() }

// free returns the number of slots that Pick may take now.
func (e *endpoint) free() int {
	if !e.blockedUntil.IsZero() {
		return 0
	}
	return max(e.usable()-e.running-e.outside, 0)
}

func (e *endpoint) shareNow() share {
	if !e.member() {
		return share{}
	}
	usable := e.usable()
	s := share{
		members:  1,
		failures: e.failures(),
		counted:  e.counted,
		slots:    usable,
		rate:     float64(usable) / e.factor,
		capacity: float64(max(usable-e.outside, 0)) / e.factor,
	}
	if e.phase == ejected {
		s.ejected = 1
	}
	if e.second() {
		s.reserve = e.free()
		return s
	}
	s.firstSlots, s.firstRate = usable, s.rate
	s.busyRate = float64(min(e.running+e.outside, usable)) / e.factor
	s.free = e.free()
	return s
}

// wake returns when the endpoint's state next changes by itself, or zero.
func (e *endpoint) wake() time.Time {
	if !e.member() {
		return time.Time{}
	}
	next := earliest(e.blockedUntil, e.outsideUntil)
	if e.phase == ejected {
		next = earliest(next, e.until)
	}
	return next
}

// earliest returns the earlier of two times, where zero stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// rekey takes the learned slowness into the keys that choices compare.
func (e *endpoint) rekey(shrinkage float64) {
	e.key = e.speed.towards(0, shrinkage)
	e.factor = math.Exp(e.key)
}

func (e *endpoint) failures() int { return bits.OnesCount64(e.history) }

// remember adds an outcome to the history.
func (e *endpoint) remember(failure bool, window int) {
	e.history <<= 1
	if failure {
		e.history |= 1
		e.consecutive++
	} else {
		e.consecutive = 0
	}
	e.history &= ^uint64(0) >> (64 - window)
	e.counted = min(e.counted+1, window)
}

// forget drops the history, so that outcomes before an ejection do not count
// after it.
func (e *endpoint) forget() {
	e.history, e.counted, e.consecutive, e.passed = 0, 0, 0, 0
	e.failing = false
}

// before orders endpoints by estimated completion time. A task starts at once
// on any free slot, so the order is that of slowness, whatever the size. Among
// equals the one with the fewest tasks comes first, so that a fault at one
// endpoint touches few of them.
func before(a, b *endpoint) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	if a.running != b.running {
		return a.running < b.running
	}
	return a.id < b.id
}

// beforeReserve orders stragglers before failing endpoints.
func beforeReserve(a, b *endpoint) bool {
	if a.failing != b.failing {
		return b.failing
	}
	return before(a, b)
}

// wakesBefore orders endpoints by their next change of state, and by id at the
// same time, so that a run can be repeated exactly.
func wakesBefore(a, b *endpoint) bool {
	if order := a.wake().Compare(b.wake()); order != 0 {
		return order < 0
	}
	return a.id < b.id
}

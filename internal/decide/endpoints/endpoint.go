package endpoints

import (
	"math"
	"math/bits"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// endpointProcess identifies one process of an endpoint: a restart of the
// endpoint has the same id and a higher incarnation.
type endpointProcess struct {
	id          ident.EndpointID
	incarnation ident.Incarnation
}

// ejectionState tells whether an endpoint is ejected or on probation.
type ejectionState int

const (
	// normal: neither ejected nor on probation.
	normal ejectionState = iota
	// ejected: the endpoint gets no tasks until ejectedUntil.
	ejected
	// onProbation: after an ejection, the endpoint gets one task at a time
	// until enough of them have succeeded.
	onProbation
)

// endpoint is the state of one endpoint process.
type endpoint struct {
	endpointProcess
	instance work.Instance
	// reportedSlots is the number of slots that the endpoint reported in its
	// status, or zero if it reported none.
	reportedSlots int
	// running is the number of tasks of this pool in flight at the process.
	running int
	// retired is set when the process leaves the owned set or is replaced by a
	// new incarnation. The pool keeps the process until its tasks have ended.
	// draining is set when the endpoint itself has reported that it accepts no
	// more tasks; instance.Leaving is set by the platform's list. With any of
	// the three, the endpoint gets no new tasks and is reported as
	// StateLeaving.
	retired  bool
	draining bool
	// ownedGeneration is the generation of the latest owned set with the
	// endpoint.
	ownedGeneration uint64

	// external is the number of slots assumed to be in use by other owners. It
	// is reduced by one at externalDecreaseAt, which is zero if external is
	// zero.
	external           int
	externalDecreaseAt time.Time
	// backOffUntil is the end of the back-off after a refusal or a failed
	// connection, zero if there is none. backOffs counts the back-offs since
	// the last success.
	backOffUntil time.Time
	backOffs     int

	phase ejectionState
	// ejectedUntil is the end of the current or latest ejection.
	ejectedUntil time.Time
	// ejections counts the ejections that lengthen the next one; see
	// Config.EjectionMin.
	ejections int
	// reason explains the latest ejection or, while failing is set, the pending
	// one.
	reason string
	// failing is set while an ejection is pending because the limit of ejected
	// endpoints is reached.
	failing bool
	// probationSuccesses counts the successes of the current probation,
	// consecutiveFailures the failures since the last success.
	probationSuccesses  int
	consecutiveFailures int
	// history holds the latest outcomes as bits, the newest in the lowest bit
	// and failures as ones. outcomes is the number of bits in use.
	history  uint64
	outcomes int

	// slownessAverage is the average of the observed slowness; see model.
	slownessAverage average
	// slowness is the learned slowness of the endpoint, a natural logarithm.
	// runTimeFactor is exp(slowness), the ratio of run times at the endpoint to
	// those at an endpoint of median speed, whose slowness is 0. The speed
	// shown in Health is 1/runTimeFactor.
	slowness, runTimeFactor float64
	// stragglerLimit is the slowness above which the endpoint is a straggler.
	stragglerLimit float64
	// observedSinceRefresh is set if a run time was observed since the last
	// refresh.
	observedSinceRefresh bool

	// contribution is the part of the pool's totals that stems from the
	// endpoint.
	contribution contribution
	// heapIndex holds the index of the endpoint in each heap, by heap kind.
	heapIndex [heapKindCount]int
}

// contribution is what one endpoint adds to the totals of the pool. Pool.total,
// which has the same type, is the sum over the owned endpoints. Endpoints that
// are not eligible for new work add nothing.
type contribution struct {
	eligibleEndpoints, ejected int
	failures, outcomes         int
	// slots counts the usable slots. rate is slots divided by runTimeFactor,
	// that is, the number of tasks that the slots complete in the time that one
	// task takes at an endpoint of median speed. rateWithoutExternal is the
	// same without the slots that other owners use.
	slots                     int
	rate, rateWithoutExternal float64
	// Preferred endpoints are neither failing nor stragglers; the others are
	// the reserve. preferredRate is the rate of the preferred slots, and
	// busyRate the rate at which those in use become free.
	preferredSlots          int
	preferredRate, busyRate float64
	// preferredFree counts the slots of preferred endpoints that Pick may take
	// now, and reserveFree those of reserve endpoints.
	preferredFree, reserveFree int
}

// add adds o to c, or subtracts it when sign is -1.
func (c *contribution) add(o *contribution, sign int) {
	f := float64(sign)
	c.eligibleEndpoints += sign * o.eligibleEndpoints
	c.ejected += sign * o.ejected
	c.failures += sign * o.failures
	c.outcomes += sign * o.outcomes
	c.slots += sign * o.slots
	c.rate += f * o.rate
	c.rateWithoutExternal += f * o.rateWithoutExternal
	c.preferredSlots += sign * o.preferredSlots
	c.preferredRate += f * o.preferredRate
	c.busyRate += f * o.busyRate
	c.preferredFree += sign * o.preferredFree
	c.reserveFree += sign * o.reserveFree
}

// eligible reports whether the endpoint may get new work, now or after an
// ejection ends.
func (e *endpoint) eligible() bool { return !e.retired && !e.draining && !e.instance.Leaving }

// slots returns the number of slots of the endpoint.
func (e *endpoint) slots() int {
	if e.reportedSlots > 0 {
		return e.reportedSlots
	}
	return max(e.instance.Slots, 0)
}

// usable returns the number of slots that may be in use at the same time.
func (e *endpoint) usable() int {
	switch {
	case !e.eligible() || e.phase == ejected:
		return 0
	case e.phase == onProbation:
		return min(e.slots(), 1)
	default:
		return e.slots()
	}
}

func (e *endpoint) straggler() bool { return e.slowness > e.stragglerLimit }

// isReserve reports whether the endpoint is used only when no preferred one is
// free.
func (e *endpoint) isReserve() bool { return e.failing || e.straggler() }

// free returns the number of slots that Pick may take now.
func (e *endpoint) free() int {
	if !e.backOffUntil.IsZero() {
		return 0
	}
	return max(e.usable()-e.running-e.external, 0)
}

// currentContribution computes what the endpoint adds to the totals in its
// current state.
func (e *endpoint) currentContribution() contribution {
	if !e.eligible() {
		return contribution{}
	}
	usable := e.usable()
	c := contribution{
		eligibleEndpoints:   1,
		failures:            e.failures(),
		outcomes:            e.outcomes,
		slots:               usable,
		rate:                float64(usable) / e.runTimeFactor,
		rateWithoutExternal: float64(max(usable-e.external, 0)) / e.runTimeFactor,
	}
	if e.phase == ejected {
		c.ejected = 1
	}
	if e.isReserve() {
		c.reserveFree = e.free()
		return c
	}
	c.preferredSlots, c.preferredRate = usable, c.rate
	c.busyRate = float64(min(e.running+e.external, usable)) / e.runTimeFactor
	c.preferredFree = e.free()
	return c
}

// nextChange returns when the state of the endpoint next changes by the passage
// of time, or zero if no such change is pending.
func (e *endpoint) nextChange() time.Time {
	if !e.eligible() {
		return time.Time{}
	}
	next := earliest(e.backOffUntil, e.externalDecreaseAt)
	if e.phase == ejected {
		next = earliest(next, e.ejectedUntil)
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

// updateSlowness recomputes slowness and runTimeFactor from the average
// slowness. The prior slowness of 0 has the weight shrinkage, in observations.
func (e *endpoint) updateSlowness(shrinkage float64) {
	e.slowness = e.slownessAverage.withPrior(0, shrinkage)
	e.runTimeFactor = math.Exp(e.slowness)
}

func (e *endpoint) failures() int { return bits.OnesCount64(e.history) }

// addOutcome adds an outcome to the history, which keeps the latest window
// outcomes.
func (e *endpoint) addOutcome(failure bool, window int) {
	e.history <<= 1
	if failure {
		e.history |= 1
		e.consecutiveFailures++
	} else {
		e.consecutiveFailures = 0
	}
	e.history &= ^uint64(0) >> (64 - window)
	e.outcomes = min(e.outcomes+1, window)
}

// clearHistory clears the history and the counts of successes and failures, so
// that outcomes from before an ejection or a probation do not count after it.
// It also withdraws a pending ejection.
func (e *endpoint) clearHistory() {
	e.history, e.outcomes, e.consecutiveFailures, e.probationSuccesses = 0, 0, 0, 0
	e.failing = false
}

// lessByCompletion orders endpoints by the estimated completion time of a new
// task. The task would start immediately on any free slot, so the order is that
// of slowness, independent of the task's size. Among equally fast endpoints the
// one with the fewest running tasks comes first, so that a fault of one
// endpoint affects few tasks.
func lessByCompletion(a, b *endpoint) bool {
	if a.slowness != b.slowness {
		return a.slowness < b.slowness
	}
	if a.running != b.running {
		return a.running < b.running
	}
	return a.id < b.id
}

// lessReserve orders stragglers before failing endpoints, and otherwise by
// estimated completion time.
func lessReserve(a, b *endpoint) bool {
	if a.failing != b.failing {
		return b.failing
	}
	return lessByCompletion(a, b)
}

// lessNextChange orders endpoints by the time of their next change and, for
// equal times, by id, so that simulation runs are reproducible.
func lessNextChange(a, b *endpoint) bool {
	if order := a.nextChange().Compare(b.nextChange()); order != 0 {
		return order < 0
	}
	return a.id < b.id
}

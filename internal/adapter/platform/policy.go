package platform

import (
	"math/rand/v2"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Limits of the calls that one instance makes to the platform.
const (
	// callCost is the budget that one call uses. The call budget is a token
	// bucket whose content is a duration: it grows by the time that passes, so
	// that 200 ms for each call allow 5 calls/s.
	callCost = 200 * time.Millisecond
	// callBurst is the number of calls that a full budget allows at once.
	callBurst = 20
	// minBackOff and maxBackOff bound the wait after a failure.
	minBackOff = 100 * time.Millisecond
	maxBackOff = 10 * time.Second
	// openAfter is the number of consecutive failures that opens the breaker.
	openAfter = 5
)

// Breaker is the state of the circuit breaker.
type Breaker string

// The states of the circuit breaker.
const (
	// BreakerClosed lets calls pass.
	BreakerClosed Breaker = "closed"
	// BreakerOpen lets one call pass after each back-off, as a probe.
	BreakerOpen Breaker = "open"
)

// Policy decides whether a call to the platform may be made now, from the call
// budget and the circuit breaker. It has no clock: its methods take the
// current time. It is not safe for concurrent use.
type Policy struct {
	random *rand.Rand
	// budget is the unused part of the call budget; a call uses callCost of it.
	// Whole nanoseconds keep it exact over any number of calls.
	budget time.Duration
	// refilledAt is when the budget was last refilled.
	refilledAt time.Time
	// failures counts the failures since the last success until the breaker
	// opens, plus the probes since then.
	failures int
	// probeAt is when the open breaker lets the next call pass.
	probeAt time.Time
}

// NewPolicy returns a policy with a full budget at time now. The random source
// adds jitter to the back-off.
func NewPolicy(now time.Time, random *rand.Rand) *Policy {
	return &Policy{random: random, budget: callBurst * callCost, refilledAt: now}
}

// Admit reports whether a call may be made now, and charges it to the budget.
// The error has kind fault.StoreUnavailable while the breaker is open and
// fault.BudgetExhausted when the budget is spent. Both say when to try again; a
// rejected call uses no budget and is no probe.
//
// A call that passes the open breaker is a probe. It blocks other calls for at
// most one back-off, because a watch may take much longer to return than the
// store takes to recover.
func (p *Policy) Admit(now time.Time) *fault.Error {
	open := p.Breaker() == BreakerOpen
	if open && now.Before(p.probeAt) {
		return fault.New(fault.StoreUnavailable, fault.RanNo).
			WithDetail("the circuit breaker is open").WithRetryAfter(p.probeAt.Sub(now))
	}
	p.refill(now)
	if p.budget < callCost {
		return fault.New(fault.BudgetExhausted, fault.RanNo).
			WithDetail("the call budget is spent").WithRetryAfter(callCost - p.budget)
	}
	p.budget -= callCost
	if open {
		p.failures++
		p.probeAt = now.Add(p.backOff())
	}
	return nil
}

// RecordSuccess records that the platform answered with a status other than 429
// and 5xx.
func (p *Policy) RecordSuccess() { p.failures = 0 }

// RecordFailure records that a call got no complete reply, or status 429 or
// 5xx, and returns how long to wait before the next try.
//
// While the breaker is open, Admit counts the probes, and RecordFailure does
// not count failures: otherwise the calls in flight when the breaker opened
// would lengthen the back-off all at once.
func (p *Policy) RecordFailure(now time.Time) time.Duration {
	if p.Breaker() == BreakerOpen {
		return max(p.probeAt.Sub(now), 0)
	}
	p.failures++
	wait := p.backOff()
	p.probeAt = now.Add(wait)
	return wait
}

// Breaker returns the state of the circuit breaker.
func (p *Policy) Breaker() Breaker {
	if p.failures >= openAfter {
		return BreakerOpen
	}
	return BreakerClosed
}

// refill adds the budget earned since the last refill, up to the full budget.
func (p *Policy) refill(now time.Time) {
	if !now.After(p.refilledAt) {
		return
	}
	p.budget = min(p.budget+now.Sub(p.refilledAt), callBurst*callCost)
	p.refilledAt = now
}

// backOff returns the wait before the next try. It is random between half of a
// maximum and that maximum, which doubles with each failure, so that instances
// do not all call at the same time after an outage.
func (p *Policy) backOff() time.Duration {
	low, high := backOffRange(p.failures)
	return low + time.Duration(p.random.Int64N(int64(high-low)+1))
}

// backOffRange returns the bounds of the wait after n consecutive failures.
func backOffRange(n int) (low, high time.Duration) {
	high = maxBackOff
	if shift := max(n, 1); shift < 10 {
		high = min(minBackOff<<shift, maxBackOff)
	}
	return high / 2, high
}

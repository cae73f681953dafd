package platform

import (
	"math/rand/v2"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Limits of the calls that one instance makes to the platform.
const (
	// callCost is the budget that one call uses: 5 calls/s.
	callCost = 200 * time.Millisecond
	// callBurst is how many calls the full budget allows at once.
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
	// BreakerOpen lets one call pass after each back-off.
	BreakerOpen Breaker = "open"
)

// Policy decides whether a call to the platform may be made now. It holds no
// clock; the caller passes the time in. It is not safe for concurrent use.
type Policy struct {
	random *rand.Rand
	// credit is the budget left, as the time that would earn it. Whole
	// nanoseconds keep the budget exact over any number of calls.
	credit   time.Duration
	earned   time.Time
	failures int
	// probeAt is when the open breaker lets the next call pass.
	probeAt time.Time
}

// NewPolicy returns a policy with a full budget at time now. The random source
// spreads the back-off.
func NewPolicy(now time.Time, random *rand.Rand) *Policy {
	return &Policy{random: random, credit: callBurst * callCost, earned: now}
}

// Admit reports whether a call may be made now, and charges it to the budget.
// The failure has kind fault.StoreUnavailable while the breaker is open and
// fault.BudgetExhausted when the budget is spent; both say when to try again
// and neither changes the policy.
//
// A call that passes the open breaker is a probe. It holds other calls back for
// at most one back-off, because a watch may take much longer to end than the
// store takes to recover.
func (p *Policy) Admit(now time.Time) *fault.Error {
	open := p.Breaker() == BreakerOpen
	if open && now.Before(p.probeAt) {
		return fault.New(fault.StoreUnavailable, fault.RanNo).
			WithDetail("the circuit breaker is open").WithRetryAfter(p.probeAt.Sub(now))
	}
	p.earn(now)
	if p.credit < callCost {
		return fault.New(fault.BudgetExhausted, fault.RanNo).
			WithDetail("the call budget is spent").WithRetryAfter(callCost - p.credit)
	}
	p.credit -= callCost
	if open {
		p.failures++
		p.probeAt = now.Add(p.backOff())
	}
	return nil
}

// Succeeded records that the platform answered.
func (p *Policy) Succeeded() { p.failures = 0 }

// Failed records that the platform did not answer and returns how long to wait
// before the next try.
//
// An open breaker counts its probes when it admits them, and not their
// failures: the calls that were in progress when the breaker opened would
// otherwise lengthen the back-off all at once.
func (p *Policy) Failed(now time.Time) time.Duration {
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

func (p *Policy) earn(now time.Time) {
	if !now.After(p.earned) {
		return
	}
	p.credit = min(p.credit+now.Sub(p.earned), callBurst*callCost)
	p.earned = now
}

// backOff returns a wait that doubles with each failure and is spread over its
// upper half, so that instances do not return together after an outage.
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

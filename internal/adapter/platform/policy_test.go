package platform

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

// referencePolicy decides from the whole history of calls. It shares no state
// with Policy and stores neither a remaining budget nor a back-off.
type referencePolicy struct {
	admitted []time.Time
	// failures counts the failures since the last success.
	failures int
	// backOffStart is when the current back-off began: at the last counted
	// failure or probe.
	backOffStart time.Time
	// probes counts the probes since the last success.
	probes int
}

// withinBudget reports whether, with one more call, every past period still has
// at most 20 calls plus 5 calls/s.
func (ref *referencePolicy) withinBudget(now time.Time) bool {
	for i, first := range ref.admitted {
		calls := len(ref.admitted) - i + 1
		if time.Duration(calls-20)*time.Second > 5*now.Sub(first) {
			return false
		}
	}
	return true
}

func (ref *referencePolicy) open() bool { return ref.failures >= 5 }

// backOffBounds returns the shortest and longest back-off allowed now.
func (ref *referencePolicy) backOffBounds() (low, high time.Duration) {
	high = 200 * time.Millisecond
	for range min(ref.failures+ref.probes, 20) - 1 {
		high *= 2
	}
	high = min(high, 10*time.Second)
	return high / 2, high
}

// TestPolicyMatchesReference guards against calls that exceed the budget, calls
// refused within the budget, a breaker that opens late or never, and probes
// that are too early or missing.
func TestPolicyMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := NewPolicy(now, rand.New(rand.NewPCG(1, 2)))
		var ref referencePolicy
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait")))
			},
			"wait long": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(12*time.Second)).Draw(t, "wait")))
			},
			"calls": func(t *rapid.T) {
				for range rapid.IntRange(1, 25).Draw(t, "calls") {
					checkAdmit(t, p, &ref, now)
				}
			},
			"succeed": func(*rapid.T) {
				p.RecordSuccess()
				ref.failures, ref.probes = 0, 0
			},
			"fail": func(t *rapid.T) {
				wait := p.RecordFailure(now)
				if ref.open() {
					return
				}
				ref.failures++
				ref.backOffStart = now
				if low, high := ref.backOffBounds(); wait < low || wait > high {
					t.Fatalf("back-off %v after %d failures", wait, ref.failures)
				}
			},
			"": func(t *rapid.T) {
				if (p.Breaker() == BreakerOpen) != ref.open() {
					t.Fatalf("breaker %v after %d failures", p.Breaker(), ref.failures)
				}
			},
		})
	})
}

// checkAdmit admits one call and compares the decision with the reference.
func checkAdmit(t *rapid.T, p *Policy, ref *referencePolicy, now time.Time) {
	err := p.Admit(now)
	low, high := ref.backOffBounds()
	since := now.Sub(ref.backOffStart)
	switch {
	case err == nil:
		if !ref.withinBudget(now) {
			t.Fatal("admitted beyond the budget")
		}
		if ref.open() && since < low {
			t.Fatalf("admitted %v after the back-off began, before %v", since, low)
		}
		ref.admitted = append(ref.admitted, now)
		if ref.open() {
			ref.probes++
			ref.backOffStart = now
		}
	case err.Kind == fault.BudgetExhausted:
		if ref.withinBudget(now) {
			t.Fatal("refused within the budget")
		}
		if err.RetryAfter <= 0 || !ref.withinBudget(now.Add(err.RetryAfter)) {
			t.Fatalf("retry after %v is too early", err.RetryAfter)
		}
	case err.Kind == fault.StoreUnavailable:
		if !ref.open() || since >= high {
			t.Fatalf("blocked %v after the back-off began, after %d failures", since, ref.failures)
		}
	default:
		t.Fatal(err)
	}
}

// TestProbeBackOff guards against a back-off between probes that does not grow
// during an outage or grows beyond its maximum, against calls in flight that
// lengthen the first back-off when they fail, and against a probe that does not
// return and blocks all other calls.
func TestProbeBackOff(t *testing.T) {
	begin := time.Unix(1000, 0)
	p := NewPolicy(begin, rand.New(rand.NewPCG(1, 2)))
	for range 40 {
		p.RecordFailure(begin)
	}
	last, probes := begin, 0
	for now := begin; now.Before(begin.Add(5 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if p.Admit(now) != nil {
			continue
		}
		// The breaker opened with the 5th failure, so the first back-off is at most
		// 200 ms doubled 4 times.
		high := min(3200*time.Millisecond<<min(probes, 2), 10*time.Second)
		if gap := now.Sub(last); gap < high/2 || gap > high+10*time.Millisecond {
			t.Fatalf("probe %d after %v, not within %v to %v", probes, gap, high/2, high)
		}
		last = now
		probes++
		// Every second probe is a watch that has not returned yet.
		if probes%2 == 0 {
			p.RecordFailure(now)
		}
	}
	if probes < 30 {
		t.Fatalf("%d probes in 5 min", probes)
	}
}

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { rapidseed.Run(m, nil) }

package platform

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

// naivePolicy decides from the whole history of calls. It shares no state with
// Policy and keeps neither a credit nor a back-off.
type naivePolicy struct {
	admitted []time.Time
	// failures counts the failures since the last success.
	failures int
	// armed is when the back-off last began: the last counted failure or probe.
	armed  time.Time
	probes int
}

// budgeted reports whether one more call keeps every period of the past within
// a burst of 20 and 5 calls/s.
func (n *naivePolicy) budgeted(now time.Time) bool {
	for i, first := range n.admitted {
		calls := len(n.admitted) - i + 1
		if time.Duration(calls-20)*time.Second > 5*now.Sub(first) {
			return false
		}
	}
	return true
}

func (n *naivePolicy) open() bool { return n.failures >= 5 }

// bounds returns the shortest and longest back-off in force.
func (n *naivePolicy) bounds() (low, high time.Duration) {
	high = 200 * time.Millisecond
	for range min(n.failures+n.probes, 20) - 1 {
		high *= 2
	}
	high = min(high, 10*time.Second)
	return high / 2, high
}

// TestPolicy guards against calls beyond the budget, calls refused within it, a
// breaker that opens late or never, and probes that come too early or not at
// all.
func TestPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := NewPolicy(now, rand.New(rand.NewPCG(1, 2)))
		var n naivePolicy
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait")))
			},
			"wait long": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(12*time.Second)).Draw(t, "wait")))
			},
			"calls": func(t *rapid.T) {
				for range rapid.IntRange(1, 25).Draw(t, "calls") {
					admit(t, p, &n, now)
				}
			},
			"succeed": func(*rapid.T) {
				p.Succeeded()
				n.failures, n.probes = 0, 0
			},
			"fail": func(t *rapid.T) {
				wait := p.Failed(now)
				if n.open() {
					return
				}
				n.failures++
				n.armed = now
				if low, high := n.bounds(); wait < low || wait > high {
					t.Fatalf("back-off %v after %d failures", wait, n.failures)
				}
			},
			"": func(t *rapid.T) {
				if (p.Breaker() == BreakerOpen) != n.open() {
					t.Fatalf("breaker %v after %d failures", p.Breaker(), n.failures)
				}
			},
		})
	})
}

// admit makes one call and compares the decision with the naive one.
func admit(t *rapid.T, p *Policy, n *naivePolicy, now time.Time) {
	err := p.Admit(now)
	low, high := n.bounds()
	since := now.Sub(n.armed)
	switch {
	case err == nil:
		if !n.budgeted(now) {
			t.Fatal("admitted beyond the budget")
		}
		if n.open() && since < low {
			t.Fatalf("admitted %v after the breaker was armed, before %v", since, low)
		}
		n.admitted = append(n.admitted, now)
		if n.open() {
			n.probes++
			n.armed = now
		}
	case err.Kind == fault.BudgetExhausted:
		if n.budgeted(now) {
			t.Fatal("refused within the budget")
		}
		if err.RetryAfter <= 0 || !n.budgeted(now.Add(err.RetryAfter)) {
			t.Fatalf("retry after %v is too early", err.RetryAfter)
		}
	case err.Kind == fault.StoreUnavailable:
		if !n.open() || since >= high {
			t.Fatalf("blocked %v after the breaker was armed, after %d failures", since, n.failures)
		}
	default:
		t.Fatal(err)
	}
}

// TestPolicyOutage guards against probes that do not slow down during an outage
// or slow down without bound, against calls in progress that lengthen the first
// back-off, and against a probe that never ends and blocks all other calls.
func TestPolicyOutage(t *testing.T) {
	begin := time.Unix(1000, 0)
	p := NewPolicy(begin, rand.New(rand.NewPCG(1, 2)))
	for range 40 {
		p.Failed(begin)
	}
	last, probes := begin, 0
	for now := begin; now.Before(begin.Add(5 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if p.Admit(now) != nil {
			continue
		}
		high := min(3200*time.Millisecond<<min(probes, 2), 10*time.Second)
		if gap := now.Sub(last); gap < high/2 || gap > high+10*time.Millisecond {
			t.Fatalf("probe %d after %v, not within %v to %v", probes, gap, high/2, high)
		}
		last = now
		probes++
		// Every second probe is a watch that has not ended yet.
		if probes%2 == 0 {
			p.Failed(now)
		}
	}
	if probes < 30 {
		t.Fatalf("%d probes in 5 min", probes)
	}
}

// TestMain fixes the seed of the generated tests.
func TestMain(m *testing.M) { rapidseed.Run(m, nil) }

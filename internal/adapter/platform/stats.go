package platform

import (
	"maps"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Stats has the counters of a client.
type Stats struct {
	// Calls counts the calls made, by kind: get, put, delete, watch,
	// grant-lease, keep-lease, revoke-lease, list.
	Calls map[string]uint64
	// Failures counts the calls that got no complete reply, or status 429 or
	// 5xx.
	Failures uint64
	// Abandoned counts the calls that failed because their context was
	// cancelled.
	Abandoned uint64
	// Conflicts counts the compare-and-swaps that found a different revision.
	Conflicts uint64
	// Unbudgeted counts the calls not made because the budget was spent.
	Unbudgeted uint64
	// Blocked counts the calls not made because the breaker was open.
	Blocked uint64
	Breaker Breaker
	// InvalidRow says what is wrong with the first invalid row of the latest
	// list of instances, or is empty.
	InvalidRow string
}

// Stats returns a copy of the counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Calls = maps.Clone(c.stats.Calls)
	s.Breaker = c.policy.Breaker()
	return s
}

// admit asks the policy whether a call may be made and counts the decision.
func (c *Client) admit(kind callKind) *fault.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.policy.Admit(c.settings.Clock.Now())
	switch {
	case err == nil:
		c.stats.Calls[string(kind)]++
	case err.Kind == fault.BudgetExhausted:
		c.stats.Unbudgeted++
	default:
		c.stats.Blocked++
	}
	return err
}

func (c *Client) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy.RecordSuccess()
}

func (c *Client) recordFailure() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Failures++
	return c.policy.RecordFailure(c.settings.Clock.Now())
}

func (c *Client) recordAbandoned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Abandoned++
}

func (c *Client) recordConflict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Conflicts++
}

package platform

import (
	"maps"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Stats counts what a client did.
type Stats struct {
	// Calls counts the calls made, by kind: get, put, delete, watch,
	// grant-lease, keep-lease, revoke-lease, list.
	Calls map[string]uint64
	// Failures counts the calls that the platform did not answer.
	Failures uint64
	// Abandoned counts the calls that the caller gave up.
	Abandoned uint64
	// Conflicts counts the compare-and-swaps that found another revision.
	Conflicts uint64
	// Unbudgeted counts the calls not made because the budget was spent.
	Unbudgeted uint64
	// Blocked counts the calls not made because the breaker was open.
	Blocked uint64
	Breaker Breaker
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

func (c *Client) succeeded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy.Succeeded()
}

func (c *Client) failed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Failures++
	return c.policy.Failed(c.settings.Clock.Now())
}

func (c *Client) abandoned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Abandoned++
}

func (c *Client) conflicted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Conflicts++
}

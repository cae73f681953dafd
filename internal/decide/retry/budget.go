// Package retry decides whether a task is retried after an attempt and whether
// a slow attempt is hedged, and limits the retries and hedges of an instance by
// a budget.
package retry

import (
	"math"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Config holds the limits of a Budget.
type Config struct {
	// Fraction is the number of retries and hedges allowed for each first
	// attempt in the window, from 0 to 1.
	Fraction float64
	// BaseAllowance is the number of retries and hedges allowed in each window
	// in addition to Fraction, whatever the number of first attempts.
	BaseAllowance int
	// Window is the length of the sliding window in which attempts, retries and
	// hedges are counted, at least 10 ns. It moves in steps of a tenth of its
	// length.
	Window time.Duration
}

// Defaults returns the default limits of one instance: 10% of the first
// attempts of the last 10 s, plus 10.
func Defaults() Config {
	return Config{Fraction: 0.1, BaseAllowance: 10, Window: 10 * time.Second}
}

// Validate returns nil, or an error of kind fault.ConfigInvalid that names the
// first field found out of range. It names BaseAllowance "retry.flat".
func (c Config) Validate() error {
	invalid := func(field, detail string) error {
		return fault.New(fault.ConfigInvalid, fault.RanNo).WithField(field).WithDetail(detail)
	}
	switch {
	case !(c.Fraction >= 0 && c.Fraction <= 1):
		return invalid("retry.fraction", "must be from 0 to 1")
	case c.BaseAllowance < 0:
		return invalid("retry.flat", "must not be negative")
	case c.Window < windowSteps:
		return invalid("retry.window", "must be at least 10 ns")
	}
	return nil
}

// windowSteps is the number of steps into which the window is divided. The
// counted period differs from the window by at most one step, a tenth of its
// length.
const windowSteps = 10

// Budget limits the retries and hedges of one instance, so that they add little
// load while many attempts fail. Use NewBudget to create one; the zero value is
// not usable.
type Budget struct {
	cfg Config
	// origin is the time of the first call, at which step 0 starts. started is
	// set after that call.
	origin  time.Time
	started bool
	// step is the number of the latest step.
	step int64
	// attempts and spent count the first attempts, and the retries and hedges,
	// in each step of the window. Step n is at index n modulo windowSteps.
	attempts [windowSteps]int
	spent    [windowSteps]int
	// totalAttempts and totalSpent are the totals of the two arrays.
	totalAttempts, totalSpent int
}

// NewBudget returns a budget with no attempts counted. The configuration must
// be valid.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg} }

// CountAttempt counts a first attempt.
func (b *Budget) CountAttempt(now time.Time) {
	b.slide(now)
	b.attempts[b.step%windowSteps]++
	b.totalAttempts++
}

// Allow reports whether the budget allows one more retry or hedge, and counts
// it if so.
func (b *Budget) Allow(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.spent[b.step%windowSteps]++
	b.totalSpent++
	return true
}

// Remaining returns the number of retries and hedges left in the budget. It is
// never negative.
func (b *Budget) Remaining(now time.Time) int {
	b.slide(now)
	// The addend compensates for rounding, so that a product such as 0.1*30 is
	// not truncated to the integer below.
	fromAttempts := int(math.Floor(b.cfg.Fraction*float64(b.totalAttempts) + 1e-9))
	return max(b.cfg.BaseAllowance+fromAttempts-b.totalSpent, 0)
}

// slide moves the window to now and drops the counts of steps that are no
// longer in it. If now is in an earlier step than the latest one, slide does
// nothing, and later counts go to the latest step.
func (b *Budget) slide(now time.Time) {
	if !b.started {
		b.origin, b.started = now, true
	}
	step := int64(now.Sub(b.origin) / (b.cfg.Window / windowSteps))
	if step <= b.step {
		return
	}
	for s := max(b.step+1, step-windowSteps+1); s <= step; s++ {
		i := s % windowSteps
		b.totalAttempts -= b.attempts[i]
		b.totalSpent -= b.spent[i]
		b.attempts[i], b.spent[i] = 0, 0
	}
	b.step = step
}

// Package retry decides whether a task may be handed out again after an
// attempt, whether a slow attempt is hedged, and how many of both an instance
// may spend.
package retry

import (
	"math"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Config holds the limits of a Budget.
type Config struct {
	// Fraction is the share of recent first attempts that may be spent on
	// retries and hedges, from 0 to 1.
	Fraction float64
	// Flat is the number of retries and hedges allowed in each window whatever
	// the number of first attempts.
	Flat int
	// Window is the period over which both are counted, at least 10 ns. It
	// slides in steps of a tenth.
	Window time.Duration
}

// Defaults returns the limits for one instance: 10% of the first attempts of
// the last 10 s, plus 10.
func Defaults() Config {
	return Config{Fraction: 0.1, Flat: 10, Window: 10 * time.Second}
}

// Validate returns a failure of kind fault.ConfigInvalid that names the field
// out of range.
func (c Config) Validate() error {
	invalid := func(field, detail string) error {
		return fault.New(fault.ConfigInvalid, fault.RanNo).WithField(field).WithDetail(detail)
	}
	switch {
	case !(c.Fraction >= 0 && c.Fraction <= 1):
		return invalid("retry.fraction", "must be from 0 to 1")
	case c.Flat < 0:
		return invalid("retry.flat", "must not be negative")
	case c.Window < buckets:
		return invalid("retry.window", "must be at least 10 ns")
	}
	return nil
}

// buckets is the number of steps in which the window slides. The count of a
// window is off by at most one step, a tenth of the window.
const buckets = 10

// Budget bounds the retries and hedges of one instance, so that they add
// little load while many attempts fail. The zero value is not usable.
type Budget struct {
	cfg      Config
	origin   time.Time
	started  bool
	step     int64
	attempts [buckets]int
	spent    [buckets]int
	// sumAttempts and sumSpent are the totals of the two arrays.
	sumAttempts, sumSpent int
}

// NewBudget returns a budget with nothing counted. The limits must be valid.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg} }

// Attempted counts a first attempt.
func (b *Budget) Attempted(now time.Time) {
	b.slide(now)
	b.attempts[b.step%buckets]++
	b.sumAttempts++
}

// Allow reports whether one more retry or hedge fits the budget, and counts
// it if so.
func (b *Budget) Allow(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.spent[b.step%buckets]++
	b.sumSpent++
	return true
}

// Remaining returns how many retries and hedges the budget has left. It is
// never negative.
func (b *Budget) Remaining(now time.Time) int {
	b.slide(now)
	// The small addend keeps products such as 0.1*30 from being cut to the
	// whole number below.
	earned := int(math.Floor(b.cfg.Fraction*float64(b.sumAttempts) + 1e-9))
	return max(b.cfg.Flat+earned-b.sumSpent, 0)
}

// slide drops the steps that left the window. A time before the latest one
// counts as the latest one.
func (b *Budget) slide(now time.Time) {
	if !b.started {
		b.origin, b.started = now, true
	}
	step := int64(now.Sub(b.origin) / (b.cfg.Window / buckets))
	if step <= b.step {
		return
	}
	for s := max(b.step+1, step-buckets+1); s <= step; s++ {
		i := s % buckets
		b.sumAttempts -= b.attempts[i]
		b.sumSpent -= b.spent[i]
		b.attempts[i], b.spent[i] = 0, 0
	}
	b.step = step
}

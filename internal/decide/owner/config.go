// Package owner decides what runs on endpoints that have room and run tasks
// under leases. One instance owns an endpoint at a time: it obeys the highest
// fence that it has seen. The owner counts exactly what occupies each endpoint,
// places waiting tasks, renews the leases and follows the ends of runs.
//
// A Pool is a deterministic state machine: it takes events with the current
// time, and returns the calls and reports to make. It has no goroutine, socket
// or clock of its own.
package owner

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Config holds the settings of a Pool.
type Config struct {
	// LeaseMax is the longest lease that endpoints grant.
	LeaseMax time.Duration
	// ClockError bounds how much slower than real time an endpoint's clock may
	// run, as a fraction.
	ClockError float64
	// LookWait is how long a look at an endpoint waits for the end of a run,
	// and IdleWait the same for an endpoint that runs nothing.
	LookWait time.Duration
	IdleWait time.Duration
	// UnsteadyWait is the wait of looks at an endpoint that failed to answer one
	// in the last UnsteadyTime. A lost answer holds up the ends in it this long.
	// It grows by UnsteadyStep for each such endpoint, which bounds the rate of
	// looks.
	UnsteadyWait time.Duration
	UnsteadyStep time.Duration
	UnsteadyTime time.Duration
	// AnswerMin and AnswerMax bound the time within which a call must be answered,
	// beyond the wait that a look asks for. It is learned in between.
	AnswerMin time.Duration
	AnswerMax time.Duration
	// YieldWait is how long waiting tasks are not started after another owner
	// has shown. It exceeds the silence after which a home counts as lost.
	YieldWait time.Duration
	// LookRetry is the pause after looks that failed in a row.
	LookRetry time.Duration
	// MaxProbes bounds the looks that are under way at endpoints that this owner
	// does not hold. A takeover of many endpoints would else take more processor
	// time than the time limits of its calls allow.
	MaxProbes int
	// GlanceWait is the least time between two rounds of looks at all endpoints
	// on behalf of tasks of another owner.
	GlanceWait time.Duration
	// StopRetry is the pause after a stop that failed.
	StopRetry time.Duration
	// AdoptWait is how long a new owner waits for the homes of runs that it
	// finds before it stops them.
	AdoptWait time.Duration
	// OrphanWait is how long a task that an unreachable owner may have started
	// waits before it starts again. It covers the time in which that owner
	// notices the loss of the home, and one lease.
	OrphanWait time.Duration
	// ForeignWait is how long an endpoint that another owner holds is left
	// alone.
	ForeignWait time.Duration
	// MissingWait is how long an endpoint without an entry in the list is still
	// used, since entries can lapse while the list's source is down.
	MissingWait time.Duration
	// KeepWait is how long an endpoint without an entry is still looked at. It
	// may be cut off from the list's source and run tasks of another owner.
	KeepWait time.Duration
	// FarFactor is how many times as long a task takes away from its data.
	FarFactor float64
	// Cooldown is the first pause of an endpoint that fails its tasks.
	// CooldownMax bounds its growth.
	Cooldown    time.Duration
	CooldownMax time.Duration
	// MaxWaiting bounds the tasks that wait.
	MaxWaiting int
	// RetryAfter is when callers of refused jobs are told to come back.
	RetryAfter time.Duration
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.LeaseMax, time.Second)
	set(&c.LookWait, 300*time.Millisecond)
	set(&c.IdleWait, 600*time.Millisecond)
	set(&c.UnsteadyWait, 60*time.Millisecond)
	set(&c.UnsteadyStep, 4*time.Millisecond)
	set(&c.UnsteadyTime, 5*time.Second)
	set(&c.AnswerMin, 40*time.Millisecond)
	set(&c.AnswerMax, 120*time.Millisecond)
	set(&c.YieldWait, 650*time.Millisecond)
	set(&c.LookRetry, 50*time.Millisecond)
	set(&c.GlanceWait, 100*time.Millisecond)
	set(&c.StopRetry, 50*time.Millisecond)
	set(&c.AdoptWait, 300*time.Millisecond)
	set(&c.OrphanWait, 1700*time.Millisecond)
	set(&c.ForeignWait, 4*time.Second)
	set(&c.MissingWait, 2500*time.Millisecond)
	set(&c.KeepWait, 15*time.Second)
	set(&c.Cooldown, 500*time.Millisecond)
	set(&c.CooldownMax, 4*time.Second)
	set(&c.RetryAfter, time.Second)
	if c.ClockError == 0 {
		c.ClockError = 0.02
	}
	if c.FarFactor == 0 {
		c.FarFactor = 2
	}
	if c.MaxProbes == 0 {
		c.MaxProbes = 64
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = 20_000
	}
	return c
}

// Validate returns a failure of kind fault.SettingsInvalid that names the
// first field that breaks a rule.
func (c Config) Validate() error {
	invalid := func(field, detail string) error {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail(detail)
	}
	switch {
	case c.LeaseMax <= 0:
		return invalid("lease-max", "must be above 0")
	case c.LookWait <= 0 || c.LookWait >= c.LeaseMax || c.IdleWait <= 0:
		return invalid("look-wait", "must be above 0 and below the lease")
	case c.ClockError < 0 || c.ClockError > 0.5:
		return invalid("clock-error", "must be 0 to 0.5")
	case c.FarFactor < 1:
		return invalid("far-factor", "must be at least 1")
	case c.AnswerMin <= 0 || c.AnswerMax < c.AnswerMin:
		return invalid("answer-min", "must be above 0 and at most answer-max")
	case c.MaxProbes < 1:
		return invalid("max-probes", "must be at least 1")
	case c.MaxWaiting < 1:
		return invalid("max-waiting", "must be at least 1")
	}
	return nil
}

// Package owner assigns the tasks that homes place at it to endpoints, and
// tracks their runs. An endpoint has limited room and ends its runs when its
// lease expires, so the owner renews the lease with its polls: a poll is a call
// that renews the lease and reads the endpoint's lists of current and ended
// runs. One instance owns an endpoint at a time: each call carries a fencing
// token, the fence, and the endpoint refuses calls whose fence is lower than
// the highest that it has seen. The owner accounts for the room that each run
// occupies, queues tasks until there is room, and reports their ends to their
// home, which is the process that accepted the job from its caller.
//
// A takeover is the start of a new owner, while an owner acquires or yields a
// single endpoint. The new owner finds the current runs with its polls. Such a
// run is unclaimed until its home claims it by placing the task at the new
// owner, which then adopts the run.
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
	// PollWait is how long an endpoint with runs holds a poll open until one of
	// them ends. IdlePollWait is the same for an endpoint without runs.
	PollWait     time.Duration
	IdlePollWait time.Duration
	// UnreliablePollWait is the wait of polls to an endpoint that failed to
	// answer one in the last UnreliablePeriod. It is short, since the ends of
	// runs that a lost answer contained arrive only with the answer to the next
	// poll. The wait grows by UnreliablePollStep for each such endpoint, so
	// that the total rate of polls stays bounded.
	UnreliablePollWait time.Duration
	UnreliablePollStep time.Duration
	UnreliablePeriod   time.Duration
	// MinCallTimeout and MaxCallTimeout bound the call timeout, which is
	// learned from measured latencies. The wait of a poll is added to it.
	// CongestedCallTimeout replaces MaxCallTimeout while the calls are
	// congested. With PollWait, it stays below the lease.
	MinCallTimeout       time.Duration
	MaxCallTimeout       time.Duration
	CongestedCallTimeout time.Duration
	// OwnerConflictDelay is how long waiting tasks are not started after
	// another owner was detected or may have been active. It exceeds the time
	// after which the link to a home counts as lost: HeartbeatTimeout of
	// leader.Config, and dispatcher.PauseLimit for a gap that does not count as
	// silence of the home.
	OwnerConflictDelay time.Duration
	// PollRetryDelay is the delay before the next poll after two failures in a
	// row. It doubles with each further failure, up to 32 times its value.
	PollRetryDelay time.Duration
	// MaxProbes bounds the concurrent polls of endpoints that this owner does
	// not hold. Without it, a takeover of many endpoints would send so many
	// polls at once that some would time out for lack of processor time.
	MaxProbes int
	// SweepInterval is the minimum time between two sweeps. A sweep polls all
	// held endpoints at once because another owner may have started tasks that
	// were placed here.
	SweepInterval time.Duration
	// StopRetryDelay is the delay before a failed stop is sent again.
	StopRetryDelay time.Duration
	// ClaimGrace is how long a run that a new owner finds on an endpoint may
	// stay unclaimed. Then the owner stops it.
	ClaimGrace time.Duration
	// ForeignStartDelay is how long a task that another owner may have started
	// waits at most before it starts here, if not all endpoints can be polled
	// to rule that out. It covers the time that the other owner takes to notice
	// that the task's home is lost, plus one lease.
	ForeignStartDelay time.Duration
	// ResubmitDelay is the least time after which a caller submits a job again
	// whose home it has lost. A run of the earlier submission may go on for
	// ForeignStartDelay from the loss.
	ResubmitDelay time.Duration
	// ForeignBackOff is the delay before the next poll of an endpoint that
	// another owner holds. That poll has a higher fence and tries to acquire
	// the endpoint.
	ForeignBackOff time.Duration
	// MissingGrace is how long an endpoint that is missing from the list still
	// gets tasks, since entries can expire while the source that the list is
	// read from is down.
	MissingGrace time.Duration
	// MissingRetention is how long an endpoint that is missing from the list is
	// still polled. It may be cut off from that source and run tasks of another
	// owner.
	MissingRetention time.Duration
	// RemoteFactor is the factor by which a task takes longer on an endpoint
	// that is away from its data.
	RemoteFactor float64
	// Cooldown is the first cooldown of an endpoint whose runs fail or stall.
	// It doubles each time, up to CooldownMax. A start that is refused, except
	// with the reply OldRun or Late, also leads to a cooldown, which always has
	// this length.
	Cooldown    time.Duration
	CooldownMax time.Duration
	// MaxWaiting bounds the waiting tasks, and thus the memory that a flood
	// takes. Far fewer wait as a rule, since those that cannot end in time are
	// refused.
	MaxWaiting int
	// RetryAfter is the delay after which callers of overdue jobs are told to
	// retry, and those of jobs that MaxWaiting or too many refused starts
	// refuse.
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
	set(&c.PollWait, 300*time.Millisecond)
	set(&c.IdlePollWait, 600*time.Millisecond)
	set(&c.UnreliablePollWait, 60*time.Millisecond)
	set(&c.UnreliablePollStep, 4*time.Millisecond)
	set(&c.UnreliablePeriod, 5*time.Second)
	set(&c.MinCallTimeout, 40*time.Millisecond)
	set(&c.MaxCallTimeout, 120*time.Millisecond)
	set(&c.CongestedCallTimeout, max(400*time.Millisecond, c.MaxCallTimeout))
	set(&c.OwnerConflictDelay, 850*time.Millisecond)
	set(&c.PollRetryDelay, 50*time.Millisecond)
	set(&c.SweepInterval, 100*time.Millisecond)
	set(&c.StopRetryDelay, 50*time.Millisecond)
	set(&c.ClaimGrace, 300*time.Millisecond)
	set(&c.ForeignStartDelay, 1700*time.Millisecond)
	set(&c.ResubmitDelay, 1300*time.Millisecond)
	set(&c.ForeignBackOff, 4*time.Second)
	set(&c.MissingGrace, 2500*time.Millisecond)
	set(&c.MissingRetention, 15*time.Second)
	set(&c.Cooldown, 500*time.Millisecond)
	set(&c.CooldownMax, 4*time.Second)
	set(&c.RetryAfter, time.Second)
	if c.ClockError == 0 {
		c.ClockError = 0.02
	}
	if c.RemoteFactor == 0 {
		c.RemoteFactor = 2
	}
	if c.MaxProbes == 0 {
		c.MaxProbes = 64
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = 20_000
	}
	return c
}

// Validate returns an error of kind fault.SettingsInvalid for the first invalid
// field. The error names the poll waits "poll-wait" and the call timeouts
// "min-call-timeout"; the other names resemble the fields.
func (c Config) Validate() error {
	invalid := func(field, detail string) error {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail(detail)
	}
	switch {
	case c.LeaseMax <= 0:
		return invalid("lease-max", "must be above 0")
	case c.PollWait <= 0 || c.PollWait >= c.LeaseMax || c.IdlePollWait <= 0:
		return invalid("poll-wait", "the poll waits must be above 0, and that for endpoints with runs below the longest lease")
	case c.ClockError < 0 || c.ClockError > 0.5:
		return invalid("clock-error", "must be 0 to 0.5")
	case c.RemoteFactor < 1:
		return invalid("remote-factor", "must be at least 1")
	case c.MinCallTimeout <= 0 || c.MaxCallTimeout < c.MinCallTimeout || c.CongestedCallTimeout < c.MaxCallTimeout:
		return invalid("min-call-timeout", "the minimum call timeout must be above 0 and at most the maximum call timeout, and that under congestion at least the maximum")
	case c.MaxProbes < 1:
		return invalid("max-probes", "must be at least 1")
	case c.MaxWaiting < 1:
		return invalid("max-waiting", "must be at least 1")
	}
	return nil
}

package member

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Config holds the settings of a View.
type Config struct {
	// Self is the process that the view belongs to.
	Self       ident.Process
	DataCentre ident.DataCentre
	// Address is where this process accepts peer connections.
	Address string
	// LocalInterval and RemoteInterval are the heartbeat intervals within a
	// data centre and between data centres.
	LocalInterval  time.Duration
	RemoteInterval time.Duration
	// SuspectAfter and DeadAfter are the numbers of missed heartbeats after
	// which a member is suspect and dead.
	SuspectAfter int
	DeadAfter    int
	// EarlyDeadAfter is used instead of DeadAfter for a member that is missing
	// from the platform's list or leaving, that announced its drain or exit, or
	// whose link is down. If the link is down and another of these conditions
	// holds too, SuspectAfter applies instead.
	EarlyDeadAfter int
	// ConfirmWait is the longest time for which a process that was paused waits
	// before it starts queued work. It waits to be confirmed, that is, for a
	// heartbeat or an answer of the store, since it would then know if it had
	// been replaced.
	ConfirmWait time.Duration
	// BacklogWindow is the time after a pause during which a heartbeat does not
	// confirm this process: it may come from a buffer that filled during the
	// pause.
	BacklogWindow time.Duration
	// StopHeartbeatsAfter is how long heartbeats are sent to a dead member that
	// is not listed; the member itself is kept. It exceeds the longest expected
	// partition (one hour).
	StopHeartbeatsAfter time.Duration
	// MaxDead is the maximum number of dead members that are kept with their
	// incarnation.
	MaxDead int
}

// Defaults returns cfg with its zero fields set to their defaults.
func (cfg Config) Defaults() Config {
	setDuration(&cfg.LocalInterval, 500*time.Millisecond)
	setDuration(&cfg.RemoteInterval, 2*time.Second)
	setDuration(&cfg.ConfirmWait, 2*time.Second)
	setDuration(&cfg.BacklogWindow, 100*time.Millisecond)
	setDuration(&cfg.StopHeartbeatsAfter, 2*time.Hour)
	setInt(&cfg.SuspectAfter, 3)
	setInt(&cfg.DeadAfter, 6)
	setInt(&cfg.EarlyDeadAfter, 4)
	setInt(&cfg.MaxDead, 512)
	return cfg
}

// Validate returns an error of kind fault.SettingsInvalid that names the first
// invalid field.
func (cfg Config) Validate() error {
	switch {
	case !ident.ValidName(string(cfg.Self.Instance)):
		return invalid("self", "must name an instance")
	case cfg.Self.Incarnation == 0:
		return invalid("self", "must have an incarnation")
	case !ident.ValidName(string(cfg.DataCentre)):
		return invalid("data-centre", "must name a data centre")
	case cfg.LocalInterval <= 0:
		return invalid("near", "must be above 0")
	case cfg.RemoteInterval < cfg.LocalInterval:
		return invalid("far", "must be at least near")
	case cfg.SuspectAfter < 1:
		return invalid("suspect-after", "must be at least 1")
	case cfg.EarlyDeadAfter < cfg.SuspectAfter:
		return invalid("hasty-dead-after", "must be at least suspect-after")
	case cfg.DeadAfter < cfg.EarlyDeadAfter:
		return invalid("dead-after", "must be at least hasty-dead-after")
	case cfg.ConfirmWait < 0:
		return invalid("confirm-wait", "must not be negative")
	case cfg.BacklogWindow < 0:
		return invalid("backlog", "must not be negative")
	case cfg.StopHeartbeatsAfter < 0:
		return invalid("forget", "must not be negative")
	case cfg.MaxDead < 1:
		return invalid("max-dead", "must be at least 1")
	}
	return nil
}

// pauseLimit returns the time between two ticks above which this process counts
// as paused: the time after which members of its data centre consider it dead.
func (cfg Config) pauseLimit() time.Duration { return time.Duration(cfg.DeadAfter) * cfg.LocalInterval }

// interval returns the heartbeat interval to members of a data centre.
func (cfg Config) interval(dc ident.DataCentre) time.Duration {
	if dc == cfg.DataCentre {
		return cfg.LocalInterval
	}
	return cfg.RemoteInterval
}

func invalid(field, detail string) error {
	return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail(detail)
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

package member

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Config holds the settings of a View.
type Config struct {
	// Self is the process that owns the view.
	Self       ident.Process
	DataCentre ident.DataCentre
	// Address is where this process accepts peer connections.
	Address string
	// Near and Far are the heartbeat intervals inside a data centre and
	// between data centres.
	Near time.Duration
	Far  time.Duration
	// SuspectAfter and DeadAfter count missed heartbeats.
	SuspectAfter int
	DeadAfter    int
	// HastyDeadAfter replaces DeadAfter for a member that the list does not
	// show as live, that said goodbye, or whose link is down. SuspectAfter
	// applies to one whose link is down and that shows another of the signs.
	HastyDeadAfter int
	// ConfirmWait bounds how long a process that was paused waits for a peer
	// or the store.
	ConfirmWait time.Duration
	// Backlog is how long after a pause a heartbeat may still come from
	// buffers that filled during the pause, and proves nothing.
	Backlog time.Duration
	// Forget is how long a dead member that is not listed gets heartbeats. It
	// exceeds the longest expected partition (one hour).
	Forget time.Duration
	// MaxDead bounds the dead members whose incarnation is remembered.
	MaxDead int
}

// Defaults returns cfg with its zero fields set to their defaults.
func (cfg Config) Defaults() Config {
	setDuration(&cfg.Near, 500*time.Millisecond)
	setDuration(&cfg.Far, 2*time.Second)
	setDuration(&cfg.ConfirmWait, 2*time.Second)
	setDuration(&cfg.Backlog, 100*time.Millisecond)
	setDuration(&cfg.Forget, 2*time.Hour)
	setInt(&cfg.SuspectAfter, 3)
	setInt(&cfg.DeadAfter, 6)
	setInt(&cfg.HastyDeadAfter, 4)
	setInt(&cfg.MaxDead, 512)
	return cfg
}

// Validate returns a failure of kind fault.SettingsInvalid that names the
// first field that breaks a rule.
func (cfg Config) Validate() error {
	switch {
	case !ident.ValidName(string(cfg.Self.Instance)):
		return invalid("self", "must name an instance")
	case cfg.Self.Incarnation == 0:
		return invalid("self", "must have an incarnation")
	case !ident.ValidName(string(cfg.DataCentre)):
		return invalid("data-centre", "must name a data centre")
	case cfg.Near <= 0:
		return invalid("near", "must be above 0")
	case cfg.Far < cfg.Near:
		return invalid("far", "must be at least near")
	case cfg.SuspectAfter < 1:
		return invalid("suspect-after", "must be at least 1")
	case cfg.HastyDeadAfter < cfg.SuspectAfter:
		return invalid("hasty-dead-after", "must be at least suspect-after")
	case cfg.DeadAfter < cfg.HastyDeadAfter:
		return invalid("dead-after", "must be at least hasty-dead-after")
	case cfg.ConfirmWait < 0:
		return invalid("confirm-wait", "must not be negative")
	case cfg.Backlog < 0:
		return invalid("backlog", "must not be negative")
	case cfg.Forget < 0:
		return invalid("forget", "must not be negative")
	case cfg.MaxDead < 1:
		return invalid("max-dead", "must be at least 1")
	}
	return nil
}

// pause returns the time between two ticks that counts as a pause: the time
// after which near members take this process for dead.
func (cfg Config) pause() time.Duration { return time.Duration(cfg.DeadAfter) * cfg.Near }

// interval returns the heartbeat interval towards a data centre.
func (cfg Config) interval(dc ident.DataCentre) time.Duration {
	if dc == cfg.DataCentre {
		return cfg.Near
	}
	return cfg.Far
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

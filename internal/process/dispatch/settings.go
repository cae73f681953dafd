// Package dispatch runs an instance that dispatches jobs to endpoints with
// limited resources, where tasks run under leases. One goroutine, loop, owns
// the control state: the jobs that callers submitted to this instance, the view
// of the fleet and, on the owner, the endpoints. The other goroutines make
// calls and serve requests, and post functions to loop.
package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// Settings holds the settings of a Process.
type Settings struct {
	Instance         ident.InstanceID
	DataCentre       ident.DataCentre
	CallerAddress    string
	ReadinessAddress string
	PeerAddress      string
	MetricsAddress   string
	StoreAddress     string
	// Token authenticates peers.
	Token string
	// MemoryLimit is the memory that the process may use, in bytes; zero means
	// no limit.
	MemoryLimit int64
	// Grace is the time from SIGTERM until the platform kills the process.
	Grace  time.Duration
	Owner  owner.Config
	Leader leader.Config
	// TickInterval is the interval of the core's periodic work.
	TickInterval time.Duration
	// ListInterval is the interval between reads of the list of endpoints.
	ListInterval time.Duration
	// WatchWait is how long one watch of the configuration waits for a change.
	WatchWait time.Duration
	// StoreTimeout bounds the reads of a list or of the configuration from the
	// store. The store's client gives up sooner on a store that is silent.
	StoreTimeout time.Duration
	// MemberTTL is the duration of the lease of this instance's key in the
	// store. MemberInterval is the interval at which the lease is renewed and
	// the members are read.
	MemberTTL      time.Duration
	MemberInterval time.Duration
	// UnreadyWait is how long a draining instance still accepts callers: the
	// time that the load balancer needs to take it out of rotation. At most
	// half of Grace is waited.
	UnreadyWait time.Duration
	// ReloadInterval is how often the settings are checked for changes.
	ReloadInterval time.Duration
	// SinceBoot returns the reading of a clock that also counts the time while
	// the machine is suspended. Only differences between readings are used.
	SinceBoot func() time.Duration
	Clock     clock.Clock
	// PeerNetwork opens the connections to peers; by default, over TCP.
	PeerNetwork peer.Network
	Log         *logrus.Logger
}

// Defaults returns s with its zero fields set to their defaults.
func (s Settings) Defaults() Settings {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&s.Grace, 6*time.Second)
	set(&s.TickInterval, 25*time.Millisecond)
	set(&s.ListInterval, 500*time.Millisecond)
	set(&s.WatchWait, 1500*time.Millisecond)
	set(&s.StoreTimeout, 10*time.Second)
	set(&s.MemberTTL, 5*time.Second)
	set(&s.MemberInterval, 1500*time.Millisecond)
	set(&s.UnreadyWait, 2200*time.Millisecond)
	set(&s.ReloadInterval, 2*time.Second)
	if s.SinceBoot == nil {
		s.SinceBoot = clock.SinceBoot
	}
	if s.Token == "" {
		s.Token = "hornbeamlift"
	}
	if s.Clock == nil {
		s.Clock = clock.System{}
	}
	if s.Log == nil {
		s.Log = logrus.New()
	}
	return s
}

// Validate returns nil, or a *fault.List of all invalid settings, each of kind
// fault.SettingsInvalid.
func (s Settings) Validate() error {
	var found fault.List
	check := func(ok bool, field, detail string) {
		if !ok {
			found.Faults = append(found.Faults, fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail(detail))
		}
	}
	check(ident.ValidName(string(s.Instance)), "instance", "must name an instance")
	check(ident.ValidName(string(s.DataCentre)), "data-centre", "must name a data centre")
	check(s.CallerAddress != "", "caller-address", "is required")
	check(s.ReadinessAddress != "", "readiness-address", "is required")
	check(s.PeerAddress != "", "peer-address", "is required")
	check(s.Grace > 0, "grace", "must be above 0")
	check(s.TickInterval > 0, "tick-interval", "must be above 0")
	check(s.WatchWait >= time.Millisecond, "watch-wait", "must be at least a millisecond")
	if len(found.Faults) > 0 {
		return &found
	}
	return nil
}

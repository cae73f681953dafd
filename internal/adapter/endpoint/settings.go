package endpoint

import (
	"context"
	"net"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

const (
	// defaultDialTimeout bounds a dial. A dial that hangs takes one of the
	// endpoint's few connections.
	defaultDialTimeout = time.Second
	// defaultStatusTimeout bounds a status call. It is asked when something is
	// already late, and a healthy endpoint answers within milliseconds.
	defaultStatusTimeout = time.Second
	// keepAliveInterval and keepAliveProbes close a connection whose other end
	// has gone for 15 to 20 s.
	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = 3
	// idleTimeout closes connections that were not used for a while.
	idleTimeout = 90 * time.Second
	// maxOutput bounds the output of one task.
	maxOutput = 4 << 20
	// maxDetail bounds what is kept of the body of a failed task.
	maxDetail = 512
	// maxStatus bounds the body of a status.
	maxStatus = 1 << 20
)

// Settings configures a Client.
type Settings struct {
	Clock clock.Clock
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// StatusTimeout bounds a call of Status.
	StatusTimeout time.Duration
	// Dial opens a TCP connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults returns s with each unset field set.
func (s Settings) Defaults() Settings {
	if s.Clock == nil {
		s.Clock = clock.System{}
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.StatusTimeout == 0 {
		s.StatusTimeout = defaultStatusTimeout
	}
	if s.Dial == nil {
		dialer := net.Dialer{
			Timeout: s.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
			},
		}
		s.Dial = dialer.DialContext
	}
	return s
}

// Validate reports the first field that breaks a rule, as a failure of kind
// fault.SettingsInvalid.
func (s Settings) Validate() error {
	switch {
	case s.DialTimeout <= 0:
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("dial-timeout").WithDetail("must be above 0")
	case s.StatusTimeout <= 0:
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("status-timeout").WithDetail("must be above 0")
	}
	return nil
}

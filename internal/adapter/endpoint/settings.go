package endpoint

import (
	"context"
	"net"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

const (
	// defaultDialTimeout bounds a dial. A dial that hangs counts against the
	// limit of connections to the endpoint.
	defaultDialTimeout = time.Second
	// defaultStatusTimeout bounds a status call. It is short, because Status is
	// also called when a task is already late, and a healthy endpoint answers
	// within milliseconds.
	defaultStatusTimeout = time.Second
	// keepAliveInterval and keepAliveProbes close a connection whose other end
	// has not answered for 15 to 20 s.
	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = 3
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 90 * time.Second
	// maxOutput is the largest accepted output of one task in bytes.
	maxOutput = 4 << 20
	// maxDetail bounds the bytes of an error response's body that go into the
	// failure's detail.
	maxDetail = 512
	// maxStatus bounds the bytes read from the body of a status response.
	maxStatus = 1 << 20
)

// Settings configures a Client.
type Settings struct {
	Clock clock.Clock
	// DialTimeout bounds the opening of a connection by the default Dial.
	DialTimeout time.Duration
	// StatusTimeout bounds a call of Status.
	StatusTimeout time.Duration
	// Dial opens a TCP connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults returns s with all unset fields set to their defaults.
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

// Validate returns an error of kind fault.SettingsInvalid for the first
// invalid field, or nil.
func (s Settings) Validate() error {
	switch {
	case s.DialTimeout <= 0:
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("dial-timeout").WithDetail("must be above 0")
	case s.StatusTimeout <= 0:
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("status-timeout").WithDetail("must be above 0")
	}
	return nil
}

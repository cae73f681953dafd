package platform

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// defaultCallTimeout is several hundred times the usual reply time, so that
// only an outage exceeds it.
const defaultCallTimeout = 2 * time.Second

// Settings configures a Client.
type Settings struct {
	// Address is the platform's host and port.
	Address string
	// CallTimeout bounds one call. A watch may take its wait in addition.
	CallTimeout time.Duration
	Clock       clock.Clock
	// Random adds jitter to the back-off. The client uses it under its own
	// lock.
	Random *rand.Rand
	// Dial opens a TCP connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults returns s with each unset field but Address set.
func (s Settings) Defaults() Settings {
	if s.CallTimeout == 0 {
		s.CallTimeout = defaultCallTimeout
	}
	if s.Clock == nil {
		s.Clock = clock.System{}
	}
	if s.Random == nil {
		s.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if s.Dial == nil {
		s.Dial = (&net.Dialer{Timeout: s.CallTimeout}).DialContext
	}
	return s
}

// Validate returns a failure of kind fault.SettingsInvalid for the first
// invalid field, or nil.
func (s Settings) Validate() error {
	if _, _, err := net.SplitHostPort(s.Address); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithField("address")
	}
	if s.CallTimeout <= 0 {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("call-timeout").WithDetail("must be above 0")
	}
	return nil
}

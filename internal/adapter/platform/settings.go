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
	// Random adds jitter to the back-off. It must not be used elsewhere, since
	// the client protects it only with its own lock.
	Random *rand.Rand
	// Dial opens a TCP connection. The default one gives up after CallTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults returns s with all unset fields, except Address, set to their
// defaults.
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

// Validate returns an error of kind fault.SettingsInvalid for the first
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

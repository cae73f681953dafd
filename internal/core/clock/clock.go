// Package clock provides the time through an interface, so that decisions and
// tests do not depend on the wall clock.
package clock

import "time"

// Clock tells the time and runs functions later.
type Clock interface {
	// Now returns the current time with a monotonic reading where the clock
	// has one.
	Now() time.Time
	// AfterFunc runs f in its own goroutine after d has passed.
	AfterFunc(d time.Duration, f func()) Timer
	// NewTicker returns a ticker that fires at the interval d.
	NewTicker(d time.Duration) Ticker
}

// Timer is a function call that AfterFunc has scheduled.
type Timer interface {
	// Stop cancels the call and reports whether it was still pending.
	Stop() bool
}

// Ticker fires at a fixed interval.
type Ticker interface {
	// C returns the channel on which ticks are sent.
	C() <-chan time.Time
	// Stop ends the ticks. It does not close the channel.
	Stop()
}

// System is the Clock of the operating system.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// AfterFunc runs f in its own goroutine after d has passed.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// NewTicker returns a ticker that fires at the interval d.
func (System) NewTicker(d time.Duration) Ticker { return systemTicker{time.NewTicker(d)} }

type systemTicker struct{ t *time.Ticker }

func (s systemTicker) C() <-chan time.Time { return s.t.C }

func (s systemTicker) Stop() { s.t.Stop() }

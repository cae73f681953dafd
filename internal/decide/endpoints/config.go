package endpoints

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Config holds the thresholds of a Pool.
type Config struct {
	// ConsecutiveFailures is the number of failures in a row, with no success
	// between, after which an endpoint is ejected.
	ConsecutiveFailures int
	// Window is the number of latest outcomes kept for each endpoint, at most
	// 64. An endpoint is also ejected when more than WindowFailures*Window of
	// them are failures, unless the outcomes of the other endpoints, taken
	// together, have more than that share of failures as well. WindowFailures
	// is a share, from 0 to 1.
	Window         int
	WindowFailures float64
	// EjectionMin is the length of the first ejection. Each further one lasts
	// twice as long, up to EjectionMax. Once an endpoint has gone longer than
	// EjectionMax without an ejection, the next one lasts EjectionMin again.
	EjectionMin, EjectionMax time.Duration
	// EjectedShare limits the endpoints ejected at the same time to a share of
	// the owned ones, from 0 to 1. With two endpoints or more, one may always
	// be ejected.
	EjectedShare float64
	// ProbationSuccesses is the number of tasks, one at a time, that must
	// succeed after an ejection before all slots are used again.
	ProbationSuccesses int
	// StragglerSpeed is the share of the median speed of the other endpoints
	// below which an endpoint counts as a straggler. It is above 0 and at most
	// 1.
	StragglerSpeed float64
	// SpeedSpread is the expected standard deviation of the natural logarithm
	// of the endpoint speeds of a service. The smaller it is, the more
	// observations it takes to move a learned speed away from the median.
	SpeedSpread float64
	// SpeedHalfLife is the time in which the observations of an unused endpoint
	// lose half of their weight. The decay lets a straggler be tried again
	// after some minutes.
	SpeedHalfLife time.Duration
	// SizeTrust is the weight, in observations, of the prior that run times are
	// proportional to declared sizes: after that many observations, the prior
	// has lost half of its weight.
	SizeTrust float64
	// SizeLimit bounds the ratio of a declared size to the mean declared size:
	// the ratio is taken as at most SizeLimit and at least 1/SizeLimit. It is
	// at least 1.
	SizeLimit float64
	// The endpoint is asked about a task in flight after ProgressFactor times
	// the task's estimated run time, but not before ProgressMin; see
	// Choice.CheckAfter.
	ProgressFactor float64
	ProgressMin    time.Duration
	// BusyBackOff is the length of the first back-off: how long an endpoint
	// gets no task after it refused one because all its slots were busy, or
	// after it could not be reached. The length doubles with each further
	// back-off, up to BusyBackOffMax, and is BusyBackOff again after a task
	// succeeds. The two also bound the time after which one slot fewer is
	// assumed to be in use by other owners.
	BusyBackOff, BusyBackOffMax time.Duration
	// RefreshInterval is how often the median speed, the straggler limits and
	// the 95th percentile of run times are recomputed.
	RefreshInterval time.Duration
}

// Defaults returns the default thresholds.
func Defaults() Config {
	return Config{
		ConsecutiveFailures: 5,
		Window:              20,
		WindowFailures:      0.5,
		EjectionMin:         5 * time.Second,
		EjectionMax:         60 * time.Second,
		EjectedShare:        0.3,
		ProbationSuccesses:  3,
		StragglerSpeed:      0.2,
		// A service whose fastest endpoint is four times as fast as its slowest
		// spans about two standard deviations of 0.7.
		SpeedSpread:    0.7,
		SpeedHalfLife:  60 * time.Second,
		SizeTrust:      8,
		SizeLimit:      10,
		ProgressFactor: 3,
		ProgressMin:    time.Second,
		// The shortest common task takes 50 ms, so a slot that another owner
		// holds is unlikely to be free sooner.
		BusyBackOff:     50 * time.Millisecond,
		BusyBackOffMax:  time.Second,
		RefreshInterval: time.Second,
	}
}

// Validate returns nil, or an error of kind fault.ConfigInvalid that names the
// first field found out of range.
func (c Config) Validate() error {
	checks := []struct {
		ok            bool
		field, detail string
	}{
		{c.ConsecutiveFailures >= 1, "consecutive-failures", "must be at least 1"},
		{c.Window >= 1 && c.Window <= 64, "window", "must be from 1 to 64"},
		{isShare(c.WindowFailures), "window-failures", "must be from 0 to 1"},
		{c.EjectionMin > 0, "ejection-min", "must be above 0"},
		{c.EjectionMax >= c.EjectionMin, "ejection-max", "must be at least ejection-min"},
		{isShare(c.EjectedShare), "ejected-share", "must be from 0 to 1"},
		{c.ProbationSuccesses >= 1, "probation-successes", "must be at least 1"},
		{isShare(c.StragglerSpeed) && c.StragglerSpeed > 0, "straggler-speed", "must be above 0, at most 1"},
		{c.SpeedSpread > 0, "speed-spread", "must be above 0"},
		{c.SpeedHalfLife > 0, "speed-half-life", "must be above 0"},
		{c.SizeTrust > 0, "size-trust", "must be above 0"},
		{c.SizeLimit >= 1, "size-limit", "must be at least 1"},
		{c.ProgressFactor >= 1, "progress-factor", "must be at least 1"},
		{c.ProgressMin > 0, "progress-min", "must be above 0"},
		{c.BusyBackOff > 0, "busy-back-off", "must be above 0"},
		{c.BusyBackOffMax >= c.BusyBackOff, "busy-back-off-max", "must be at least busy-back-off"},
		{c.RefreshInterval > 0, "refresh-interval", "must be above 0"},
	}
	for _, check := range checks {
		if !check.ok {
			return fault.New(fault.ConfigInvalid, fault.RanNo).
				WithField("endpoints." + check.field).WithDetail(check.detail)
		}
	}
	return nil
}

func isShare(f float64) bool { return f >= 0 && f <= 1 }

// maxEjected returns how many of n endpoints may be ejected at the same time.
func (c *Config) maxEjected(n int) int {
	if n < 2 {
		return 0
	}
	// The addend compensates for rounding, so that a product such as 0.3*10 is
	// not truncated to the integer below.
	return max(1, int(c.EjectedShare*float64(n)+1e-9))
}

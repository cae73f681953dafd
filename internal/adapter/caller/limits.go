package caller

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Limits bounds what one caller may send at once.
type Limits struct {
	// MaxTasks is the most tasks of a job.
	MaxTasks int
	// MaxIDs is the most ids of one call.
	MaxIDs int
	// MaxJobBytes, MaxRequestBytes and MaxInputBytes bound the body of a job,
	// the body of a request, and one decoded input.
	MaxJobBytes     int64
	MaxRequestBytes int64
	MaxInputBytes   int
	// DefaultDeadline holds where a submission names none; MaxDeadline is the
	// longest that it may name.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// BodyTimeout is the longest time that a body may take to arrive; zero
	// means no bound.
	BodyTimeout time.Duration
}

// Defaults returns the limits that the design page gives.
func (Limits) Defaults() Limits {
	return Limits{
		MaxTasks:        1300,
		MaxIDs:          1000,
		MaxJobBytes:     64 << 20,
		MaxRequestBytes: 4 << 20,
		MaxInputBytes:   1 << 20,
		DefaultDeadline: time.Minute,
		MaxDeadline:     time.Hour,
		BodyTimeout:     time.Minute,
	}
}

// Validate returns a failure of kind fault.SettingsInvalid that names the
// first limit that cannot hold.
func (l Limits) Validate() error {
	bad := func(field, detail string) error {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail(detail)
	}
	switch {
	case l.MaxTasks < 1:
		return bad("max-tasks", "must be above 0")
	case l.MaxIDs < 1:
		return bad("max-ids", "must be above 0")
	case l.MaxInputBytes < 1 || int64(l.MaxInputBytes) > l.MaxRequestBytes:
		return bad("max-input-bytes", "must be above 0 and at most max-request-bytes")
	case l.MaxRequestBytes > l.MaxJobBytes:
		return bad("max-request-bytes", "must be at most max-job-bytes")
	case l.DefaultDeadline < time.Millisecond || l.DefaultDeadline > l.MaxDeadline:
		return bad("default-deadline", "must be from 1 ms to max-deadline")
	case l.BodyTimeout < 0:
		return bad("body-timeout", "must not be negative")
	}
	return nil
}

package caller

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Limits restricts what a caller may send in one HTTP request.
type Limits struct {
	// MaxTasks is the maximum number of tasks in a job.
	MaxTasks int
	// MaxIDs is the maximum number of ids issued by one call.
	MaxIDs int
	// MaxJobBytes, MaxRequestBytes and MaxInputBytes are the maximum sizes in
	// bytes of the body of a job, the body of a request, and one decoded input.
	MaxJobBytes     int64
	MaxRequestBytes int64
	MaxInputBytes   int
	// DefaultDeadline applies to submissions without a deadline; MaxDeadline is
	// the longest deadline that a submission may have.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// BodyTimeout is the maximum time to read a body; zero means no limit.
	BodyTimeout time.Duration
}

// Defaults returns the default limits. It does not use its receiver.
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

// Validate returns an error of kind fault.SettingsInvalid that names the first
// invalid limit, or nil.
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

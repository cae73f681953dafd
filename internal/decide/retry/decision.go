package retry

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Decision is what may be done with a task after an attempt.
type Decision int

// The decisions about a task.
const (
	// Final: the result is final and the task is not started again.
	Final Decision = iota
	// RequeueUncharged: the attempt did not start. The task is queued again
	// without a charge to the budget.
	RequeueUncharged
	// RequeueCharged: the attempt did not start. The task is queued again if
	// the budget allows it, and otherwise ends as not run.
	RequeueCharged
	// RetryCharged: the attempt may have run, but the task is repeatable. It is
	// retried if the budget allows it, and otherwise the result is final.
	RetryCharged
)

// String returns the name of the decision in kebab case, and "requeue-free" for
// RequeueUncharged.
func (d Decision) String() string {
	switch d {
	case RequeueUncharged:
		return "requeue-free"
	case RequeueCharged:
		return "requeue-charged"
	case RetryCharged:
		return "retry-charged"
	default:
		return "final"
	}
}

// Decide returns what may be done with the task after the result of its
// latest attempt. A result marked as not started whose failure says that the
// task ran or may have run is treated as started, because requeueing the task
// by mistake would start it twice.
func Decide(result *work.Result, task *work.Task) Decision {
	if result.Failure == nil {
		if result.NotStarted {
			return RequeueCharged
		}
		return Final
	}
	failure := result.Failure
	switch failure.Kind {
	case fault.Cancelled, fault.DeadlineExceeded, fault.DeadlineUnmeetable:
		// The task was cancelled or cannot end by its deadline, so another
		// attempt is of no use.
		return Final
	}
	if result.NotStarted && (failure.Ran == fault.RanNo || failure.Ran == "") {
		if failure.Kind == fault.EndpointBusy || failure.Kind == fault.Draining {
			return RequeueUncharged
		}
		return RequeueCharged
	}
	unknown := failure.Ran == fault.RanUnknown || failure.Kind == fault.OutcomeUnknown
	if task.Repeatable && (unknown || failure.Kind == fault.EndpointUnreachable) {
		return RetryCharged
	}
	return Final
}

// minHedgeWeight is the lowest response weight at which tasks are hedged. Below
// it, saving messages matters more than response time.
const minHedgeWeight = 0.5

// HedgeAfter returns the delay after the start of a task at which a hedge, a
// second attempt on another endpoint, may be started. It returns false when the
// task must not be hedged. The delay is p95, the 95th percentile of the
// service's run times, divided by the response weight. With a weight of 1,
// about 5% of the tasks are hedged; with a weight of 0.5, the delay is twice as
// long and fewer are hedged. The caller must also check each hedge with
// Budget.Allow.
func HedgeAfter(p95 time.Duration, responseWeight float64, repeatable bool) (time.Duration, bool) {
	if !repeatable || p95 <= 0 || !(responseWeight >= minHedgeWeight) {
		return 0, false
	}
	return time.Duration(float64(p95) / min(responseWeight, 1)), true
}

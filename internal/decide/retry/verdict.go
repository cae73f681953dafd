package retry

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Verdict says what may happen to a task after an attempt.
type Verdict int

// The verdicts.
const (
	// Final: the result stands and the task never starts again.
	Final Verdict = iota
	// RequeueFree: the attempt did not start; the task waits again at no
	// charge to the budget.
	RequeueFree
	// RequeueCharged: the attempt did not start; the task waits again if the
	// budget allows it, and otherwise ends as not run.
	RequeueCharged
	// RetryCharged: the attempt may have run, but the task is repeatable; it
	// starts again if the budget allows it, and otherwise the result stands.
	RetryCharged
)

// String returns the verdict's name in kebab case.
func (v Verdict) String() string {
	switch v {
	case RequeueFree:
		return "requeue-free"
	case RequeueCharged:
		return "requeue-charged"
	case RetryCharged:
		return "retry-charged"
	default:
		return "final"
	}
}

// MayRetry returns what may happen to the task after the result of its latest
// attempt. A result that claims that nothing started, but whose failure says
// that work ran or may have run, counts as started: a wrong requeue would
// start the task twice.
func MayRetry(result *work.Result, task *work.Task) Verdict {
	if result.Failure == nil {
		if result.NotStarted {
			return RequeueCharged
		}
		return Final
	}
	failure := result.Failure
	switch failure.Kind {
	case fault.Cancelled, fault.DeadlineExceeded, fault.DeadlineUnmeetable:
		// Nobody waits for another attempt.
		return Final
	}
	if result.NotStarted && (failure.Ran == fault.RanNo || failure.Ran == "") {
		if failure.Kind == fault.EndpointBusy || failure.Kind == fault.Draining {
			return RequeueFree
		}
		return RequeueCharged
	}
	unknown := failure.Ran == fault.RanUnknown || failure.Kind == fault.OutcomeUnknown
	if task.Repeatable && (unknown || failure.Kind == fault.EndpointUnreachable) {
		return RetryCharged
	}
	return Final
}

// minHedgeWeight is the response weight below which wasted messages matter
// more than response time, so that no hedge is sent.
const minHedgeWeight = 0.5

// HedgeAfter returns how long after its start a task may be started a second
// time elsewhere, and false when it may not. The delay is the 95th percentile
// of the service's run times divided by the response weight: a weight of 1
// hedges about 5% of the tasks, a weight of 0.5 waits twice as long and
// hedges fewer. Each hedge also needs Budget.Allow.
func HedgeAfter(p95 time.Duration, responseWeight float64, repeatable bool) (time.Duration, bool) {
	if !repeatable || p95 <= 0 || !(responseWeight >= minHedgeWeight) {
		return 0, false
	}
	return time.Duration(float64(p95) / min(responseWeight, 1)), true
}

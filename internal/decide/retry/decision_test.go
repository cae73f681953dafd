package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/retry"
)

// TestDecide guards against a retry of a task that is not repeatable and ran
// or may have run, against the loss of a task that never started, and against
// charges to the budget when an endpoint was only busy or draining.
func TestDecide(t *testing.T) {
	cases := map[string]struct {
		notStarted    bool
		kind          fault.Kind
		ran           fault.Ran
		notRepeatable retry.Decision
		repeatable    retry.Decision
	}{
		"succeeded":                     {false, "", "", retry.Final, retry.Final},
		"returned without a start":      {true, "", "", retry.RequeueCharged, retry.RequeueCharged},
		"busy":                          {true, fault.EndpointBusy, fault.RanNo, retry.RequeueUncharged, retry.RequeueUncharged},
		"draining":                      {true, fault.Draining, fault.RanNo, retry.RequeueUncharged, retry.RequeueUncharged},
		"unreachable before start":      {true, fault.EndpointUnreachable, fault.RanNo, retry.RequeueCharged, retry.RequeueCharged},
		"no quota":                      {true, fault.QuotaExhausted, fault.RanNo, retry.RequeueCharged, retry.RequeueCharged},
		"deadline passed before start":  {true, fault.DeadlineExceeded, fault.RanNo, retry.Final, retry.Final},
		"cancelled before start":        {true, fault.Cancelled, fault.RanNo, retry.Final, retry.Final},
		"marked unstarted, but ran":     {true, fault.EndpointFailed, fault.RanYes, retry.Final, retry.Final},
		"unstarted, but may have run":   {true, fault.Internal, fault.RanUnknown, retry.Final, retry.RetryCharged},
		"outcome unknown":               {false, fault.OutcomeUnknown, fault.RanUnknown, retry.Final, retry.RetryCharged},
		"connection lost while running": {false, fault.EndpointUnreachable, fault.RanUnknown, retry.Final, retry.RetryCharged},
		"busy, but may have run":        {false, fault.EndpointBusy, fault.RanUnknown, retry.Final, retry.RetryCharged},
		"failed":                        {false, fault.EndpointFailed, fault.RanYes, retry.Final, retry.Final},
		"deadline passed while running": {false, fault.DeadlineExceeded, fault.RanUnknown, retry.Final, retry.Final},
		"cancelled while running":       {false, fault.Cancelled, fault.RanYes, retry.Final, retry.Final},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result := &work.Result{NotStarted: c.notStarted}
			if c.kind != "" {
				result.Failure = fault.New(c.kind, c.ran)
			}
			is.Equal(retry.Decide(result, &work.Task{}), c.notRepeatable)
			is.Equal(retry.Decide(result, &work.Task{Repeatable: true}), c.repeatable)
		})
	}
}

// TestHedgeAfter guards against hedges of tasks that are not repeatable,
// against hedges of services with a low response weight, and against wrong
// delays.
func TestHedgeAfter(t *testing.T) {
	cases := map[string]struct {
		p95        time.Duration
		weight     float64
		repeatable bool
		after      time.Duration
	}{
		"full weight":      {time.Second, 1, true, time.Second},
		"half weight":      {time.Second, 0.5, true, 2 * time.Second},
		"low weight":       {time.Second, 0.49, true, 0},
		"not repeatable":   {time.Second, 1, false, 0},
		"no run times yet": {0, 1, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			after, ok := retry.HedgeAfter(c.p95, c.weight, c.repeatable)
			is.Equal(after, c.after)
			is.Equal(ok, c.after > 0)
		})
	}
}

package instance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

// completesWithin submits a job of ten tasks and reports whether its answer is
// complete after d.
func (f *fleet) completesWithin(home, via *simInstance, d time.Duration) bool {
	s := f.newSubmission(home, sheetPress, "studio", 10, time.Minute)
	if s == nil {
		return false
	}
	f.submit(via, s)
	f.advance(d)
	return s.answer != nil && s.answer.State == work.Complete
}

// TestInstanceFailureDuringStoreOutage guards against endpoints of a failed
// instance that no other instance takes over while the store is down, and
// against a restarted instance that can't serve without the store.
func TestInstanceFailureDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 3, 3)
	f.storeDown = true
	f.kill(f.instances[0])
	f.advance(4 * time.Second)
	owned := 0
	for _, n := range f.instances[1:] {
		for _, sv := range n.core.Status(f.now).Services {
			owned += len(sv.Endpoints)
		}
	}
	is.Equal(owned, len(f.endpoints))
	is.True(f.completesWithin(f.instances[1], f.instances[2], 10*time.Second))
	f.start(f.instances[0])
	f.advance(3 * time.Second)
	is.True(f.completesWithin(f.instances[0], f.instances[0], 10*time.Second))
	f.checkStarts()
}

// TestConfigChangeDuringPartition guards against a data centre that stops
// serving while it is partitioned from the others and the store, and against
// one that keeps the old configuration after the partition has ended.
func TestConfigChangeDuringPartition(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 2, 2, 2)
	connected, partitioned := f.instances[:2], f.instances[2:]
	for _, n := range partitioned {
		n.storeUnreachable = true
		for _, o := range connected {
			f.disconnect(n, o)
		}
	}
	old := ident.Revision(f.revision.Revision)
	f.apply(f.revision.File)
	f.advance(15 * time.Second)
	for _, n := range connected {
		is.Equal(n.revision, old+1)
	}
	for _, n := range partitioned {
		is.Equal(n.revision, old)
		is.True(f.completesWithin(n, n, 10*time.Second))
	}
	f.reconnect()
	f.advance(5 * time.Second)
	for _, n := range partitioned {
		is.Equal(n.revision, old+1)
	}
	f.checkStarts()
}

// TestDrainWithSilentEndpoints guards against a drain that waits for the
// deadline of tasks whose connections have gone silent, and against a process
// that exits before it has answered their caller.
func TestDrainWithSilentEndpoints(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	for _, e := range f.endpoints {
		e.dropsReplies = true
	}
	s := f.newSubmission(f.instances[0], sheetPress, "studio", 4, time.Hour)
	f.submit(f.instances[0], s)
	f.advance(100 * time.Millisecond)
	f.handle(f.instances[0], instance.Drain{})
	f.advance(20 * time.Second)
	is.True(f.instances[0].exited)
	is.Equal(s.answer.State, work.Failed)
	is.Equal(s.answer.Failures[0].Error.Ran, fault.RanUnknown)
	f.checkStarts()
}

// TestCancelInBurst guards against cancelled jobs that still delay the requests
// queued behind them during a burst.
func TestCancelInBurst(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	var jobs, singles []*callerSubmission
	for i := range 12 {
		s := f.newSubmission(f.instances[i%2], sheetPress, "studio", 80, time.Hour)
		f.submit(f.instances[i%2], s)
		jobs = append(jobs, s)
	}
	for i := range 20 {
		s := f.newSubmission(f.instances[i%2], sheetPress, "studio", 1, time.Hour)
		f.submit(f.instances[(i+1)%2], s)
		singles = append(singles, s)
	}
	f.advance(100 * time.Millisecond)
	for _, s := range jobs {
		f.handle(f.instances[0], instance.Cancel{ID: s.submission.ID})
	}
	f.advance(4 * time.Second)
	for _, s := range jobs {
		is.Equal(s.answer.State, work.Failed)
	}
	for _, s := range singles {
		is.True(s.answer != nil)
		is.Equal(s.answer.State, work.Complete)
	}
	f.checkStarts()
}

// TestHomeRestartedTwice guards against submissions of a home that was
// restarted twice in a row: they must not start again when they are
// resubmitted, and must be refused with an unknown outcome.
func TestHomeRestartedTwice(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	var old []*callerSubmission
	for range 2 {
		s := f.newSubmission(f.instances[0], sheetPress, "studio", 40, time.Hour)
		f.submit(f.instances[1], s)
		f.advance(300 * time.Millisecond)
		old = append(old, s)
		f.kill(f.instances[0])
		f.start(f.instances[0])
		f.advance(2 * time.Second)
		f.readStore()
		f.advance(500 * time.Millisecond)
	}
	for _, s := range old {
		for _, n := range f.instances {
			s.refusal = nil
			f.submit(n, s)
			f.advance(time.Second)
			is.True(s.refusal != nil)
			is.Equal(s.refusal.Kind, fault.OutcomeUnknown)
		}
	}
	is.True(f.completesWithin(f.instances[0], f.instances[1], 10*time.Second))
	f.checkStarts()
}

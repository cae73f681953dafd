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

// answeredBy submits a job of ten tasks and reports whether its answer is
// complete after d.
func (f *fleet) answeredBy(home, via *node, d time.Duration) bool {
	s := f.newSubmission(home, sheetPress, "studio", 10, time.Minute)
	if s == nil {
		return false
	}
	f.submit(via, s)
	f.run(d)
	return s.answer != nil && s.answer.State == work.Complete
}

// TestStoreDownAndDeath guards against a store outage that keeps the endpoints
// of a dead instance from being used, or its successor from serving.
func TestStoreDownAndDeath(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 3, 3)
	f.storeDown = true
	f.kill(f.nodes[0])
	f.run(4 * time.Second)
	owned := 0
	for _, n := range f.nodes[1:] {
		for _, sv := range n.core.Status(f.now).Services {
			owned += len(sv.Endpoints)
		}
	}
	is.Equal(owned, len(f.endpoints))
	is.True(f.answeredBy(f.nodes[1], f.nodes[2], 10*time.Second))
	f.start(f.nodes[0])
	f.run(3 * time.Second)
	is.True(f.answeredBy(f.nodes[0], f.nodes[0], 10*time.Second))
	f.check()
}

// TestPartitionAndApply guards against a data centre that stops serving while
// it is cut off from the others and the store, and against one that keeps the
// old configuration once the partition heals.
func TestPartitionAndApply(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 2, 2, 2)
	near, far := f.nodes[:2], f.nodes[2:]
	for _, n := range far {
		n.storeless = true
		for _, o := range near {
			f.cut(n, o)
		}
	}
	old := ident.Revision(f.revision.Revision)
	f.apply(f.revision.File)
	f.run(15 * time.Second)
	for _, n := range near {
		is.Equal(n.revision, old+1)
	}
	for _, n := range far {
		is.Equal(n.revision, old)
		is.True(f.answeredBy(n, n, 10*time.Second))
	}
	f.reconnect()
	f.run(5 * time.Second)
	for _, n := range far {
		is.Equal(n.revision, old+1)
	}
	f.check()
}

// TestSilenceInDrain guards against a drain that waits for the deadline of
// tasks whose connections have gone silent, and against one that leaves
// without telling their caller.
func TestSilenceInDrain(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	for _, e := range f.endpoints {
		e.silent = true
	}
	s := f.newSubmission(f.nodes[0], sheetPress, "studio", 4, time.Hour)
	f.submit(f.nodes[0], s)
	f.run(100 * time.Millisecond)
	f.handle(f.nodes[0], instance.Drain{})
	f.run(20 * time.Second)
	is.True(f.nodes[0].left)
	is.Equal(s.answer.State, work.Failed)
	is.Equal(s.answer.Failures[0].Error.Ran, fault.RanUnknown)
	f.check()
}

// TestCancelInBurst guards against a burst whose cancelled jobs go on holding
// up the requests behind them.
func TestCancelInBurst(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	var jobs, singles []*submitted
	for i := range 12 {
		s := f.newSubmission(f.nodes[i%2], sheetPress, "studio", 80, time.Hour)
		f.submit(f.nodes[i%2], s)
		jobs = append(jobs, s)
	}
	for i := range 20 {
		s := f.newSubmission(f.nodes[i%2], sheetPress, "studio", 1, time.Hour)
		f.submit(f.nodes[(i+1)%2], s)
		singles = append(singles, s)
	}
	f.run(100 * time.Millisecond)
	for _, s := range jobs {
		f.handle(f.nodes[0], instance.Cancel{ID: s.s.ID})
	}
	f.run(4 * time.Second)
	for _, s := range jobs {
		is.Equal(s.answer.State, work.Failed)
	}
	for _, s := range singles {
		is.True(s.answer != nil)
		is.Equal(s.answer.State, work.Complete)
	}
	f.check()
}

// TestTwoRestarts guards against a home that was restarted twice in a row and
// whose old ids start again, or are answered as anything but unknown.
func TestTwoRestarts(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	var old []*submitted
	for range 2 {
		s := f.newSubmission(f.nodes[0], sheetPress, "studio", 40, time.Hour)
		f.submit(f.nodes[1], s)
		f.run(300 * time.Millisecond)
		old = append(old, s)
		f.kill(f.nodes[0])
		f.start(f.nodes[0])
		f.run(2 * time.Second)
		f.readStore()
		f.run(500 * time.Millisecond)
	}
	for _, s := range old {
		for _, n := range f.nodes {
			s.refused = nil
			f.submit(n, s)
			f.run(time.Second)
			is.True(s.refused != nil)
			is.Equal(s.refused.Kind, fault.OutcomeUnknown)
		}
	}
	is.True(f.answeredBy(f.nodes[0], f.nodes[1], 10*time.Second))
	f.check()
}

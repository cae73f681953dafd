package congestion_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/congestion"
)

// link carries one call after the other and answers after a delay; a call that
// is not answered within the timeout counts as lost, but is carried all the
// same.
type link struct {
	perCall, delay, timeout time.Duration
	busyUntil               time.Time
}

type call struct {
	sent, done time.Time
	answered   bool
}

func (l *link) send(now time.Time) call {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(l.perCall)
	done := l.busyUntil.Add(l.delay)
	if done.Sub(now) > l.timeout {
		return call{sent: now, done: now.Add(l.timeout)}
	}
	return call{sent: now, done: done, answered: true}
}

// flood offers calls at a rate for a time and returns how many were answered.
// Calls that the window holds back wait.
func flood(w *congestion.Window, l *link, now time.Time, d, interval time.Duration) (answered int, inFlight []call) {
	const step = time.Millisecond
	waiting, owed := 0, time.Duration(0)
	for end := now.Add(d); now.Before(end); now = now.Add(step) {
		for owed += step; owed >= interval; owed -= interval {
			waiting++
		}
		open := inFlight[:0]
		for i, c := range inFlight {
			if c.done.After(now) {
				open = append(open, c)
				continue
			}
			if c.answered {
				answered++
			}
			w.Observe(now, c.done.Sub(c.sent), c.answered, len(open)+len(inFlight)-i-1)
		}
		inFlight = open
		for n := min(waiting, w.Free(len(inFlight))); n > 0; n-- {
			waiting--
			inFlight = append(inFlight, l.send(now))
		}
	}
	return answered, inFlight
}

// TestFloodedLink guards against calls that fill a link beyond what it carries
// until none of them is answered in time, and against a window that stays small
// once the load has fallen.
func TestFloodedLink(t *testing.T) {
	const perCall = 2 * time.Millisecond // the link carries 500 calls a second
	for _, times := range []int{2, 4, 10} {
		t.Run(fmt.Sprint(times, "times"), func(t *testing.T) {
			is := is.New(t)
			w := congestion.New(congestion.Config{})
			l := &link{perCall: perCall, delay: 2 * time.Millisecond, timeout: 120 * time.Millisecond}
			now := time.Unix(1_800_000_000, 0)
			flood(w, l, now, time.Second, 2*perCall) // a load that it carries
			now = now.Add(time.Second)
			flood(w, l, now, time.Second, perCall/time.Duration(times))
			now = now.Add(time.Second)
			answered, _ := flood(w, l, now, 4*time.Second, perCall/time.Duration(times))
			is.True(answered >= 4*500*9/10) // nine tenths of what the link carries alone
			now = now.Add(5 * time.Second)
			l.perCall = perCall / 20 // the link is free again
			answered, _ = flood(w, l, now, time.Second, perCall/10)
			is.True(answered >= 5000*8/10)
		})
	}
}

// TestLossIsNotCongestion guards against a window that takes endpoints which do
// not answer for congestion, also if they are half of all, and against one that
// never shrinks since no call is answered at all.
func TestLossIsNotCongestion(t *testing.T) {
	for name, lost := range map[string]int{"a sixth": 6, "half": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := congestion.New(congestion.Config{})
			now := time.Unix(1_800_000_000, 0)
			for i := range 4000 {
				now = now.Add(time.Millisecond)
				if i%lost == 0 {
					w.Observe(now, 120*time.Millisecond, false, 20)
				} else {
					w.Observe(now, 3*time.Millisecond, true, 20)
				}
				is.True(!w.Congested())
			}
			is.Equal(w.Interval(), time.Duration(0))
			before := w.Free(0)
			for range 200 {
				now = now.Add(10 * time.Millisecond)
				w.Observe(now, 120*time.Millisecond, false, 20)
			}
			is.True(w.Free(0) < before/4)
		})
	}
}

// TestLossBesideSlowAnswersIsCongestion guards against an overloaded owner whose
// answers are cut off by their time-out, so that those which arrive seem fast
// enough.
func TestLossBesideSlowAnswersIsCongestion(t *testing.T) {
	is := is.New(t)
	w := congestion.New(congestion.Config{})
	now := time.Unix(1_800_000_000, 0)
	w.Observe(now, 3*time.Millisecond, true, 20)
	for i := range 400 {
		now = now.Add(time.Millisecond)
		if i%5 < 2 {
			w.Observe(now, 90*time.Millisecond, false, 20)
		} else {
			w.Observe(now, 30*time.Millisecond, true, 20)
		}
	}
	is.True(w.Congested())
}

package owner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

// flooded returns a harness whose endpoints are offered several times what they
// can run for a time, with what each order asked for and how it ended.
type flooded struct {
	*harness
	placedAt map[job.ID]time.Time
	done     int
	// refusedAfter holds how long each refused job had waited.
	refusedAfter []time.Duration
	retryAfter   time.Duration
	overdue      int
	mostWaiting  int
	// inTime counts the jobs that ended within their target.
	inTime int
}

// flood offers jobs of one task that take 100 ms on a third of an endpoint.
func (f *flooded) flood(d, interval time.Duration) {
	const step = 5 * time.Millisecond
	owed := time.Duration(0)
	for end := f.now.Add(d); f.now.Before(end); {
		for owed += step; owed >= interval; owed -= interval {
			o := order(fmt.Sprint("j-", len(f.placedAt)), 1, 10_000)
			o.Target, o.Deadline, o.Needs.Estimate = 300*time.Millisecond, 1500*time.Millisecond, 100*time.Millisecond
			f.placedAt[o.Job] = f.now
			f.place(home1, o)
		}
		f.answerStarts()
		f.advance(step)
		f.answerPolls()
		f.mostWaiting = max(f.mostWaiting, f.pool.Stats(f.now).Waiting)
		for _, end := range f.ends {
			waited := f.now.Sub(f.placedAt[end.Key.Job])
			switch {
			case end.Outcome == job.Done:
				f.done++
				if waited <= 300*time.Millisecond {
					f.inTime++
				}
			case end.Outcome == job.Refused && waited < 1500*time.Millisecond:
				f.refusedAfter = append(f.refusedAfter, waited)
				f.retryAfter = max(f.retryAfter, end.RetryAfter)
			default:
				f.overdue++
			}
		}
		f.ends = f.ends[:0]
	}
}

// TestFloodIsRefusedEarly guards against a flood in which work waits until its
// deadline passes, and in which work that could be served is refused: an owner
// at two, four and ten times its room still runs what it runs at its room.
func TestFloodIsRefusedEarly(t *testing.T) {
	const endpoints, capacity = 4, 4 * 3 * 10 // runs a second: three at a time, 100 ms each
	for _, times := range []int{2, 4, 10} {
		t.Run(fmt.Sprint(times, "times"), func(t *testing.T) {
			f := &flooded{harness: newHarness(t, endpoints), placedAt: map[job.ID]time.Time{}}
			f.flood(2*time.Second, time.Second/capacity)
			f.is.Equal(len(f.refusedAfter)+f.overdue, 0) // nothing is refused at its room
			alone := f.done
			f.flood(2*time.Second, time.Second/time.Duration(times*capacity))
			f.done, f.refusedAfter, f.overdue, f.mostWaiting = 0, nil, 0, 0
			f.flood(4*time.Second, time.Second/time.Duration(times*capacity))
			t.Logf("%d done, %d refused, %d overdue, %d waited at most", f.done, len(f.refusedAfter), f.overdue, f.mostWaiting)
			f.is.True(f.done >= 2*alone*9/10)
			f.is.Equal(f.overdue, 0)
			f.is.True(f.retryAfter >= time.Second)
			f.is.True(f.mostWaiting <= times*capacity) // a second of arrivals
			// The load falls: a second later nothing is refused any more.
			f.flood(time.Second, 2*time.Second/capacity)
			f.refusedAfter = nil
			f.flood(2*time.Second, 2*time.Second/capacity)
			f.is.Equal(len(f.refusedAfter)+f.overdue, 0)
		})
	}
}

// TestOverloadServesInTime guards against a load a little above the room that
// makes all jobs late, since all wait until it is nearly too late: what the
// endpoints can run still ends in time, though estimates are off by 40%, and
// the rest is refused.
func TestOverloadServesInTime(t *testing.T) {
	const endpoints, capacity = 4, 4 * 3 * 10 // as in TestFloodIsRefusedEarly
	for _, percent := range []int{110, 130, 200} {
		t.Run(fmt.Sprint(percent, "percent"), func(t *testing.T) {
			f := &flooded{harness: newHarness(t, endpoints), placedAt: map[job.ID]time.Time{}}
			rnd := rand.New(rand.NewPCG(1, 2))
			for _, e := range f.endpoints {
				e.PlanOf = func(job.Key) leased.RunPlan {
					return leased.RunPlan{Duration: time.Duration(60+rnd.IntN(80)) * time.Millisecond}
				}
			}
			interval := time.Second * 100 / time.Duration(percent*capacity)
			f.flood(2*time.Second, interval)
			f.done, f.inTime, f.refusedAfter, f.overdue = 0, 0, nil, 0
			f.flood(5*time.Second, interval)
			t.Logf("%d done, %d in time, %d refused, %d overdue", f.done, f.inTime, len(f.refusedAfter), f.overdue)
			f.is.True(f.inTime >= 5*capacity*85/100)
			f.is.Equal(f.overdue, 0)
		})
	}
}

// TestUnreachedRoomHidesNoFlood guards against a flood in which work waits until
// its deadline passes, since an endpoint that nobody can reach is listed with a
// large room.
func TestUnreachedRoomHidesNoFlood(t *testing.T) {
	const endpoints, capacity = 4, 4 * 3 * 10 // as in TestFloodIsRefusedEarly
	f := &flooded{harness: newHarness(t, endpoints), placedAt: map[job.ID]time.Time{}}
	unreached := owner.Endpoint{ID: "odd", Service: "render", Room: job.Room{CPU: 10_000_000, Memory: 1_000_000}}
	f.collect(f.pool.SetEndpoints(f.now, f.now, append(f.entries, unreached)))
	f.flood(2*time.Second, time.Second/(4*capacity))
	f.done, f.inTime, f.refusedAfter, f.overdue = 0, 0, nil, 0
	f.flood(4*time.Second, time.Second/(4*capacity))
	slices.Sort(f.refusedAfter)
	t.Logf("%d done, %d in time, %d refused after %v", f.done, f.inTime, len(f.refusedAfter), f.refusedAfter[len(f.refusedAfter)/2])
	f.is.Equal(f.overdue, 0)
	f.is.True(f.done >= 4*capacity*85/100)
	f.is.True(f.refusedAfter[len(f.refusedAfter)/2] <= 50*time.Millisecond) // docs/platform.md, "bursts"
}

// TestTakeoverIsNoFlood guards against late work that is refused while
// endpoints are free, since the tasks that homes place again at a new owner
// count as arriving load, although they run already or soon end.
func TestTakeoverIsNoFlood(t *testing.T) {
	const endpoints, capacity = 4, 4 * 3 * 10 // as in TestFloodIsRefusedEarly
	f := &flooded{harness: newHarness(t, endpoints), placedAt: map[job.ID]time.Time{}}
	f.flood(time.Second/2, time.Second/2/capacity) // tasks wait: the room is known
	f.flood(2*time.Second, 3*time.Second/capacity)
	f.done, f.refusedAfter, f.overdue, f.mostWaiting = 0, nil, 0, 0
	again := order("again", 2*capacity, 10_000)
	again.MayHaveStarted = true
	f.place(home1, again)
	f.collect(f.pool.Withdraw(f.now, home1, again.Job))
	for i := range capacity / 3 {
		o := order(fmt.Sprint("late-", i), 1, 10_000)
		o.Target, o.Deadline, o.Needs.Estimate = 0, 900*time.Millisecond, 100*time.Millisecond
		f.placedAt[o.Job] = f.now
		f.place(home1, o)
	}
	f.ends = f.ends[:0]
	f.flood(time.Second, 3*time.Second/capacity)
	t.Logf("%d done, refused %v, overdue %d, waiting %d", f.done, f.refusedAfter, f.overdue, f.mostWaiting)
	f.is.Equal(len(f.refusedAfter)+f.overdue, 0)
}

// TestCrashedEndpointsAreNoCapacity guards against work that waits past its
// target for the room of endpoints that crashed and are still listed, and is
// refused then: with half of its endpoints gone, an owner refuses half of its
// full load early.
func TestCrashedEndpointsAreNoCapacity(t *testing.T) {
	const endpoints, capacity = 4, 4 * 3 * 10 // as in TestFloodIsRefusedEarly
	f := &flooded{harness: newHarness(t, endpoints), placedAt: map[job.ID]time.Time{}}
	f.flood(2*time.Second, time.Second/capacity)
	f.down["e-2"], f.down["e-3"] = true, true
	f.flood(2*time.Second, time.Second/capacity)
	f.done, f.inTime, f.refusedAfter, f.overdue = 0, 0, nil, 0
	f.flood(2*time.Second, time.Second/capacity)
	t.Logf("%d done, %d in time, %d refused after %v at most, %d overdue", f.done, f.inTime, len(f.refusedAfter), slices.Max(f.refusedAfter), f.overdue)
	f.is.Equal(f.overdue, 0)
	f.is.True(slices.Max(f.refusedAfter) < 300*time.Millisecond) // before the target passes
}

// TestImpossibleTaskHoldsNothingUp guards against a job that no endpoint can run
// and that makes all others look hopeless: its work is more than any capacity.
func TestImpossibleTaskHoldsNothingUp(t *testing.T) {
	const endpoints, capacity = 4, 4 * 3 * 10 // as in TestFloodIsRefusedEarly
	f := &flooded{harness: newHarness(t, endpoints), placedAt: map[job.ID]time.Time{}}
	f.flood(time.Second/2, time.Second/2/capacity) // tasks wait: the room is known
	f.flood(2*time.Second, 2*time.Second/capacity)
	impossible := order("impossible", 1, 10_000)
	impossible.Needs.Room.GPU, impossible.Deadline = 1, time.Minute
	f.place(home1, impossible)
	f.done, f.refusedAfter, f.overdue = 0, nil, 0
	for round := range 8 {
		for i := range capacity / 5 { // 200 ms of work at once
			o := order(fmt.Sprintf("r-%d-%d", round, i), 1, 10_000)
			o.Needs.Estimate = 100 * time.Millisecond
			f.placedAt[o.Job] = f.now
			f.place(home1, o)
		}
		f.flood(300*time.Millisecond, time.Hour)
	}
	f.is.Equal(len(f.refusedAfter)+f.overdue, 0)
	f.is.True(f.done >= 8*capacity/5)
}

// TestOwnerWithoutEndpoints guards against callers that wait to their deadline
// at an owner that knows no endpoint, and against refusals while it has just
// started and its list is about to arrive.
func TestOwnerWithoutEndpoints(t *testing.T) {
	h := newHarness(t, 0)
	h.place(home1, order("j", 2, 10_000))
	h.advance(300 * time.Millisecond)
	h.is.Equal(len(h.ends), 0)
	h.advance(300 * time.Millisecond)
	h.is.Equal(len(h.ends), 2)
	h.is.Equal(h.ends[0].Outcome, job.Refused)
	h.is.True(h.ends[0].RetryAfter >= 200*time.Millisecond)
}

// TestMaxWaiting guards against a flood whose tasks take up memory without
// bound.
func TestMaxWaiting(t *testing.T) {
	h := newHarnessWith(t, 1, owner.Config{MaxWaiting: 100})
	for i := range 50 {
		o := order(fmt.Sprint("j-", i), 10, 40_000)
		o.Deadline = time.Hour
		h.place(home1, o)
	}
	h.is.Equal(h.pool.Stats(h.now).Waiting, 100)
	h.is.Equal(len(h.ends), 400)
	for _, end := range h.ends {
		h.is.Equal(end.Outcome, job.Refused)
	}
}

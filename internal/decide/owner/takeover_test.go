package owner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// TestTakeover guards against runs of an earlier owner that are started again,
// or kept without anybody who waits for them.
func TestTakeover(t *testing.T) {
	b := newBench(t, 1)
	b.place(home1, order("j", 1, 10_000))
	b.place(home2, order("k", 1, 10_000))
	b.startAll()
	b.pass(10 * time.Millisecond)
	b.take(b.pool.Activate(b.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	handed := order("j", 1, 10_000)
	handed.Handed = true
	b.place(home1, handed)
	b.lookAll()
	b.is.Equal(len(b.starts), 0) // adopted
	b.is.Equal(b.pool.Stats(b.now).Adopted, uint64(1))
	b.place(home1, order("l", 1, 10_000))
	b.is.Equal(len(b.starts), 0) // a run of unknown room is there
	b.pass(50 * time.Millisecond)
	b.is.Equal(len(b.stops), 0)
	// The home of k does not place it in time.
	for range 20 {
		b.pass(20 * time.Millisecond)
	}
	b.lookAll()
	b.pass(time.Millisecond)
	b.is.True(b.pool.Stats(b.now).Unclaimed <= 1)
}

// TestHandedTask guards against a task of another owner that starts before every
// endpoint was looked at since.
func TestHandedTask(t *testing.T) {
	b := newBench(t, 2)
	b.pass(10 * time.Millisecond)
	o := order("j", 1, 10_000)
	o.Handed = true
	b.place(home1, o)
	b.is.Equal(len(b.starts), 0)
	b.list()
	looks := b.looks
	b.looks = nil
	for _, l := range looks {
		if l.Endpoint == "e-0" {
			out := b.endpoints[l.Endpoint].Look(b.now, l)
			out.Sent = b.now
			b.take(b.pool.Looked(b.now, &out))
		}
	}
	b.is.Equal(len(b.starts), 0) // e-1 may run it
	b.pass(1700 * time.Millisecond)
	b.is.Equal(b.ends[0].Outcome, job.Overdue) // its deadline of 1.5 s has passed
}

// TestLaterActivation guards against orders of an earlier activation that are
// carried out after the looks of the next one.
func TestLaterActivation(t *testing.T) {
	b := newBench(t, 1)
	b.place(home1, order("j", 1, 10_000))
	late := b.starts[0]
	b.starts = nil
	b.pool.Deactivate()
	b.take(b.pool.Activate(b.now, owner.NewFence(5, 1), func(owner.Endpoint) bool { return true }))
	b.looks = b.looks[len(b.looks)-1:]
	b.lookAll()
	b.is.Equal(b.endpoints["e-0"].Start(b.now, late).Reply, owner.Fenced)
}

// TestOvertakenRefusal guards against an endpoint that is left alone because an
// order under an earlier fence was refused.
func TestOvertakenRefusal(t *testing.T) {
	b := newBench(t, 1)
	b.place(home1, order("j", 1, 10_000))
	late := b.starts[0]
	b.starts = nil
	b.now = b.now.Add(50 * time.Millisecond)
	b.endpoints["e-0"].Boot(b.now)
	b.list()
	for range 2 { // the second look raises the fence
		b.pass(10 * time.Millisecond)
		b.lookAll()
	}
	a := b.endpoints["e-0"].Start(b.now, late)
	b.is.Equal(a.Reply, owner.Fenced)
	b.take(b.pool.Answered(b.now, &a))
	b.is.Equal(b.pool.Stats(b.now).Foreign, 0)
	b.is.Equal(b.pool.Stats(b.now).Held, 1)
}

// TestShortLease guards against runs of an earlier owner that live longer than
// the wait of their homes, which may have started their tasks elsewhere.
func TestShortLease(t *testing.T) {
	b := newBench(t, 1)
	b.place(home1, order("j", 1, 10_000))
	b.startAll()
	b.take(b.pool.Activate(b.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	b.looks = b.looks[len(b.looks)-1:]
	b.lookAll()
	b.pass(10 * time.Millisecond)
	look := b.looks[len(b.looks)-1]
	clock := b.endpoints["e-0"].Look(b.now, look).Clock
	cfg := owner.Config{}.Defaults()
	b.is.True(look.Until > 0)
	b.is.True(time.Duration(look.Until-clock)*time.Millisecond <= cfg.AdoptWait+150*time.Millisecond)
}

// TestHiddenEndpoint guards against forgetting an endpoint that a cut hides from
// the list, on which another owner may run a task that is handed over.
func TestHiddenEndpoint(t *testing.T) {
	b := newBench(t, 2)
	visible := b.entries[:1]
	for range 200 { // 5 s
		b.now = b.now.Add(25 * time.Millisecond)
		b.take(b.pool.SetEndpoints(b.now, b.now, visible))
		looks := b.looks
		b.looks = nil
		for _, l := range looks {
			out := owner.Looked{Call: l.Number, Reply: owner.Unknown}
			if l.Endpoint == "e-0" {
				out = b.endpoints[l.Endpoint].Look(b.now, l)
			}
			out.Sent = b.now
			b.take(b.pool.Looked(b.now, &out))
		}
	}
	o := order("j", 1, 10_000)
	o.Handed = true
	b.place(home1, o)
	for _, l := range b.looks {
		if l.Endpoint == "e-0" {
			out := b.endpoints[l.Endpoint].Look(b.now, l)
			out.Sent = b.now
			b.take(b.pool.Looked(b.now, &out))
		}
	}
	b.is.Equal(len(b.starts), 0)
}

// TestNewLife guards against tasks that are believed to run on an endpoint which
// has started anew, and against orders to its earlier life.
func TestNewLife(t *testing.T) {
	b := newBench(t, 1)
	b.place(home1, order("j", 1, 10_000))
	late := b.starts[0]
	b.startAll()
	b.now = b.now.Add(50 * time.Millisecond)
	b.endpoints["e-0"].Boot(b.now)
	b.pass(10 * time.Millisecond)
	b.lookAll()
	b.is.Equal(len(b.stops), 1) // nothing else proves that the new life does not run it
	b.stopAll()
	b.list() // the entry of the new life
	b.pass(10 * time.Millisecond)
	b.lookAll()
	b.pass(10 * time.Millisecond)
	b.lookAll()
	b.is.Equal(len(b.starts), 1)
	b.is.Equal(b.starts[0].Run, 2)
	b.is.Equal(b.endpoints["e-0"].Start(b.now, late).Reply, owner.Fenced)
}

// TestUnsureNewLife guards against giving up what a new life may run when an
// earlier look at the endpoint fails and the next one cannot be sent yet.
func TestUnsureNewLife(t *testing.T) {
	b := newBenchWith(t, 2, owner.Config{MaxProbes: 1})
	b.place(home1, order("j", 1, 10_000))
	start := b.starts[0]
	b.starts = nil
	b.now = b.now.Add(50 * time.Millisecond)
	for _, e := range b.endpoints {
		e.Boot(b.now)
	}
	a := b.endpoints[start.Endpoint].Start(b.now, start) // the new life takes the start
	b.is.Equal(a.Reply, owner.OK)
	waiting := b.looks
	b.looks = nil
	b.take(b.pool.Answered(b.now, &owner.Answered{Call: start.Number, Reply: owner.Unknown}))
	b.is.Equal(len(b.looks), 1)
	early := b.looks[0]
	b.looks = nil
	b.now = b.now.Add(10 * time.Millisecond)
	// The other endpoint's look comes first and takes the only probe.
	if waiting[0].Endpoint == start.Endpoint {
		slices.Reverse(waiting)
	}
	for _, l := range waiting {
		out := b.endpoints[l.Endpoint].Look(b.now, l)
		out.Sent, out.Running = b.now, nil // the list was made before the start
		b.take(b.pool.Looked(b.now, &out))
	}
	b.take(b.pool.Looked(b.now, &owner.Looked{Call: early.Number, Reply: owner.Unknown}))
	b.is.Equal(b.pool.Stats(b.now).Lost, uint64(0)) // it may run
	b.list()
	for _, l := range b.looks {
		if l.Endpoint != start.Endpoint {
			out := b.endpoints[l.Endpoint].Look(b.now, l)
			out.Sent = b.now
			b.take(b.pool.Looked(b.now, &out))
		}
	}
	b.take(b.pool.Tick(b.now))
	b.is.Equal(len(b.starts), 0)
}

// TestInheritedEnds guards against a task that runs again because the owner that
// it ran under ended before it reported the end.
func TestInheritedEnds(t *testing.T) {
	cases := map[string]bool{"placed before the look": true, "placed after the look": false}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1)
			b.place(home1, order("j", 1, 10_000))
			b.startAll()
			b.pass(150 * time.Millisecond) // done, and not looked at
			b.looks = nil
			b.take(b.pool.Activate(b.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
			o := order("j", 1, 10_000)
			o.Handed = true
			if before {
				b.place(home1, o)
			}
			b.lookAll()
			if !before {
				b.place(home1, o)
			}
			b.is.Equal(len(b.starts), 0)
			b.is.Equal(len(b.ends), 1)
			b.is.Equal(b.ends[0].Outcome, job.Done)
		})
	}
}

// TestUnownedMeanwhile guards against starts on an endpoint that this owner did
// not look at while another one could own it.
func TestUnownedMeanwhile(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Select(func(owner.Endpoint) bool { return false })
	b.pass(20 * time.Millisecond)
	b.pool.Select(func(owner.Endpoint) bool { return true })
	b.place(home1, order("j", 1, 10_000))
	b.is.Equal(len(b.starts), 0)
	b.pass(20 * time.Millisecond)
	b.lookAll()
	b.is.Equal(len(b.starts), 1)
}

// TestTakeoverLooks guards against a new owner of many endpoints that makes so
// many calls at once that they run into their time limits.
func TestTakeoverLooks(t *testing.T) {
	const endpoints, homes = 350, 35
	b := newBench(t, endpoints)
	b.looks = nil
	b.take(b.pool.Activate(b.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	most, looks := 0, 0
	answer := func() {
		atOnce := 0
		for _, l := range b.looks {
			if l.Wait == 0 {
				atOnce++
			}
		}
		most, looks = max(most, atOnce), looks+atOnce
		b.lookAll()
	}
	for range 20 {
		b.pass(5 * time.Millisecond)
		answer()
	}
	b.is.Equal(b.pool.Stats(b.now).Held, endpoints) // all were looked at
	b.is.True(most <= owner.Config{}.Defaults().MaxProbes)
	most, looks = 0, 0
	for i := range homes {
		o := order(fmt.Sprint("j-", i), 1, 10_000)
		o.Handed = true
		b.place(ident.Process{Instance: ident.InstanceID(fmt.Sprint("home-", i))}, o)
		b.pass(time.Millisecond)
		answer()
	}
	b.is.True(looks <= 2*endpoints) // one home after the other brought its tasks
	for range 10 {
		b.pass(25 * time.Millisecond)
		b.list()
		answer()
		b.startAll()
	}
	done := 0
	for _, e := range b.endpoints {
		done += len(e.Running())
	}
	b.is.Equal(done+len(b.ends), homes) // all handed tasks were started
}

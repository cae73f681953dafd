package owner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

// TestNotes guards against runs that are lost, taken over or given up without a
// word in the logs.
func TestNotes(t *testing.T) {
	tests := map[string]struct {
		happens func(b *bench)
		event   owner.Event
		again   bool
	}{
		"taken over": {func(b *bench) {
			b.startAll()
			b.pass(10 * time.Millisecond)
			b.take(b.pool.Activate(b.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
			handed := order("j", 1, 10_000)
			handed.Handed = true
			b.place(home1, handed)
			b.lookAll()
		}, owner.Adopted, true},
		"declined": {func(b *bench) {
			b.take(b.pool.Answered(b.now, &owner.Answered{Call: b.starts[0].Number, Reply: owner.Full}))
		}, owner.Declined, true},
		"another owner": {func(b *bench) {
			b.take(b.pool.Answered(b.now, &owner.Answered{Call: b.starts[0].Number, Reply: owner.Fenced}))
		}, owner.Yielded, true},
		"lease over": {func(b *bench) {
			b.startAll()
			for range 80 {
				looks := b.looks
				b.looks = nil
				for _, l := range looks {
					b.take(b.pool.Looked(b.now, &owner.Looked{Call: l.Number, Reply: owner.Unknown}))
				}
				b.pass(100 * time.Millisecond)
			}
		}, owner.Lapsed, true},
		"broken": {func(b *bench) {
			b.startAll()
			b.take(b.pool.Looked(b.now, &owner.Looked{
				Call: b.looks[0].Number, Clock: 2000, Born: b.endpoints["e-0"].Entry.Born,
				Ended: []owner.Ended{{Number: 1, Key: job.Key{Job: "j"}, Run: 1, How: owner.EndOther}},
			}))
		}, owner.Broken, true},
		"new life": {func(b *bench) {
			b.startAll()
			b.now = b.now.Add(time.Second)
			b.endpoints["e-0"].Boot(b.now)
			b.list()
			b.lookAll()
		}, owner.Reborn, true},
		"no home": {func(b *bench) {
			b.startAll()
			b.take(b.pool.Activate(b.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
			b.lookAll()
			b.pass(400 * time.Millisecond)
		}, owner.Unclaimed, false},
		"came again": {func(b *bench) {
			b.startAll()
			b.place(home2, order("j", 1, 10_000))
		}, owner.Resubmitted, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 1)
			b.endpoints["e-0"].Plan = func(job.Key) leased.Work { return leased.Work{Time: time.Minute} }
			o := order("j", 1, 10_000)
			o.Deadline = time.Minute
			b.place(home1, o)
			tt.happens(b)
			is.True(len(b.notes) > 0)
			is.Equal(b.notes[0].Event, tt.event)
			is.Equal(b.notes[0].Key, job.Key{Job: "j"})
			is.Equal(b.notes[0].Endpoint, b.entries[0].ID)
			if tt.event != owner.Adopted {
				is.Equal(b.notes[0].Wanted, tt.again)
			}
		})
	}
}

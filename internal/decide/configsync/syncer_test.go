package configsync_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/configsync"
)

// TestOwnerSpreadsReads guards against instances that all read the whole
// configuration from the store at short intervals, and against an owner that
// does all the reads.
func TestOwnerSpreadsReads(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := configsync.New(now, rand.New(rand.NewPCG(1, 0)))
	peers := []ident.Process{peerNamed("a"), peerNamed("b"), peerNamed("c")}
	s.Observe(now, 1, 1)
	reads := map[ident.InstanceID]int{}
	for end := now.Add(100 * time.Second); now.Before(end); now = now.Add(25 * time.Millisecond) {
		read := s.TickOwner(now, peers)
		for _, p := range peers {
			if s.TakeHelper(p) {
				reads[p.Instance]++
				s.Observe(now, 1, 1) // its notice
			}
		}
		if read {
			reads["self"]++
			s.EndRead(now, true)
			s.Observe(now, 1, 1)
		}
	}
	total := 0
	for _, n := range reads {
		total += n
		is.True(n > 20)
	}
	is.True(total >= 130 && total <= 145) // one in 0.7 s
}

// TestOwnerThatCannotRead guards against an owner that the store turns away and
// that asks nobody to read for it, so that all instances do.
func TestOwnerThatCannotRead(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := configsync.New(now, rand.New(rand.NewPCG(1, 0)))
	helper := peerNamed("a")
	helped := 0
	for range 100 {
		now = now.Add(300 * time.Millisecond)
		if s.TickOwner(now, []ident.Process{helper}) {
			s.EndRead(now, false)
		}
		if s.TakeHelper(helper) {
			helped++
		}
	}
	is.True(helped > 30)
}

// TestReadsWithoutOwner guards against an instance that trusts its watch while
// the owner makes nobody read, and against an age that says less than is known.
func TestReadsWithoutOwner(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := configsync.New(now, rand.New(rand.NewPCG(1, 0)))
	is.Equal(s.Age(now), configsync.UnknownAge)
	s.Observe(now, 2, 1) // of a version that this instance lacks
	is.Equal(s.Age(now), configsync.UnknownAge)
	s.Observe(now, 1, 1)
	s.Observe(now.Add(-time.Second), 1, 1)
	is.Equal(s.Age(now), time.Duration(0))
	is.True(!s.Tick(now.Add(990 * time.Millisecond)))
	is.True(s.Tick(now.Add(1400 * time.Millisecond)))
	is.True(!s.Tick(now.Add(3 * time.Second))) // the read goes on
	s.EndRead(now.Add(3*time.Second), false)
	is.True(!s.Tick(now.Add(3300 * time.Millisecond)))
	is.True(s.Tick(now.Add(3400 * time.Millisecond)))
	s.HandlePause(time.Second)
	is.Equal(s.Age(now.Add(time.Second)), 2*time.Second)
}

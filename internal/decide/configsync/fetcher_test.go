package configsync_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/configsync"
)

func peerNamed(name ident.InstanceID) ident.Process {
	return ident.Process{Instance: name, Incarnation: 1}
}

// TestOnePeerIsAsked guards against a large configuration that all peers send
// to an instance which cannot read the store, and against an instance that
// stays behind because the peer that it has asked does not answer, or has told
// it of the newer version only once.
func TestOnePeerIsAsked(t *testing.T) {
	is := is.New(t)
	f := configsync.NewFetcher(rand.New(rand.NewPCG(1, 0)))
	now := time.Unix(1_800_000_000, 0)
	asked := map[ident.InstanceID]int{}
	count := 0
	pass := func(own uint64, d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(5 * time.Millisecond) {
			if p, ok := f.Tick(now, own); ok {
				asked[p.Instance]++
				count++
			}
		}
	}
	for _, name := range []ident.InstanceID{"a", "b", "c"} {
		f.Observe(now, peerNamed(name), 8, 8, 0)
	}
	f.Observe(now, peerNamed("d"), 7, 8, 0)
	pass(8, time.Second)
	is.Equal(count, 0)
	pass(7, 45*time.Millisecond)
	is.Equal(count, 0) // the store may be about to answer
	pass(7, 50*time.Millisecond)
	is.Equal(count, 1)
	pass(7, 150*time.Millisecond)
	is.Equal(asked, map[ident.InstanceID]int{"a": 1, "b": 1, "c": 1}) // none of them answers, and d is behind as well
	pass(7, 75*time.Millisecond)
	is.Equal(count, 4)
	pass(8, time.Second)
	is.Equal(count, 4)
}

// TestLargeConfigurationIsWaitedFor guards against instances that ask their
// peers for a large configuration while the store is sending it.
func TestLargeConfigurationIsWaitedFor(t *testing.T) {
	is := is.New(t)
	f := configsync.NewFetcher(rand.New(rand.NewPCG(1, 0)))
	now := time.Unix(1_800_000_000, 0)
	f.Observe(now, peerNamed("a"), 8, 7, 1<<20)
	_, ok := f.Tick(now.Add(time.Second), 7)
	is.True(!ok)
	_, ok = f.Tick(now.Add(1100*time.Millisecond), 7)
	is.True(ok)
}

// TestPeerThatIsGoneIsNotAsked guards against requests to a peer whose link is
// down.
func TestPeerThatIsGoneIsNotAsked(t *testing.T) {
	is := is.New(t)
	f := configsync.NewFetcher(rand.New(rand.NewPCG(1, 0)))
	now := time.Unix(1_800_000_000, 0)
	f.Observe(now, peerNamed("a"), 8, 7, 0)
	f.HandleLinkDown(peerNamed("a"))
	_, ok := f.Tick(now.Add(time.Second), 7)
	is.True(!ok)
}

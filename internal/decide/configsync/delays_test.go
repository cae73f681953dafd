package configsync_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/configsync"
)

// TestHeldUpMessageIsOld guards against what a peer said before a network
// partition and is delivered after it being taken for what the peer says now.
func TestHeldUpMessageIsOld(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1_800_000_000, 0)
	d := configsync.NewDelays(begin)
	from := peerNamed("a")
	// observe returns the delay of a message that was sent and arrives at times
	// after begin, with a clock of the peer that is an hour ahead.
	observe := func(sent, arrives time.Duration) time.Duration {
		return d.Observe(begin.Add(arrives), from, time.Hour+sent)
	}
	is.Equal(observe(0, 4*time.Millisecond), time.Duration(0))
	is.Equal(observe(time.Second, time.Second+2*time.Millisecond), time.Duration(0))
	is.Equal(observe(2*time.Second, 4*time.Second+2*time.Millisecond), 2*time.Second)
	is.Equal(observe(4*time.Second, 4*time.Second+3*time.Millisecond), time.Millisecond)
	d.HandleLinkDown(from)
	is.Equal(observe(6*time.Second, 6*time.Second), time.Duration(0))
}

// TestSuspendedPeerIsNotLateForGood guards against a peer whose clock stood
// still for a moment and whose messages then count as held up.
func TestSuspendedPeerIsNotLateForGood(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1_800_000_000, 0)
	d := configsync.NewDelays(begin)
	var last time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		sent := at
		if at > 3*time.Second {
			sent -= time.Second
		}
		last = d.Observe(begin.Add(at), peerNamed("a"), sent)
		if at == 4*time.Second {
			is.Equal(last, time.Second)
		}
	}
	is.Equal(last, time.Duration(0))
}

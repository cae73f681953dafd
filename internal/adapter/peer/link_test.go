package peer_test

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// TestRestartedPeer guards against a restarted instance that cannot replace the
// link of its old process, and against an old process that is accepted again or
// not told that it was replaced.
func TestRestartedPeer(t *testing.T) {
	is := is.New(t)
	// Both processes of entry-a dial entry-b, because the lower id dials. The
	// newer one dials while the link of the older one is still up.
	b := startPeer(t, "entry-b", 1, nil)
	old, newer := startPeer(t, "entry-a", 7, nil), startPeer(t, "entry-a", 8, nil)
	old.SetTargets([]peer.Target{b.target()})
	waitFor(t, "link to the old process", connected(old, b))
	is.True(b.send(old, false, "to old"))
	waitFor(t, "message", func() bool { return old.received() == 1 })
	newer.SetTargets([]peer.Target{b.target()})
	waitFor(t, "link to the new process", connected(newer, b))
	is.True(!b.send(old, false, "wrong incarnation"))
	is.True(b.send(newer, false, "to newer"))
	waitFor(t, "message", func() bool { return newer.received() == 1 })
	waitFor(t, "notice of the replacement", func() bool {
		old.mu.Lock()
		defer old.mu.Unlock()
		return old.replacedBy == 8
	})
	is.True(connected(newer, b)())
	b.withLock(func() {
		is.Equal(b.up, []ident.Process{old.self, newer.self})
		is.Equal(b.down, []ident.Process{old.self})
		is.True(len(b.faults) > 0)
		is.Equal(fault.KindOf(b.faults[0]), fault.PeerRefused)
	})
	is.Equal(old.received(), 1)

	// The dialling side refuses the older process as well.
	b.SetTargets([]peer.Target{old.target()})
	newer.stop()
	refused := b.Stats().Refused.Load()
	old.SetTargets(nil)
	waitFor(t, "refusal by the dialer", func() bool { return b.Stats().Refused.Load() >= refused+2 })
	b.withLock(func() { is.Equal(len(b.up), 2) })
}

// TestSilentLinkReplaced guards against a link that stays in use although
// nothing arrives on it any more, and against an idle link that is closed
// although it works.
func TestSilentLinkReplaced(t *testing.T) {
	is := is.New(t)
	shortInterval := func(cfg *peer.Config, _ *testPeer) { cfg.LocalInterval = 50 * time.Millisecond }
	a, b := startPeer(t, "entry-a", 1, shortInterval), startPeer(t, "entry-b", 1, shortInterval)
	p := newProxy(t, b.Address())
	a.SetTargets(p.targets(b))
	waitFor(t, "link", connected(a, b))
	// The keep-alive alone keeps an idle link up. Each one has 12 bytes.
	waitFor(t, "20 keep-alives", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.recorded) > 20*12
	})
	is.Equal(a.Stats().Connections.Load(), uint64(1))
	// Without this, a new link could replace the silent one at the slower side
	// before that side finds it silent.
	p.refuse(true)
	p.stall()
	waitFor(t, "link closed as silent", func() bool { return a.Stats().Silent.Load() == 1 && b.Stats().Silent.Load() == 1 })
	p.refuse(false)
	waitFor(t, "new link", func() bool { return a.Stats().Connections.Load() >= 2 && connected(a, b)() })
	waitFor(t, "message", func() bool { return a.send(b, false, "again") && b.received() > 0 })
}

// TestUnsentMessages guards against written messages that are returned as
// unsent, because the caller would send them again and a task could run twice.
// It also guards against messages that are lost although they were not written.
// The proxy records which ones were written.
func TestUnsentMessages(t *testing.T) {
	is := is.New(t)
	shortInterval := func(cfg *peer.Config, _ *testPeer) { cfg.LocalInterval = 100 * time.Millisecond }
	a, b := startPeer(t, "entry-a", 1, shortInterval), startPeer(t, "entry-b", 1, shortInterval)
	p := newProxy(t, b.Address())
	a.SetTargets(p.targets(b))
	waitFor(t, "link", connected(a, b))
	p.stall()
	const each = 900
	padding := strings.Repeat("x", 1000)
	for i := range each { // more than the receive window of a stream
		is.True(a.send(b, false, fmt.Sprintf("t%06d|%s", i, padding)))
		is.True(a.send(b, true, fmt.Sprintf("c%06d|%s", i, padding)))
	}
	waitFor(t, "link closed as silent", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.down) > 0
	})
	a.stop()
	p.drain()
	unsent := map[string]bool{}
	for _, text := range a.unsent {
		is.True(!unsent[text[:8]]) // returned twice
		unsent[text[:8]] = true
	}
	is.Equal(uint64(len(unsent)), a.Stats().Unsent.Load())
	is.Equal(a.Pending(), 0)
	// The proxy reads the end of the connection after all written data.
	waitFor(t, "end of the written data", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.drained > 0
	})
	written := p.recorded
	for _, stream := range []string{"t", "c"} {
		writtenCount, partial := 0, 0
		for i := range each {
			id := fmt.Sprintf("%s%06d|", stream, i)
			switch inWritten := bytes.Contains(written, []byte(id)); {
			case inWritten:
				is.True(!unsent[id]) // written, but returned as unsent
				writtenCount++
			case !unsent[id]:
				partial++ // partly written at most: the link broke before the end of the id
			}
		}
		is.True(partial <= 1)
		is.True(writtenCount > 0 && writtenCount < each) // some but not all messages were written
	}
}

// TestRunReturnsOnStalledConnection guards against a Run that does not return
// because a write waits on a stalled connection, and against goroutines that
// are still running after Run has returned.
func TestRunReturnsOnStalledConnection(t *testing.T) {
	before := runtime.NumGoroutine()
	longTimeouts := func(cfg *peer.Config, _ *testPeer) {
		cfg.LocalInterval, cfg.RemoteInterval, cfg.WriteTimeout = time.Hour, time.Hour, time.Hour
	}
	a, b := startPeer(t, "entry-a", 1, longTimeouts), startPeer(t, "entry-b", 1, longTimeouts)
	p := newProxy(t, b.Address())
	a.SetTargets(p.targets(b))
	waitFor(t, "link", connected(a, b))
	p.stall()
	for a.send(b, false, strings.Repeat("x", 100_000)) {
	}
	for _, m := range []*testPeer{a, b} {
		m.cancel()
		waitFor(t, "end of Run", func() bool {
			select {
			case <-m.done:
				return true
			default:
				return false
			}
		})
	}
	p.drain()
	_ = p.Close()
	waitFor(t, "end of all goroutines", func() bool { return runtime.NumGoroutine() <= before })
}

// TestSendRejections guards against messages that are accepted although they
// cannot be sent, and against queues without a bound.
func TestSendRejections(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	a := startPeer(t, "entry-a", 1, func(cfg *peer.Config, _ *testPeer) { cfg.MaxPendingMessages, cfg.MaxFrame = 5, 1<<20 })
	b := startPeer(t, "entry-b", 1, func(_ *peer.Config, p *testPeer) { p.unblock = unblock })
	is.True(!a.send(b, false, "no link"))
	a.SetTargets([]peer.Target{b.target()})
	waitFor(t, "link", connected(a, b))
	is.True(!a.Send("entry-b", 2, false, newMessage("another incarnation")))
	is.True(!a.send(b, false, strings.Repeat("x", 1<<20))) // exceeds the frame limit
	accepted := 0
	waitFor(t, "full queue", func() bool { // b processes no message until unblocked
		if !a.send(b, false, strings.Repeat("x", 100_000)) {
			return true
		}
		accepted++
		return false
	})
	is.True(a.Pending() <= 5+1) // one frame may be in flight
	is.True(a.send(b, true, "control has its own queue"))
	close(unblock)
	waitFor(t, "all accepted messages", func() bool { return b.received() == accepted+1 })
}

// TestLoadAttachedOnChange guards against load reports that are missing or
// that are sent again unchanged.
func TestLoadAttachedOnChange(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "entry-a", 1, nil), startPeer(t, "entry-b", 1, nil)
	free := uint32(1)
	a.Load = func() []*peerpb.Load { return []*peerpb.Load{{Service: "render", FreeSlots: free}} }
	a.SetTargets([]peer.Target{b.target()})
	waitFor(t, "link", connected(a, b))
	for i := range 6 {
		free = uint32(i / 3)
		is.True(a.send(b, false, "task"))
		is.True(a.send(b, true, "control"))
		waitFor(t, "message", func() bool { return b.received() == 2*(i+1) })
	}
	waitFor(t, "loads", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.loads) == 2
	})
}

// TestHigherIDDials guards against two instances that never get a link because
// only the one with the higher id knows the other, and against a second link
// when both know each other.
func TestHigherIDDials(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "entry-a", 1, nil), startPeer(t, "entry-b", 1, nil)
	b.SetTargets([]peer.Target{a.target()})
	waitFor(t, "link", connected(a, b))
	a.SetTargets([]peer.Target{b.target()})
	is.True(a.send(b, false, "hello"))
	waitFor(t, "message", func() bool { return b.received() == 1 })
	is.Equal(a.Stats().Connections.Load(), uint64(1))
}

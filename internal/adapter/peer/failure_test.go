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

// TestRestart guards against a new process that cannot take over from its
// predecessor, and against a predecessor that is let in again or is not told.
func TestRestart(t *testing.T) {
	is := is.New(t)
	// The newest process of entry-a dials entry-b, as the lower id does. It
	// also works while the links of its predecessor are still up.
	b := start(t, "entry-b", 1, nil)
	old, young := start(t, "entry-a", 7, nil), start(t, "entry-a", 8, nil)
	old.SetTargets([]peer.Target{b.target()})
	until(t, "link to the old process", connected(old, b))
	is.True(b.send(old, false, "to old"))
	until(t, "message", func() bool { return old.received() == 1 })
	young.SetTargets([]peer.Target{b.target()})
	until(t, "link to the new process", connected(young, b))
	is.True(!b.send(old, false, "wrong incarnation"))
	is.True(b.send(young, false, "to young"))
	until(t, "message", func() bool { return young.received() == 1 })
	until(t, "word of the replacement", func() bool {
		old.mu.Lock()
		defer old.mu.Unlock()
		return old.replaced == 8
	})
	is.True(connected(young, b)())
	b.note(func() {
		is.Equal(b.up, []ident.Process{old.self, young.self})
		is.Equal(b.down, []ident.Process{old.self})
		is.True(len(b.faults) > 0)
		is.Equal(fault.KindOf(b.faults[0]), fault.PeerRefused)
	})
	is.Equal(old.received(), 1)

	// The dialling side refuses the predecessor as well.
	b.SetTargets([]peer.Target{old.target()})
	young.stop()
	refused := b.Stats().Refused.Load()
	old.SetTargets(nil)
	until(t, "refusal by the dialler", func() bool { return b.Stats().Refused.Load() >= refused+2 })
	b.note(func() { is.Equal(len(b.up), 2) })
}

// TestSilentLink guards against a link that stays in use though nothing
// arrives on it any more, and against one that is retired though it works.
func TestSilentLink(t *testing.T) {
	is := is.New(t)
	fast := func(cfg *peer.Config, _ *node) { cfg.Near = 50 * time.Millisecond }
	a, b := start(t, "entry-a", 1, fast), start(t, "entry-b", 1, fast)
	p := newProxy(t, b.Address())
	a.SetTargets(p.targetOf(b))
	until(t, "link", connected(a, b))
	// Idle links live on by the keep-alive alone.
	until(t, "20 keep-alives", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.recorded) > 20*12
	})
	is.Equal(a.Stats().Connections.Load(), uint64(1))
	p.freeze()
	until(t, "retirement", func() bool { return a.Stats().Silent.Load() == 1 && b.Stats().Silent.Load() == 1 })
	until(t, "new link", func() bool { return a.Stats().Connections.Load() >= 2 && connected(a, b)() })
	until(t, "message", func() bool { return a.send(b, false, "again") && b.received() > 0 })
}

// TestUnsentIsExact guards against messages handed back though they were
// written, which could run twice, and against messages lost though they were
// not. The proxy knows which ones were written.
func TestUnsentIsExact(t *testing.T) {
	is := is.New(t)
	fast := func(cfg *peer.Config, _ *node) { cfg.Near = 100 * time.Millisecond }
	a, b := start(t, "entry-a", 1, fast), start(t, "entry-b", 1, fast)
	p := newProxy(t, b.Address())
	a.SetTargets(p.targetOf(b))
	until(t, "link", connected(a, b))
	p.freeze()
	const each = 900
	padding := strings.Repeat("x", 1000)
	for i := range each { // more than the window of a stream takes
		is.True(a.send(b, false, fmt.Sprintf("t%06d|%s", i, padding)))
		is.True(a.send(b, true, fmt.Sprintf("c%06d|%s", i, padding)))
	}
	until(t, "retirement", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.down) > 0
	})
	a.stop()
	p.thaw()
	unsent := map[string]bool{}
	for _, text := range a.unsent {
		is.True(!unsent[text[:8]]) // handed back twice
		unsent[text[:8]] = true
	}
	is.Equal(uint64(len(unsent)), a.Stats().Unsent.Load())
	is.Equal(a.Pending(), 0)
	// The end of the connection reaches the proxy after all that was written.
	until(t, "the end of what was written", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.drained > 0
	})
	written := p.recorded
	for _, stream := range []string{"t", "c"} {
		sent, cut := 0, 0
		for i := range each {
			id := fmt.Sprintf("%s%06d|", stream, i)
			switch inWritten := bytes.Contains(written, []byte(id)); {
			case inWritten:
				is.True(!unsent[id]) // written, but handed back
				sent++
			case !unsent[id]:
				cut++ // written up to somewhere before its text
			}
		}
		is.True(cut <= 1)
		is.True(sent > 0 && sent < each) // the case that the test is about
	}
}

// TestCloseDoesNotStall guards against a Run that waits for a dead connection,
// and against goroutines that outlive it.
func TestCloseDoesNotStall(t *testing.T) {
	before := runtime.NumGoroutine()
	slow := func(cfg *peer.Config, _ *node) {
		cfg.Near, cfg.Far, cfg.WriteTimeout = time.Hour, time.Hour, time.Hour
	}
	a, b := start(t, "entry-a", 1, slow), start(t, "entry-b", 1, slow)
	p := newProxy(t, b.Address())
	a.SetTargets(p.targetOf(b))
	until(t, "link", connected(a, b))
	p.freeze()
	for a.send(b, false, strings.Repeat("x", 100_000)) {
	}
	for _, n := range []*node{a, b} {
		n.cancel()
		until(t, "end of Run", func() bool {
			select {
			case <-n.ended:
				return true
			default:
				return false
			}
		})
	}
	p.thaw()
	_ = p.Close()
	until(t, "end of all goroutines", func() bool { return runtime.NumGoroutine() <= before })
}

// TestSendRefuses guards against messages that are accepted though they cannot
// be sent, and against queues without a bound.
func TestSendRefuses(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	a := start(t, "entry-a", 1, func(cfg *peer.Config, _ *node) { cfg.MaxPendingMessages, cfg.MaxFrame = 5, 1<<20 })
	b := start(t, "entry-b", 1, func(_ *peer.Config, n *node) { n.gate = gate })
	is.True(!a.send(b, false, "no link"))
	a.SetTargets([]peer.Target{b.target()})
	until(t, "link", connected(a, b))
	is.True(!a.Send("entry-b", 2, false, message("another incarnation")))
	is.True(!a.send(b, false, strings.Repeat("x", 1<<20))) // exceeds the frame limit
	accepted := 0
	until(t, "a full queue", func() bool { // b takes none while the gate is shut
		if !a.send(b, false, strings.Repeat("x", 100_000)) {
			return true
		}
		accepted++
		return false
	})
	is.True(a.Pending() <= 5+1) // one may be under way
	is.True(a.send(b, true, "control has its own queue"))
	close(gate)
	until(t, "all accepted messages", func() bool { return b.received() == accepted+1 })
}

// TestLoad guards against load reports that are missing or repeated unchanged.
func TestLoad(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "entry-a", 1, nil), start(t, "entry-b", 1, nil)
	free := uint32(1)
	a.Load = func() []*peerpb.Load { return []*peerpb.Load{{Service: "render", FreeSlots: free}} }
	a.SetTargets([]peer.Target{b.target()})
	until(t, "link", connected(a, b))
	for i := range 6 {
		free = uint32(i / 3)
		is.True(a.send(b, false, "task"))
		is.True(a.send(b, true, "control"))
		until(t, "message", func() bool { return b.received() == 2*(i+1) })
	}
	until(t, "loads", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.loads) == 2
	})
}

// TestHigherDials guards against two instances that never meet because only
// the one with the higher id knows the other, and against both dialling for
// ever.
func TestHigherDials(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "entry-a", 1, nil), start(t, "entry-b", 1, nil)
	b.SetTargets([]peer.Target{a.target()})
	until(t, "link", connected(a, b))
	a.SetTargets([]peer.Target{b.target()})
	is.True(a.send(b, false, "hello"))
	until(t, "message", func() bool { return b.received() == 1 })
	is.Equal(a.Stats().Connections.Load(), uint64(1))
}

package peer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// testPeer is a running mesh that records the calls of its functions.
type testPeer struct {
	*peer.Mesh
	self   ident.Process
	cancel context.CancelFunc
	done   chan struct{}

	mu         sync.Mutex
	messages   []string
	from       []ident.Process
	loads      []*peerpb.Load
	up         []ident.Process
	down       []ident.Process
	unsent     []string
	faults     []error
	replacedBy uint64
	// unblock, if not nil, blocks OnMessage until it is closed.
	unblock chan struct{}
}

// startPeer starts a mesh that listens on a free port, and stops it when the
// test ends. If edit is not nil, it is called first to change the settings and
// the peer.
func startPeer(t testing.TB, id string, incarnation ident.Incarnation, edit func(*peer.Config, *testPeer)) *testPeer {
	t.Helper()
	p := &testPeer{self: ident.Process{Instance: ident.InstanceID(id), Incarnation: incarnation}, done: make(chan struct{})}
	cfg := peer.Config{
		Self:          p.self,
		DataCentre:    "dc-1",
		ListenAddress: "127.0.0.1:0",
		Token:         "token",
		DialGrace:     200 * time.Millisecond,
	}
	if edit != nil {
		edit(&cfg, p)
	}
	m, err := peer.NewMesh(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p.Mesh = m
	m.OnMessage = p.onMessage
	m.OnUp = func(to ident.Process, _ ident.DataCentre, _ string) { p.withLock(func() { p.up = append(p.up, to) }) }
	m.OnLoad = func(_ ident.Process, l []*peerpb.Load) { p.withLock(func() { p.loads = append(p.loads, l...) }) }
	m.OnFault = func(_ string, err error) { p.withLock(func() { p.faults = append(p.faults, err) }) }
	m.OnDown = func(to ident.Process, unsent []*peerpb.Message) {
		p.withLock(func() {
			p.down = append(p.down, to)
			for _, m := range unsent {
				p.unsent = append(p.unsent, m.GetCancelTasks().GetSubmission())
			}
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		if err := m.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(p.stop)
	waitFor(t, "listener", func() bool { return m.Address() != "" })
	return p
}

// stop ends Run and waits until it has returned.
func (p *testPeer) stop() {
	p.cancel()
	<-p.done
}

// withLock calls f while it holds the lock.
func (p *testPeer) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *testPeer) onMessage(from ident.Process, m *peerpb.Message) {
	if p.unblock != nil {
		<-p.unblock
	}
	p.withLock(func() {
		if r := m.GetHeartbeat().GetReplacedBy(); r != 0 {
			p.replacedBy = r
			return
		}
		p.messages = append(p.messages, m.GetCancelTasks().GetSubmission())
		p.from = append(p.from, from)
	})
}

func (p *testPeer) target() peer.Target {
	return peer.Target{Instance: p.self.Instance, Address: p.Address()}
}

func (p *testPeer) send(to *testPeer, toControl bool, text string) bool {
	return p.Send(to.self.Instance, to.self.Incarnation, toControl, newMessage(text))
}

func (p *testPeer) received() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.messages)
}

// newMessage returns a CancelTasks message with text as its submission id.
func newMessage(text string) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_CancelTasks{CancelTasks: &peerpb.CancelTasks{Submission: text}}}
}

// waitFor polls a condition every millisecond and fails the test after 20 s.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(end) {
			t.Fatalf("no %s in time", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// connected returns a condition that is true if a and b have a link to each
// other's process.
func connected(a, b *testPeer) func() bool {
	return func() bool {
		p, ok := a.ConnectedProcess(b.self.Instance)
		q, ok2 := b.ConnectedProcess(a.self.Instance)
		return ok && ok2 && p == b.self && q == a.self
	}
}

// TestMessageDelivery guards against messages that are lost, reordered within a
// stream or attributed to the wrong process, in both directions and on both
// streams.
func TestMessageDelivery(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "entry-a", 1, nil), startPeer(t, "entry-b", 2, nil)
	a.SetTargets([]peer.Target{b.target()})
	waitFor(t, "link", connected(a, b))
	const each = 500
	for _, pair := range [][2]*testPeer{{a, b}, {b, a}} {
		for i := range each {
			is.True(pair[0].send(pair[1], false, fmt.Sprint(i)))
		}
		is.True(pair[0].send(pair[1], true, "urgent"))
	}
	for _, p := range []*testPeer{a, b} {
		waitFor(t, "all messages", func() bool { return p.received() == each+1 })
	}
	for to, from := range map[*testPeer]*testPeer{a: b, b: a} {
		next := 0
		for i, text := range to.messages {
			is.Equal(to.from[i], from.self)
			if text != "urgent" {
				is.Equal(text, fmt.Sprint(next))
				next++
			}
		}
		is.Equal(next, each)
	}
	// The writer counts a frame as sent after the peer may have received it.
	waitFor(t, "end of the last write", func() bool { return a.Pending() == 0 })
	is.Equal(a.Stats().Traffic.Out.Messages.Load(), uint64(each))
	is.Equal(a.Stats().Control.In.Messages.Load(), uint64(1))
}

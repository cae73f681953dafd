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

// node is a running mesh that records what its functions were told.
type node struct {
	*peer.Mesh
	self   ident.Process
	cancel context.CancelFunc
	ended  chan struct{}

	mu       sync.Mutex
	messages []string
	from     []ident.Process
	loads    []*peerpb.Load
	up       []ident.Process
	down     []ident.Process
	unsent   []string
	faults   []error
	replaced uint64
	// gate, when not nil, blocks OnMessage until it is closed.
	gate chan struct{}
}

func start(t testing.TB, id string, incarnation ident.Incarnation, edit func(*peer.Config, *node)) *node {
	t.Helper()
	n := &node{self: ident.Process{Instance: ident.InstanceID(id), Incarnation: incarnation}, ended: make(chan struct{})}
	cfg := peer.Config{
		Self:          n.self,
		DataCentre:    "dc-1",
		ListenAddress: "127.0.0.1:0",
		Token:         "token",
		DialGrace:     200 * time.Millisecond,
	}
	if edit != nil {
		edit(&cfg, n)
	}
	m, err := peer.NewMesh(cfg)
	if err != nil {
		t.Fatal(err)
	}
	n.Mesh = m
	m.OnMessage = n.onMessage
	m.OnUp = func(p ident.Process, _ ident.DataCentre, _ string) { n.note(func() { n.up = append(n.up, p) }) }
	m.OnLoad = func(_ ident.Process, l []*peerpb.Load) { n.note(func() { n.loads = append(n.loads, l...) }) }
	m.OnFault = func(_ string, err error) { n.note(func() { n.faults = append(n.faults, err) }) }
	m.OnDown = func(p ident.Process, unsent []*peerpb.Message) {
		n.note(func() {
			n.down = append(n.down, p)
			for _, m := range unsent {
				n.unsent = append(n.unsent, m.GetCancelTasks().GetSubmission())
			}
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.ended)
		if err := m.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(n.stop)
	until(t, "the listener", func() bool { return m.Address() != "" })
	return n
}

func (n *node) stop() {
	n.cancel()
	<-n.ended
}

func (n *node) note(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *node) onMessage(from ident.Process, m *peerpb.Message) {
	if n.gate != nil {
		<-n.gate
	}
	n.note(func() {
		if r := m.GetHeartbeat().GetReplacedBy(); r != 0 {
			n.replaced = r
			return
		}
		n.messages = append(n.messages, m.GetCancelTasks().GetSubmission())
		n.from = append(n.from, from)
	})
}

func (n *node) target() peer.Target {
	return peer.Target{Instance: n.self.Instance, Address: n.Address()}
}

func (n *node) send(to *node, urgent bool, text string) bool {
	return n.Send(to.self.Instance, to.self.Incarnation, urgent, message(text))
}

func (n *node) received() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.messages)
}

func message(text string) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_CancelTasks{CancelTasks: &peerpb.CancelTasks{Submission: text}}}
}

// until waits for a condition; the bound only ends a test that failed.
func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(end) {
			t.Fatalf("no %s in time", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func connected(a, b *node) func() bool {
	return func() bool {
		p, ok := a.Connected(b.self.Instance)
		q, ok2 := b.Connected(a.self.Instance)
		return ok && ok2 && p == b.self && q == a.self
	}
}

// TestExchange guards against messages that are lost, reordered within a
// stream or attributed to another process, in both directions and on both
// streams.
func TestExchange(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "entry-a", 1, nil), start(t, "entry-b", 2, nil)
	a.SetTargets([]peer.Target{b.target()})
	until(t, "link", connected(a, b))
	const each = 500
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		for i := range each {
			is.True(pair[0].send(pair[1], false, fmt.Sprint(i)))
		}
		is.True(pair[0].send(pair[1], true, "urgent"))
	}
	for _, n := range []*node{a, b} {
		until(t, "all messages", func() bool { return n.received() == each+1 })
	}
	for to, from := range map[*node]*node{a: b, b: a} {
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
	is.Equal(a.Pending(), 0)
	is.Equal(a.Stats().Traffic.Out.Messages.Load(), uint64(each))
	is.Equal(a.Stats().Control.In.Messages.Load(), uint64(1))
}

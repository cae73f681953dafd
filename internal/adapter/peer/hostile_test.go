package peer_test

import (
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

func frame(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func batch(messages ...*peerpb.Message) []byte {
	body, err := proto.Marshal(&peerpb.Batch{Messages: messages})
	if err != nil {
		panic(err)
	}
	return frame(body)
}

func hello(edit func(*peerpb.Hello)) *peerpb.Message {
	h := &peerpb.Hello{Instance: "entry-x", Incarnation: 1, DataCentre: "dc-1", Token: "token", Address: "127.0.0.1:1"}
	if edit != nil {
		edit(h)
	}
	return &peerpb.Message{Body: &peerpb.Message_Hello{Hello: h}}
}

// TestHostileHandshake guards against strangers that are let in, that harm
// other links, or that keep their connection.
func TestHostileHandshake(t *testing.T) {
	cases := map[string]struct {
		bytes []byte
		kind  fault.Kind
	}{
		"wrong token":     {batch(hello(func(h *peerpb.Hello) { h.Token = "tokem" })), fault.PeerRefused},
		"no token":        {batch(hello(func(h *peerpb.Hello) { h.Token = "" })), fault.PeerRefused},
		"longer token":    {batch(hello(func(h *peerpb.Hello) { h.Token += "x" })), fault.PeerRefused},
		"own id":          {batch(hello(func(h *peerpb.Hello) { h.Instance = "entry-b" })), fault.PeerRefused},
		"bad id":          {batch(hello(func(h *peerpb.Hello) { h.Instance = "Entry X" })), fault.PeerRefused},
		"no incarnation":  {batch(hello(func(h *peerpb.Hello) { h.Incarnation = 0 })), fault.PeerRefused},
		"long address":    {batch(hello(func(h *peerpb.Hello) { h.Address = string(make([]byte, 300)) })), fault.PeerRefused},
		"no hello":        {batch(message("x")), fault.PeerProtocol},
		"two hellos":      {batch(hello(nil), hello(nil)), fault.PeerProtocol},
		"empty frame":     {frame(nil), fault.PeerProtocol},
		"oversize":        {binary.BigEndian.AppendUint32(nil, 1<<32-1), fault.PeerProtocol},
		"over hello size": {frame(make([]byte, 5000)), fault.PeerProtocol},
		"garbage":         {frame([]byte("\xff\xff\xff\xff")), fault.PeerProtocol},
		"http":            {[]byte("GET / HTTP/1.1\r\n\r\n"), fault.PeerProtocol},
	}
	a, b := start(t, "entry-a", 1, nil), start(t, "entry-b", 1, nil)
	a.SetTargets([]peer.Target{b.target()})
	until(t, "link", connected(a, b))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b.note(func() { b.faults = nil })
			conn, err := net.Dial("tcp", b.Address())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(c.bytes)
			is.NoErr(err)
			reply, _ := io.ReadAll(conn) // ends when the mesh closes
			is.Equal(len(reply), 0)
			until(t, "fault", func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return len(b.faults) == 1 && fault.KindOf(b.faults[0]) == c.kind
			})
			_, ok := b.Connected("entry-x")
			is.True(!ok)
		})
	}
	is := is.New(t)
	is.True(a.send(b, false, "still here"))
	until(t, "message on the link beside", func() bool { return b.received() == 1 })
	is.Equal(b.Stats().Connections.Load(), uint64(1))
}

// TestHostilePeer guards against an authenticated peer whose malformed frames
// harm more than its own link.
func TestHostilePeer(t *testing.T) {
	cases := map[string]struct {
		raw, stream []byte
		malformed   uint64
	}{
		"oversize":      {nil, binary.BigEndian.AppendUint32(nil, 1<<31), 1},
		"garbage":       {nil, frame([]byte("\xff\xff\xff\xff")), 1},
		"just too big":  {nil, binary.BigEndian.AppendUint32(nil, 4<<20+1), 1},
		"cut off":       {nil, frame([]byte("abc"))[:5], 0},
		"not yamux":     {[]byte("GET / HTTP/1.1\r\n\r\n"), nil, 1},
		"yamux go-away": {[]byte{0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1}, nil, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := start(t, "entry-a", 1, nil), start(t, "entry-b", 1, nil)
			a.SetTargets([]peer.Target{b.target()})
			until(t, "link", connected(a, b))
			conn, err := net.Dial("tcp", b.Address())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(batch(hello(nil)))
			is.NoErr(err)
			var prefix [4]byte
			_, err = io.ReadFull(conn, prefix[:])
			is.NoErr(err)
			_, err = io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(prefix[:])))
			is.NoErr(err)
			until(t, "hostile link", func() bool { _, ok := b.Connected("entry-x"); return ok })
			if c.raw != nil {
				_, err = conn.Write(c.raw)
				is.NoErr(err)
			} else {
				cfg := yamux.DefaultConfig()
				cfg.LogOutput = io.Discard
				session, err := yamux.Client(conn, cfg)
				is.NoErr(err)
				defer session.Close()
				control, err := session.Open()
				is.NoErr(err)
				traffic, err := session.Open()
				is.NoErr(err)
				_, err = control.Write(batch(message("valid")))
				is.NoErr(err)
				until(t, "valid message", func() bool { return b.received() == 1 })
				// The mesh may close while Write returns; the count of
				// malformed frames tells that the bytes arrived.
				_, _ = traffic.Write(c.stream)
				if c.malformed == 0 {
					is.NoErr(session.Close())
				}
			}
			until(t, "end of the hostile link", func() bool { _, ok := b.Connected("entry-x"); return !ok })
			is.Equal(b.Stats().Malformed.Load(), c.malformed)
			got := b.received()
			is.True(a.send(b, false, "still here"))
			until(t, "message on the link beside", func() bool { return b.received() == got+1 })
		})
	}
}

// TestWrongTokenOfListener guards against a dialler that takes whoever answers
// for its peer.
func TestWrongTokenOfListener(t *testing.T) {
	is := is.New(t)
	a := start(t, "entry-a", 1, nil)
	b := start(t, "entry-b", 1, func(cfg *peer.Config, _ *node) { cfg.Token = "other" })
	c := start(t, "entry-c", 1, nil)
	a.SetTargets([]peer.Target{b.target(), {Instance: "entry-d", Address: c.Address()}})
	until(t, "refusals", func() bool { return b.Stats().Refused.Load() > 1 && a.Stats().Refused.Load() > 1 })
	is.Equal(a.Stats().Connections.Load()+b.Stats().Connections.Load(), uint64(0))
}

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

// encodeFrame returns a frame with its length prefix.
func encodeFrame(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// encodeBatch returns the frame of a batch.
func encodeBatch(messages ...*peerpb.Message) []byte {
	body, err := proto.Marshal(&peerpb.Batch{Messages: messages})
	if err != nil {
		panic(err)
	}
	return encodeFrame(body)
}

// newHello returns a valid Hello of entry-x, changed by edit if it is not nil.
func newHello(edit func(*peerpb.Hello)) *peerpb.Message {
	h := &peerpb.Hello{Instance: "entry-x", Incarnation: 1, DataCentre: "dc-1", Token: "token", Address: "127.0.0.1:1"}
	if edit != nil {
		edit(h)
	}
	return &peerpb.Message{Body: &peerpb.Message_Hello{Hello: h}}
}

// TestInvalidHandshakes guards against senders of an invalid handshake that get
// a link or an answer, that keep their connection open, or that disturb other
// links.
func TestInvalidHandshakes(t *testing.T) {
	cases := map[string]struct {
		bytes []byte
		kind  fault.Kind
	}{
		"wrong token":      {encodeBatch(newHello(func(h *peerpb.Hello) { h.Token = "tokem" })), fault.PeerRefused},
		"no token":         {encodeBatch(newHello(func(h *peerpb.Hello) { h.Token = "" })), fault.PeerRefused},
		"longer token":     {encodeBatch(newHello(func(h *peerpb.Hello) { h.Token += "x" })), fault.PeerRefused},
		"own id":           {encodeBatch(newHello(func(h *peerpb.Hello) { h.Instance = "entry-b" })), fault.PeerRefused},
		"bad id":           {encodeBatch(newHello(func(h *peerpb.Hello) { h.Instance = "Entry X" })), fault.PeerRefused},
		"no incarnation":   {encodeBatch(newHello(func(h *peerpb.Hello) { h.Incarnation = 0 })), fault.PeerRefused},
		"long address":     {encodeBatch(newHello(func(h *peerpb.Hello) { h.Address = string(make([]byte, 300)) })), fault.PeerRefused},
		"no hello":         {encodeBatch(newMessage("x")), fault.PeerProtocol},
		"two hellos":       {encodeBatch(newHello(nil), newHello(nil)), fault.PeerProtocol},
		"empty frame":      {encodeFrame(nil), fault.PeerProtocol},
		"oversize":         {binary.BigEndian.AppendUint32(nil, 1<<32-1), fault.PeerProtocol},
		"over hello size":  {encodeFrame(make([]byte, 5000)), fault.PeerProtocol},
		"invalid protobuf": {encodeFrame([]byte("\xff\xff\xff\xff")), fault.PeerProtocol},
		"http":             {[]byte("GET / HTTP/1.1\r\n\r\n"), fault.PeerProtocol},
	}
	a, b := startPeer(t, "entry-a", 1, nil), startPeer(t, "entry-b", 1, nil)
	a.SetTargets([]peer.Target{b.target()})
	waitFor(t, "link", connected(a, b))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b.withLock(func() { b.faults = nil })
			conn, err := net.Dial("tcp", b.Address())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(c.bytes)
			is.NoErr(err)
			reply, _ := io.ReadAll(conn) // returns when the mesh closes the connection
			is.Equal(len(reply), 0)
			waitFor(t, "fault", func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return len(b.faults) == 1 && fault.KindOf(b.faults[0]) == c.kind
			})
			_, ok := b.ConnectedProcess("entry-x")
			is.True(!ok)
		})
	}
	is := is.New(t)
	is.True(a.send(b, false, "still here"))
	waitFor(t, "message on the other link", func() bool { return b.received() == 1 })
	is.Equal(b.Stats().Connections.Load(), uint64(1))
}

// TestMalformedFrames guards against an authenticated peer that sends malformed
// frames and disturbs more than its own link.
func TestMalformedFrames(t *testing.T) {
	cases := map[string]struct {
		raw, stream []byte
		malformed   uint64
	}{
		"oversize":                {nil, binary.BigEndian.AppendUint32(nil, 1<<31), 1},
		"invalid protobuf":        {nil, encodeFrame([]byte("\xff\xff\xff\xff")), 1},
		"one byte over the limit": {nil, binary.BigEndian.AppendUint32(nil, 4<<20+1), 1},
		"truncated":               {nil, encodeFrame([]byte("abc"))[:5], 0},
		"not yamux":               {[]byte("GET / HTTP/1.1\r\n\r\n"), nil, 1},
		"yamux go-away":           {[]byte{0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1}, nil, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := startPeer(t, "entry-a", 1, nil), startPeer(t, "entry-b", 1, nil)
			a.SetTargets([]peer.Target{b.target()})
			waitFor(t, "link", connected(a, b))
			conn, err := net.Dial("tcp", b.Address())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(encodeBatch(newHello(nil)))
			is.NoErr(err)
			var prefix [4]byte
			_, err = io.ReadFull(conn, prefix[:])
			is.NoErr(err)
			_, err = io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(prefix[:])))
			is.NoErr(err)
			waitFor(t, "link of the malformed peer", func() bool { _, ok := b.ConnectedProcess("entry-x"); return ok })
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
				_, err = control.Write(encodeBatch(newMessage("valid")))
				is.NoErr(err)
				waitFor(t, "valid message", func() bool { return b.received() == 1 })
				// The mesh may close the link before Write returns; the count
				// of malformed frames below shows that the bytes arrived.
				_, _ = traffic.Write(c.stream)
				if c.malformed == 0 {
					is.NoErr(session.Close())
				}
			}
			waitFor(t, "end of the link of the malformed peer", func() bool { _, ok := b.ConnectedProcess("entry-x"); return !ok })
			is.Equal(b.Stats().Malformed.Load(), c.malformed)
			got := b.received()
			is.True(a.send(b, false, "still here"))
			waitFor(t, "message on the other link", func() bool { return b.received() == got+1 })
		})
	}
}

// TestDialerVerifiesListener guards against a dialer that accepts an answer
// from a listener with another token or another instance id.
func TestDialerVerifiesListener(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, "entry-a", 1, nil)
	b := startPeer(t, "entry-b", 1, func(cfg *peer.Config, _ *testPeer) { cfg.Token = "other" })
	c := startPeer(t, "entry-c", 1, nil)
	a.SetTargets([]peer.Target{b.target(), {Instance: "entry-d", Address: c.Address()}})
	waitFor(t, "refusals", func() bool { return b.Stats().Refused.Load() > 1 && a.Stats().Refused.Load() > 1 })
	is.Equal(a.Stats().Connections.Load()+b.Stats().Connections.Load(), uint64(0))
}

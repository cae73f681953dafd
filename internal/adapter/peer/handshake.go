package peer

import (
	"crypto/subtle"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

const (
	// maxHello bounds the frames of the handshake, in bytes, because their
	// sender is not authenticated yet.
	maxHello   = 4 << 10
	maxToken   = 1 << 10
	maxAddress = 256
)

// identity describes the sender of a valid Hello.
type identity struct {
	process    ident.Process
	dataCentre ident.DataCentre
	address    string
}

// dialHandshake performs the dialer's side of the handshake and fails unless
// the instance want answers. The Hello messages are exchanged before the yamux
// session starts, so that only authenticated peers reach yamux.
func (m *Mesh) dialHandshake(conn net.Conn, want ident.InstanceID) (identity, error) {
	if err := m.writeHandshake(conn, m.hello()); err != nil {
		return identity{}, err
	}
	message, err := m.readHandshake(conn)
	if err != nil {
		return identity{}, err
	}
	if hb := message.GetHeartbeat(); hb.GetReplacedBy() > uint64(m.cfg.Self.Incarnation) {
		from := ident.Process{Instance: ident.InstanceID(hb.GetInstance()), Incarnation: ident.Incarnation(hb.GetIncarnation())}
		m.deliver(from, message)
		return identity{}, refusal("this process was replaced")
	}
	peer, err := m.verify(message.GetHello())
	if err != nil {
		return identity{}, err
	}
	if peer.process.Instance != want {
		return identity{}, refusal("another instance answers at this address")
	}
	return peer, nil
}

// acceptHandshake performs the accepting side of the handshake. If it knows a
// higher incarnation of the sender's instance, it answers with a Heartbeat with
// ReplacedBy instead of a Hello, and fails.
func (m *Mesh) acceptHandshake(conn net.Conn) (identity, error) {
	message, err := m.readHandshake(conn)
	if err != nil {
		return identity{}, err
	}
	peer, err := m.verify(message.GetHello())
	if err != nil {
		return identity{}, err
	}
	if newer := m.newerIncarnation(peer.process); newer != 0 {
		err := m.writeHandshake(conn, &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{
			Instance:    string(m.cfg.Self.Instance),
			Incarnation: uint64(m.cfg.Self.Incarnation),
			ReplacedBy:  uint64(newer),
		}}})
		if err != nil {
			return identity{}, err
		}
		return identity{}, refusal("a higher incarnation is known")
	}
	return peer, m.writeHandshake(conn, m.hello())
}

func (m *Mesh) hello() *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Hello{Hello: &peerpb.Hello{
		Instance:    string(m.cfg.Self.Instance),
		Incarnation: uint64(m.cfg.Self.Incarnation),
		DataCentre:  string(m.cfg.DataCentre),
		Token:       m.cfg.Token,
		Address:     m.Address(),
	}}}
}

// verify checks a received Hello. It checks the token first, so that a sender
// without the token learns nothing else.
func (m *Mesh) verify(h *peerpb.Hello) (identity, error) {
	if h == nil {
		return identity{}, fault.New(fault.PeerProtocol, fault.RanNo).WithDetail("no hello")
	}
	if subtle.ConstantTimeCompare([]byte(h.GetToken()), []byte(m.cfg.Token)) != 1 {
		return identity{}, refusal("wrong token")
	}
	if !ident.ValidName(h.GetInstance()) || !ident.ValidName(h.GetDataCentre()) ||
		h.GetIncarnation() == 0 || len(h.GetAddress()) > maxAddress {
		return identity{}, refusal("malformed identity")
	}
	if h.GetInstance() == string(m.cfg.Self.Instance) {
		return identity{}, refusal("the instance id is this process's own")
	}
	return identity{
		process:    ident.Process{Instance: ident.InstanceID(h.GetInstance()), Incarnation: ident.Incarnation(h.GetIncarnation())},
		dataCentre: ident.DataCentre(h.GetDataCentre()),
		address:    h.GetAddress(),
	}, nil
}

// setHandshakeDeadline sets the deadline of the handshake. It uses the system
// clock, not Config.Clock, because the network stack enforces the deadline.
func (m *Mesh) setHandshakeDeadline(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(m.cfg.HandshakeTimeout)); err != nil {
		return fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
	}
	return nil
}

func (m *Mesh) writeHandshake(conn net.Conn, message *peerpb.Message) error {
	f := frameBuilder{}
	f.reset()
	if err := f.addMessage(message); err != nil {
		return err
	}
	if _, err := conn.Write(f.frame()); err != nil {
		return fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
	}
	return nil
}

// readHandshake reads exactly one frame, which must hold one message. It reads
// nothing beyond the frame, because yamux reads the rest.
func (m *Mesh) readHandshake(conn net.Conn) (*peerpb.Message, error) {
	frame, err := readFrame(conn, nil, maxHello)
	if err != nil {
		return nil, err
	}
	batch := &peerpb.Batch{}
	if err := proto.Unmarshal(frame, batch); err != nil {
		return nil, fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
	}
	if len(batch.GetMessages()) != 1 {
		return nil, fault.New(fault.PeerProtocol, fault.RanNo).WithDetail("handshake without exactly one message")
	}
	return batch.GetMessages()[0], nil
}

func refusal(detail string) error {
	return fault.New(fault.PeerRefused, fault.RanNo).WithDetail(detail)
}

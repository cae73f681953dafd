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
	// maxHello bounds the frames of the handshake, in bytes, since their
	// sender has not proved to be a peer.
	maxHello   = 4 << 10
	maxToken   = 1 << 10
	maxAddress = 256
)

// identity is what a valid Hello says of its sender.
type identity struct {
	process    ident.Process
	dataCentre ident.DataCentre
	address    string
}

// greet is the dialler's side of the handshake. The Hellos travel on the bare
// connection, so that nothing but a peer reaches yamux.
func (m *Mesh) greet(conn net.Conn, want ident.InstanceID) (identity, error) {
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
		return identity{}, refused("this process was replaced")
	}
	peer, err := m.verify(message.GetHello())
	if err != nil {
		return identity{}, err
	}
	if peer.process.Instance != want {
		return identity{}, refused("another instance answers at this address")
	}
	return peer, nil
}

// welcome is the accepting side of the handshake.
func (m *Mesh) welcome(conn net.Conn) (identity, error) {
	message, err := m.readHandshake(conn)
	if err != nil {
		return identity{}, err
	}
	peer, err := m.verify(message.GetHello())
	if err != nil {
		return identity{}, err
	}
	if newer := m.newer(peer.process); newer != 0 {
		err := m.writeHandshake(conn, &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{
			Instance:    string(m.cfg.Self.Instance),
			Incarnation: uint64(m.cfg.Self.Incarnation),
			ReplacedBy:  uint64(newer),
		}}})
		if err != nil {
			return identity{}, err
		}
		return identity{}, refused("a higher incarnation is known")
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

// verify checks the token first, so that nothing else is learned without it.
func (m *Mesh) verify(h *peerpb.Hello) (identity, error) {
	if h == nil {
		return identity{}, fault.New(fault.PeerProtocol, fault.RanNo).WithDetail("no hello")
	}
	if subtle.ConstantTimeCompare([]byte(h.GetToken()), []byte(m.cfg.Token)) != 1 {
		return identity{}, refused("wrong token")
	}
	if !ident.ValidName(h.GetInstance()) || !ident.ValidName(h.GetDataCentre()) ||
		h.GetIncarnation() == 0 || len(h.GetAddress()) > maxAddress {
		return identity{}, refused("malformed identity")
	}
	if h.GetInstance() == string(m.cfg.Self.Instance) {
		return identity{}, refused("the instance id is this process's own")
	}
	return identity{
		process:    ident.Process{Instance: ident.InstanceID(h.GetInstance()), Incarnation: ident.Incarnation(h.GetIncarnation())},
		dataCentre: ident.DataCentre(h.GetDataCentre()),
		address:    h.GetAddress(),
	}, nil
}

// setHandshakeDeadline uses the machine's clock because the kernel does.
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

// readHandshake reads exactly one frame of one message, and nothing beyond,
// since yamux reads the rest.
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

func refused(detail string) error {
	return fault.New(fault.PeerRefused, fault.RanNo).WithDetail(detail)
}

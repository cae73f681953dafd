package dispatch

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// connectPeers sets what the mesh calls.
func (p *Process) connectPeers() {
	p.mesh.OnUp = func(process ident.Process, dc ident.DataCentre, address string) {
		p.post(func(now time.Time) { p.up(now, process, dc, address) })
	}
	p.mesh.OnDown = func(process ident.Process, _ []*peerpb.Message) {
		p.post(func(now time.Time) {
			p.log.WithField("peer", process.Instance).Info("link to peer is down")
			p.act(now, p.core.Down(now, process))
		})
	}
	p.mesh.OnMessage = func(from ident.Process, m *peerpb.Message) {
		p.post(func(now time.Time) { p.receive(now, from, m) })
	}
	p.mesh.OnFault = func(address string, err error) {
		p.log.WithError(err).WithField("address", address).Warn("connection of a peer failed")
	}
}

// up takes a new link.
func (p *Process) up(now time.Time, process ident.Process, dc ident.DataCentre, address string) {
	p.log.WithField("peer", process.Instance).Info("link to peer is up")
	if _, known := p.fleet[process.Instance]; !known {
		p.fleet[process.Instance] = Member{Process: process, DataCentre: dc, Address: address}
		p.dial()
	}
	p.act(now, p.core.Up(now, process, dc))
}

// dial tells the mesh which instances to keep links to.
func (p *Process) dial() {
	targets := make([]peer.Target, 0, len(p.fleet))
	for id, m := range p.fleet {
		targets = append(targets, peer.Target{Instance: id, Address: m.Address})
	}
	p.mesh.SetTargets(targets)
}

// send passes a message to a peer. Without a link the core learns of its end.
func (p *Process) send(s dispatcher.Send) {
	m := encode(s.Message)
	if pulse := m.GetPulse(); pulse != nil {
		if c := p.config.Load(); c != nil {
			pulse.ConfigVersion = c.table.Version
		}
	}
	if !p.mesh.Send(s.To.Instance, s.To.Incarnation, s.Urgent, m) {
		p.count.unsent.Inc()
	}
}

// receive takes a message of a peer.
func (p *Process) receive(now time.Time, from ident.Process, m *peerpb.Message) {
	switch body := m.GetBody().(type) {
	case *peerpb.Message_StoredConfig:
		p.adoptConfig(body.StoredConfig.GetContent(), "peer "+string(from.Instance))
		return
	case *peerpb.Message_Pulse:
		p.passConfig(now, from, body.Pulse.GetConfigVersion())
	}
	message, ok := decode(m)
	if !ok {
		p.log.WithField("peer", from.Instance).Warn("message of a peer is malformed")
		return
	}
	p.act(now, p.core.Receive(now, from, message))
}

// passConfig hands a peer the configuration when it has an older one.
func (p *Process) passConfig(now time.Time, to ident.Process, version uint64) {
	c := p.config.Load()
	if c == nil || version >= c.table.Version || now.Sub(c.at) < configHeadStart {
		return
	}
	m := &peerpb.Message{Body: &peerpb.Message_StoredConfig{
		StoredConfig: &peerpb.StoredConfig{Version: c.table.Version, Content: c.content},
	}}
	if !p.mesh.Send(to.Instance, to.Incarnation, false, m) {
		p.count.unsent.Inc()
	}
}

// configHeadStart is how long a peer may take to read a configuration from the
// store itself.
const configHeadStart = 400 * time.Millisecond

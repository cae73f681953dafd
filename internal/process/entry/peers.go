package entry

import (
	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// connectPeers creates the mesh. Its messages, loads and changes of links are
// posted to the loop as events.
func (p *Process) connectPeers() error {
	mesh, err := peer.NewMesh(peer.Config{
		Self:          p.cfg.Self,
		DataCentre:    p.cfg.DataCentre,
		ListenAddress: p.cfg.PeerAddress,
		Token:         p.cfg.Token,
		Clock:         p.cfg.Clock,
	})
	if err != nil {
		return err
	}
	mesh.OnMessage = func(from ident.Process, m *peerpb.Message) {
		p.post(instance.PeerMessage{Peer: from, Message: m})
	}
	mesh.OnLoad = func(from ident.Process, loads []*peerpb.Load) {
		p.post(instance.PeerLoad{Peer: from, Loads: loads})
	}
	mesh.OnUp = func(from ident.Process, dc ident.DataCentre, address string) {
		p.log.WithField("peer", from.Instance).Info("peer linked")
		p.post(instance.PeerUp{Peer: from, DataCentre: dc, Address: address})
	}
	mesh.OnDown = func(from ident.Process, unsent []*peerpb.Message) {
		p.log.WithField("peer", from.Instance).Warn("peer link lost")
		p.post(instance.PeerDown{Peer: from, Unsent: unsent})
	}
	mesh.Load = p.loads
	p.mesh = mesh
	return nil
}

// loads returns the loads that the loop has published most recently.
func (p *Process) loads() []*peerpb.Load {
	if l := p.load.Load(); l != nil {
		return *l
	}
	return nil
}

// sendFailed returns the event for a message that could not be sent.
func sendFailed(a instance.Send) *instance.SendFailed {
	return &instance.SendFailed{Peer: a.To, Messages: []*peerpb.Message{a.Message}}
}

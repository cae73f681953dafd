package entry

import (
	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// newMesh creates the mesh of links to peers. Its messages, loads and changes
// of links are posted to the loop as events.
func (p *Process) newMesh() error {
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
	mesh.OnMessage = func(process ident.Process, m *peerpb.Message) {
		p.post(instance.PeerMessage{Peer: process, Message: m})
	}
	mesh.OnLoad = func(process ident.Process, loads []*peerpb.Load) {
		p.post(instance.PeerLoad{Peer: process, Loads: loads})
	}
	mesh.OnUp = func(process ident.Process, dc ident.DataCentre, address string) {
		p.log.WithField("peer", process.Instance).Info("peer linked")
		p.post(instance.PeerUp{Peer: process, DataCentre: dc, Address: address})
	}
	mesh.OnDown = func(process ident.Process, unsent []*peerpb.Message) {
		p.log.WithField("peer", process.Instance).Warn("peer link lost")
		p.post(instance.PeerDown{Peer: process, Unsent: unsent})
	}
	mesh.Load = p.loads
	p.mesh = mesh
	return nil
}

// loads returns the loads that the loop has published most recently.
func (p *Process) loads() []*peerpb.Load {
	if l := p.publishedLoads.Load(); l != nil {
		return *l
	}
	return nil
}

// sendFailed returns the event for a message that could not be sent.
func sendFailed(a instance.Send) *instance.SendFailed {
	return &instance.SendFailed{Peer: a.To, Messages: []*peerpb.Message{a.Message}}
}

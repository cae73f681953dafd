package dispatch

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// setMeshCallbacks sets the callbacks of the mesh. They post to loop, except
// for OnFault, which only logs.
func (p *Process) setMeshCallbacks() {
	p.mesh.OnUp = func(process ident.Process, dc ident.DataCentre, address string) {
		p.post(func(now time.Time) { p.handleLinkUp(now, process, dc, address) })
	}
	p.mesh.OnDown = func(process ident.Process, _ []*peerpb.Message) {
		p.post(func(now time.Time) {
			// Package logread matches this message.
			p.log.WithField("peer", process.Instance).Info("link to peer is down")
			p.configSync.fetcher.HandleLinkDown(process)
			p.configSync.delays.HandleLinkDown(process)
			p.applyActions(now, p.core.HandleLinkDown(now, process))
		})
	}
	p.mesh.OnMessage = func(from ident.Process, m *peerpb.Message) {
		p.post(func(now time.Time) { p.receive(now, from, m) })
	}
	p.mesh.OnFault = func(address string, err error) {
		p.log.WithError(err).WithField("address", address).Warn("peer connection failed")
	}
}

// handleLinkUp handles a new link to a peer. A peer that the store has not
// listed yet is added to linkTargets.
func (p *Process) handleLinkUp(now time.Time, process ident.Process, dc ident.DataCentre, address string) {
	p.log.WithField("peer", process.Instance).Info("link to peer is up")
	if _, known := p.linkTargets[process.Instance]; !known && p.core.MayLink(dc) {
		p.linkTargets[process.Instance] = Member{Process: process, DataCentre: dc, Address: address}
		p.updateTargets()
	}
	p.applyActions(now, p.core.HandleLinkUp(now, process, dc))
}

// updateTargets tells the mesh which instances to keep links to.
func (p *Process) updateTargets() {
	targets := make([]peer.Target, 0, len(p.linkTargets))
	for id, m := range p.linkTargets {
		targets = append(targets, peer.Target{Instance: id, Address: m.Address})
	}
	p.mesh.SetTargets(targets)
}

// send sends a message to a peer. A message that cannot be sent is only
// counted: OnDown tells the core when the link ends.
func (p *Process) send(s dispatcher.Send) {
	m := encode(s.Message)
	if heartbeat := m.GetPulse(); heartbeat != nil {
		p.addConfig(p.settings.Clock.Now(), s.To, heartbeat)
	}
	if !p.mesh.Send(s.To.Instance, s.To.Incarnation, s.Urgent, m) {
		p.counters.messagesUnsent.Inc()
	}
}

// receive handles a message from a peer. Configurations and lists of instances
// are handled here, and other messages by the core.
func (p *Process) receive(now time.Time, from ident.Process, m *peerpb.Message) {
	switch body := m.GetBody().(type) {
	case *peerpb.Message_StoredConfig:
		p.receiveConfig(from, body.StoredConfig)
		return
	case *peerpb.Message_ConfigRequest:
		p.sendConfig(now, from, body.ConfigRequest.GetVersion())
		return
	case *peerpb.Message_MemberRequest:
		p.sendMembers(from)
		return
	case *peerpb.Message_InstanceList:
		p.receiveMembers(now, body.InstanceList)
		return
	case *peerpb.Message_ConfigNotice:
		notice := body.ConfigNotice
		p.handleConfigReport(now, from, configReport{notice.GetVersion(), notice.GetAge(), notice.GetSent(), 0})
		if p.evacuations.apply(decodeEvacuations(notice.GetEvacuations())) {
			p.setEvacuated(now)
		}
		return
	case *peerpb.Message_Pulse:
		p.handleConfigReport(now, from, configReport{body.Pulse.GetConfigVersion(), body.Pulse.GetConfigAge(), body.Pulse.GetSent(), int(body.Pulse.GetConfigSize())})
		p.fetchEvacuations(now, from, StoreRevision(body.Pulse.GetEvacuationRevision()))
		if body.Pulse.GetReadConfig() {
			p.readConfigFor(now, from)
		}
	}
	message, ok := decode(m)
	if !ok {
		p.log.WithField("peer", from.Instance).Warn("malformed or unknown message from peer")
		return
	}
	p.applyActions(now, p.core.Receive(now, from, message))
}

// sendToPeer sends a message on the traffic stream. A message that cannot be
// sent is only counted.
func (p *Process) sendToPeer(to ident.Process, m *peerpb.Message) {
	if !p.mesh.Send(to.Instance, to.Incarnation, false, m) {
		p.counters.messagesUnsent.Inc()
	}
}

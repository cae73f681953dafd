package dispatch

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
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
			p.down(now, process, p.set.LinkGrace)
		})
	}
	p.mesh.OnMessage = func(from ident.Process, m *peerpb.Message) {
		p.post(func(now time.Time) { p.receive(now, from, m) })
	}
	p.mesh.OnFault = func(address string, err error) {
		p.log.WithError(err).WithField("address", address).Warn("connection of a peer failed")
	}
}

// up takes a new link. A home that is back keeps its tasks.
func (p *Process) up(now time.Time, process ident.Process, dc ident.DataCentre, address string) {
	p.log.WithField("peer", process.Instance).Info("link to peer is up")
	p.view.Up(now, process, dc)
	delete(p.lost, process)
	if _, known := p.fleet[process.Instance]; !known {
		p.fleet[process.Instance] = Member{Process: process, DataCentre: dc, Address: address}
		p.dial()
	}
	p.pulse([]ident.Process{process})
	p.reclaim = now.Add(reclaimWait)
	if p.pool.Active() && len(p.list.endpoints) > 0 {
		p.send(process, false, p.list.message(now))
	}
}

// dial tells the mesh which instances to keep links to.
func (p *Process) dial() {
	targets := make([]peer.Target, 0, len(p.fleet))
	for id, m := range p.fleet {
		targets = append(targets, peer.Target{Instance: id, Address: m.Address})
	}
	p.mesh.SetTargets(targets)
}

// receive takes a message of a peer.
func (p *Process) receive(now time.Time, from ident.Process, m *peerpb.Message) {
	switch body := m.GetBody().(type) {
	case *peerpb.Message_Pulse:
		p.pulsed(now, from, body.Pulse)
	case *peerpb.Message_PlaceOrders:
		orders, ok := readOrders(body.PlaceOrders)
		if !ok {
			p.log.WithField("peer", from.Instance).Warn("orders of a peer are malformed")
			return
		}
		p.carryOut(now, p.pool.Place(now, from, orders))
	case *peerpb.Message_WithdrawJob:
		p.carryOut(now, p.pool.Withdraw(now, from, job.ID(body.WithdrawJob.GetJob())))
	case *peerpb.Message_TaskEnds:
		p.runActions(now, p.table.Ends(now, from, readEnds(body.TaskEnds)))
	case *peerpb.Message_StoredConfig:
		p.adoptConfig(body.StoredConfig.GetContent(), "peer "+string(from.Instance))
	case *peerpb.Message_EndpointList:
		p.takeList(now, body.EndpointList)
	}
}

// pulsed takes a pulse, and hands the peer a configuration that it lacks.
func (p *Process) pulsed(now time.Time, from ident.Process, m *peerpb.Pulse) {
	p.view.Heard(now, from, leader.Pulse{Seniority: leader.Seniority(m.GetSeniority()), Epoch: m.GetEpoch(), Draining: m.GetDraining()})
	c := p.config.Load()
	if c != nil && m.GetConfigVersion() < c.table.Version && now.Sub(c.at) > configHeadStart {
		p.send(from, true, &peerpb.Message{Body: &peerpb.Message_StoredConfig{
			StoredConfig: &peerpb.StoredConfig{Version: c.table.Version, Content: c.content},
		}})
	}
	if lead, known := p.view.Owner(); known && lead == from {
		p.listAge = time.Duration(m.GetListAgeMs()) * time.Millisecond
	}
}

// reclaimWait is the time from a new link until the peer behind it has followed
// the owner, when it owned endpoints itself.
const reclaimWait = 150 * time.Millisecond

// configHeadStart is how long a peer may take to read a configuration from the
// store itself.
const configHeadStart = 400 * time.Millisecond

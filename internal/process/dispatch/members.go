package dispatch

import (
	"math/rand/v2"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// memberRequestInterval is the interval at which an instance that the store has
// not told of the others asks a peer.
const memberRequestInterval = 500 * time.Millisecond

// tickMembers asks a peer for the other instances as long as the store has not
// listed them: an instance that starts while the store turns it away otherwise
// knows only those that dial it.
func (p *Process) tickMembers(now time.Time) {
	if p.members != nil || now.Sub(p.membersAskedAt) < memberRequestInterval {
		return
	}
	peers := p.core.Peers()
	if len(peers) == 0 {
		return
	}
	p.membersAskedAt = now
	p.sendToPeer(peers[rand.IntN(len(peers))], &peerpb.Message{Body: &peerpb.Message_MemberRequest{MemberRequest: &peerpb.MemberRequest{}}})
}

// sendMembers sends a peer the instances that this one knows.
func (p *Process) sendMembers(to ident.Process) {
	list := &peerpb.InstanceList{}
	for _, m := range p.members {
		list.Instances = append(list.Instances, &peerpb.Instance{
			Id: string(m.Process.Instance), Incarnation: uint64(m.Process.Incarnation), DataCentre: string(m.DataCentre), Address: m.Address,
		})
	}
	p.sendToPeer(to, &peerpb.Message{Body: &peerpb.Message_InstanceList{InstanceList: list}})
}

// receiveMembers takes the instances that a peer knows as those to link to,
// until the store lists them.
func (p *Process) receiveMembers(list *peerpb.InstanceList) {
	if p.members != nil {
		return
	}
	for _, in := range list.GetInstances() {
		p.members = append(p.members, Member{
			Process:    ident.Process{Instance: ident.InstanceID(in.GetId()), Incarnation: ident.Incarnation(in.GetIncarnation())},
			DataCentre: ident.DataCentre(in.GetDataCentre()), Address: in.GetAddress(),
		})
	}
	p.selectTargets()
}

package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// memberRequestInterval is the interval at which an instance that the store has
// not told of the others asks a peer.
const memberRequestInterval = 500 * time.Millisecond

// memberMemory is how long an instance that the store no longer lists may still
// be chosen as a relay. The keys of instances that the store turns away expire,
// while they may know the configuration from others, or be served again.
const memberMemory = time.Minute

// rememberedMember is an instance with the time at which it was last listed.
type rememberedMember struct {
	Member
	listedAt time.Time
}

// rememberMembers records the instances that are listed now.
func (p *Process) rememberMembers(now time.Time, list []Member) {
	for _, m := range list {
		p.remembered[m.Process.Instance] = rememberedMember{m, now}
	}
	maps.DeleteFunc(p.remembered, func(_ ident.InstanceID, m rememberedMember) bool { return now.Sub(m.listedAt) > memberMemory })
}

// outsideMembers returns the remembered instances that this one keeps no links
// to, in the order of their ids.
func (p *Process) outsideMembers() []Member {
	var list []Member
	for _, id := range slices.Sorted(maps.Keys(p.remembered)) {
		if m := p.remembered[id].Member; !p.core.MayLink(m.DataCentre) {
			list = append(list, m)
		}
	}
	return list
}

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
func (p *Process) receiveMembers(now time.Time, list *peerpb.InstanceList) {
	if p.members != nil {
		return
	}
	for _, in := range list.GetInstances() {
		p.members = append(p.members, Member{
			Process:    ident.Process{Instance: ident.InstanceID(in.GetId()), Incarnation: ident.Incarnation(in.GetIncarnation())},
			DataCentre: ident.DataCentre(in.GetDataCentre()), Address: in.GetAddress(),
		})
	}
	p.rememberMembers(now, p.members)
	p.selectTargets()
}

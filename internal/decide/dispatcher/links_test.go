package dispatcher_test

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
)

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// cutOff reports whether messages from one instance do not reach another.
func (f *fleet) cutOff(from, to int) bool {
	return f.instanceCuts[pair(from, to)] || f.oneWayCuts[[2]int{from, to}]
}

// connect links two instances as soon as they can reach each other.
func (f *fleet) connect(a, b *simInstance) {
	pa, pb := a.process, b.process
	f.at(20*time.Millisecond+f.delay()*20, func() {
		switch {
		case a.process != pa || b.process != pb || !a.up || !b.up:
			return
		case a.links[b.index] == pb || b.links[a.index] == pa:
			return
		case a.highestSeen[b.index] > pb.Incarnation || b.highestSeen[a.index] > pa.Incarnation:
			return
		case f.cutOff(a.index, b.index) || f.cutOff(b.index, a.index) || a.paused || b.paused || !a.core.MayLink(b.dc) || !b.core.MayLink(a.dc):
			f.connect(a, b)
			return
		}
		a.links[b.index], b.links[a.index] = pb, pa
		a.highestSeen[b.index], b.highestSeen[a.index] = pb.Incarnation, pa.Incarnation
		f.linkNumbers[pair(a.index, b.index)]++
		f.deliver(a, pa, func() { f.apply(a, a.core.HandleLinkUp(f.clock(a), pb, b.dc)) })
		f.deliver(b, pb, func() { f.apply(b, b.core.HandleLinkUp(f.clock(b), pa, a.dc)) })
	})
}

// disconnect ends the link at n to o. The other side notices after a network
// delay, or after 3 s if the two cannot reach each other.
func (f *fleet) disconnect(n, o *simInstance) {
	p, linked := n.links[o.index]
	if !linked {
		return
	}
	delete(n.links, o.index)
	np := n.process
	f.deliver(n, np, func() { f.apply(n, n.core.HandleLinkDown(f.clock(n), p)) })
	if f.cutOff(n.index, o.index) {
		f.at(3*time.Second, func() { f.breakLink(o, n, np) })
	} else {
		f.at(f.delay(), func() { f.breakLink(o, n, np) })
	}
	f.at(50*time.Millisecond, func() { f.connect(n, o) })
}

// breakLink ends the link at n to process p of o, unless n has linked to a
// newer process of o.
func (f *fleet) breakLink(n, o *simInstance, p ident.Process) {
	if n.up && n.links[o.index] == p {
		delete(n.links, o.index)
		f.deliver(n, n.process, func() { f.apply(n, n.core.HandleLinkDown(f.clock(n), p)) })
		f.connect(n, o)
	}
}

// send delivers a message over a link. Messages of a link arrive in order.
func (f *fleet) send(n *simInstance, s dispatcher.Send) {
	for _, o := range f.instances {
		if n.links[o.index] != s.To {
			continue
		}
		if o.links[n.index] != n.process {
			// The other side has closed the connection and resets it.
			if p := s.To; (o.up || !o.powerLost) && !f.cutOff(n.index, o.index) && !f.cutOff(o.index, n.index) {
				f.at(f.delay(), func() { f.breakLink(n, o, p) })
			}
			continue
		}
		if f.slow != nil {
			f.slow.send(f, n, o, s)
			continue
		}
		if f.cutOff(n.index, o.index) {
			return
		}
		from, to := n.process, s.To
		// The delay is the same for all messages, which keeps their order.
		f.at(time.Millisecond, func() {
			f.deliver(o, to, func() {
				if o.links[n.index] == from {
					f.apply(o, o.core.Receive(f.clock(o), from, s.Message))
				}
			})
		})
	}
}

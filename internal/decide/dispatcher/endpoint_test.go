package dispatcher_test

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

func (f *fleet) simEndpoint(id ident.EndpointID) *simEndpoint {
	i := slices.IndexFunc(f.endpoints, func(s *simEndpoint) bool { return s.fake.Entry.ID == id })
	return f.endpoints[i]
}

func (f *fleet) reaches(n *simInstance, s *simEndpoint) bool {
	return !s.down && !f.endpointCuts[[2]int{n.index, s.index}]
}

// callTimeout is how long an instance waits for an endpoint to answer a call,
// beyond the wait that a look asks for.
const callTimeout = 200 * time.Millisecond

// sendCall delivers a start or stop to an endpoint, at once or late. Its answer
// may be lost; the instance then gets the reply owner.Unknown after
// callTimeout.
func (f *fleet) sendCall(n *simInstance, id ident.EndpointID, do func(*simEndpoint) owner.Answered, number uint64) {
	s := f.simEndpoint(id)
	p := n.process
	reply := func(a owner.Answered) {
		f.deliver(n, p, func() { f.apply(n, n.core.Answered(f.clock(n), &a)) })
	}
	lost := func() { f.at(callTimeout, func() { reply(owner.Answered{Call: number, Reply: owner.Unknown}) }) }
	if !f.reaches(n, s) {
		lost()
		return
	}
	if f.chance(s.lateShare) {
		// An endpoint that crashes drops the calls that are late.
		born := s.fake.Entry.Born
		f.at(2*time.Second+time.Duration(f.rng.Int64N(int64(6*time.Second))), func() {
			if !s.down && s.fake.Entry.Born == born {
				do(s)
				f.scheduleEnd(s)
			}
		})
		lost()
		return
	}
	f.at(f.delay(), func() {
		if !f.reaches(n, s) {
			lost()
			return
		}
		a := do(s)
		f.scheduleEnd(s)
		if f.chance(s.lost) {
			lost()
			return
		}
		f.at(f.delay(), func() { reply(a) })
	})
}

// look delivers a look to an endpoint. The answer waits until a run has ended
// or the wait of the look is over.
func (f *fleet) look(n *simInstance, l owner.Look) {
	s := f.simEndpoint(l.Endpoint)
	p := n.process
	sent := f.clock(n)
	replied := false
	reply := func(r owner.Looked) {
		if replied {
			return
		}
		replied = true
		r.Sent = sent
		f.at(f.delay(), func() { f.deliver(n, p, func() { f.apply(n, n.core.Looked(f.clock(n), &r)) }) })
	}
	f.at(l.Wait+callTimeout, func() { reply(owner.Looked{Call: l.Number, Reply: owner.Unknown}) })
	if !f.reaches(n, s) {
		return
	}
	f.at(f.delay(), func() {
		if !f.reaches(n, s) {
			return
		}
		r := s.fake.Look(f.now, l)
		f.scheduleEnd(s)
		if r.Reply != owner.OK || s.fake.Ended() || l.Wait == 0 {
			if f.reaches(n, s) && !f.chance(s.lost) {
				reply(r)
			}
			return
		}
		finish := func() {
			if f.reaches(n, s) {
				reply(s.fake.Lists(f.now, l))
			}
		}
		s.waiters = append(s.waiters, finish)
		f.at(l.Wait, finish)
	})
}

// scheduleEnd schedules the next end of a run at an endpoint.
func (f *fleet) scheduleEnd(s *simEndpoint) {
	next := s.fake.Next(f.now)
	if next.IsZero() || (!s.wakeAt.IsZero() && !s.wakeAt.Before(f.now) && !next.Before(s.wakeAt)) {
		return
	}
	s.wakeAt = next
	f.at(next.Sub(f.now), func() {
		s.wakeAt = time.Time{}
		if s.down {
			return
		}
		s.fake.Advance(f.now)
		if s.fake.Ended() {
			waiters := s.waiters
			s.waiters = nil
			for _, w := range waiters {
				w()
			}
		}
		f.scheduleEnd(s)
	})
}

package dispatcher_test

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

func (f *fleet) station(id ident.EndpointID) *station {
	i := slices.IndexFunc(f.stations, func(s *station) bool { return s.e.Entry.ID == id })
	return f.stations[i]
}

func (f *fleet) reaches(n *node, s *station) bool {
	return !s.down && !f.stationCut[[2]int{n.index, s.index}]
}

// callTimeout is how long a node waits for the answer to an order.
const callTimeout = 200 * time.Millisecond

// order carries out a start or stop, at once or late, and its answer may be
// lost.
func (f *fleet) order(n *node, id ident.EndpointID, do func(*station) owner.Answered, number uint64) {
	s := f.station(id)
	p := n.process
	reply := func(a owner.Answered) {
		f.on(n, p, func() { f.act(n, n.core.Answered(f.clock(n), &a)) })
	}
	lost := func() { f.at(callTimeout, func() { reply(owner.Answered{Call: number, Reply: owner.Unknown}) }) }
	if !f.reaches(n, s) {
		lost()
		return
	}
	if f.chance(s.late) {
		// An endpoint that crashes forgets the orders that it has put off.
		born := s.e.Entry.Born
		f.at(2*time.Second+time.Duration(f.rnd.Int64N(int64(6*time.Second))), func() {
			if !s.down && s.e.Entry.Born == born {
				do(s)
				f.wake(s)
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
		f.wake(s)
		if f.chance(s.lost) {
			lost()
			return
		}
		f.at(f.delay(), func() { reply(a) })
	})
}

// look carries out a look, which waits for an end.
func (f *fleet) look(n *node, l owner.Look) {
	s := f.station(l.Endpoint)
	p := n.process
	sent := f.clock(n)
	replied := false
	reply := func(r owner.Looked) {
		if replied {
			return
		}
		replied = true
		r.Sent = sent
		f.at(f.delay(), func() { f.on(n, p, func() { f.act(n, n.core.Looked(f.clock(n), &r)) }) })
	}
	f.at(l.Wait+callTimeout, func() { reply(owner.Looked{Call: l.Number, Reply: owner.Unknown}) })
	if !f.reaches(n, s) {
		return
	}
	f.at(f.delay(), func() {
		if !f.reaches(n, s) {
			return
		}
		r := s.e.Look(f.now, l)
		f.wake(s)
		if r.Reply != owner.OK || s.e.Ended() || l.Wait == 0 {
			if f.reaches(n, s) && !f.chance(s.lost) {
				reply(r)
			}
			return
		}
		finish := func() {
			if f.reaches(n, s) {
				reply(s.e.Lists(f.now, l))
			}
		}
		s.waiters = append(s.waiters, finish)
		f.at(l.Wait, finish)
	})
}

// wake schedules the next end at a station.
func (f *fleet) wake(s *station) {
	next := s.e.Next(f.now)
	if next.IsZero() || (!s.wakeAt.IsZero() && !s.wakeAt.Before(f.now) && !next.Before(s.wakeAt)) {
		return
	}
	s.wakeAt = next
	f.at(next.Sub(f.now), func() {
		s.wakeAt = time.Time{}
		if s.down {
			return
		}
		s.e.Advance(f.now)
		if s.e.Ended() {
			waiters := s.waiters
			s.waiters = nil
			for _, w := range waiters {
				w()
			}
		}
		f.wake(s)
	})
}

package dispatcher_test

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

func (f *fleet) endpointByID(id ident.EndpointID) *simEndpoint {
	i := slices.IndexFunc(f.endpoints, func(s *simEndpoint) bool { return s.fake.Entry.ID == id })
	return f.endpoints[i]
}

func (f *fleet) reaches(n *simInstance, s *simEndpoint) bool {
	return !s.down && !f.endpointCuts[[2]int{n.index, s.index}]
}

// callTimeout is how long an instance waits for an endpoint to answer a call,
// beyond the wait that a poll asks for.
const callTimeout = 200 * time.Millisecond

// start carries out a start, unless the endpoint refuses it.
func (f *fleet) start(s *simEndpoint, a owner.Start) owner.CallResult {
	if s.refusedShare > 0 && f.chance(s.refusedShare) {
		return owner.CallResult{Call: a.Number, Reply: owner.Full}
	}
	return s.fake.Start(f.now, a)
}

// sendCall delivers a start or stop to an endpoint, at once or late. Its answer
// may be lost; the instance then gets the reply owner.Unknown after
// callTimeout.
func (f *fleet) sendCall(n *simInstance, call owner.Call, do func(*simEndpoint) owner.CallResult) {
	s := f.endpointByID(call.Endpoint)
	p := n.process
	answered := false
	reply := func(a owner.CallResult) {
		if answered {
			return
		}
		answered = true
		f.deliver(n, p, func() { f.apply(n, n.core.HandleCallResult(f.clock(n), &a)) })
	}
	lost := func() {
		if !f.learnedTimeouts {
			f.at(callTimeout, func() { reply(owner.CallResult{Call: call.Number, Reply: owner.Unknown}) })
		}
	}
	if f.learnedTimeouts {
		f.at(call.Timeout, func() { reply(owner.CallResult{Call: call.Number, Reply: owner.Unknown}) })
	}
	if s.down && s.refuses {
		f.at(f.delay(), func() { reply(owner.CallResult{Call: call.Number, Reply: owner.ConnectionRefused}) })
		return
	}
	if !f.reaches(n, s) {
		lost()
		return
	}
	if f.chance(s.lateShare) {
		// An endpoint that crashes drops the calls that are late.
		incarnation := s.fake.Entry.Incarnation
		f.at(2*time.Second+time.Duration(f.rng.Int64N(int64(6*time.Second))), func() {
			if !s.down && s.fake.Entry.Incarnation == incarnation {
				do(s)
				f.scheduleEnd(s)
			}
		})
		lost()
		return
	}
	f.at(f.callDelay(n, s), func() {
		if !f.reaches(n, s) {
			lost()
			return
		}
		a := do(s)
		f.scheduleEnd(s)
		if f.chance(s.lostShare) || f.answerCuts[[2]int{n.index, s.index}] {
			lost()
			return
		}
		f.at(f.callDelay(n, s), func() { reply(a) })
	})
}

// callDelay returns how long a call or its answer takes.
func (f *fleet) callDelay(n *simInstance, s *simEndpoint) time.Duration {
	return f.delay() + f.callDelays[[2]int{n.index, s.index}]
}

// poll delivers a poll to an endpoint. The answer waits until a run has ended
// or the wait of the poll is over.
func (f *fleet) poll(n *simInstance, poll owner.Poll) {
	s := f.endpointByID(poll.Endpoint)
	p := n.process
	sent := f.clock(n)
	replied := false
	reply := func(r owner.PollResult) {
		if replied {
			return
		}
		r.SentAt = sent
		extra := time.Duration(0)
		if r.Reply != owner.Unknown {
			extra = f.callDelays[[2]int{n.index, s.index}]
		}
		replied = extra == 0 // a delayed answer may arrive after the timeout
		f.at(f.delay()+extra, func() {
			if extra > 0 && replied {
				return
			}
			replied = true
			f.deliver(n, p, func() {
				f.tracker.recordPoll(f, n, s, &r)
				f.apply(n, n.core.HandlePollResult(f.clock(n), &r))
			})
		})
	}
	if s.down && s.refuses {
		reply(owner.PollResult{Call: poll.Number, Reply: owner.ConnectionRefused})
		return
	}
	f.tracker.recordPollSent(f, n, s)
	timeout := callTimeout
	if f.learnedTimeouts {
		timeout = poll.Timeout
	}
	f.at(poll.Wait+timeout, func() { reply(owner.PollResult{Call: poll.Number, Reply: owner.Unknown}) })
	if !f.reaches(n, s) {
		return
	}
	f.at(f.callDelay(n, s), func() {
		if !f.reaches(n, s) {
			return
		}
		r := s.fake.Poll(f.now, poll)
		f.tracker.recordLease(f, n, s, r.Reply, poll.LeaseUntil)
		f.scheduleEnd(s)
		if r.Reply != owner.OK || s.fake.HasUnacknowledged() || poll.Wait == 0 {
			if f.reaches(n, s) && !f.chance(s.lostShare) && !f.answerCuts[[2]int{n.index, s.index}] {
				reply(r)
			}
			return
		}
		finish := func() {
			if f.reaches(n, s) && !f.answerCuts[[2]int{n.index, s.index}] {
				reply(s.fake.FinishPoll(f.now, poll))
			}
		}
		s.pendingPolls = append(s.pendingPolls, finish)
		f.at(poll.Wait, finish)
	})
}

// scheduleEnd schedules the next end of a run at an endpoint.
func (f *fleet) scheduleEnd(s *simEndpoint) {
	next := s.fake.NextAdvance(f.now)
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
		if s.fake.HasUnacknowledged() {
			pendingPolls := s.pendingPolls
			s.pendingPolls = nil
			for _, w := range pendingPolls {
				w()
			}
		}
		f.scheduleEnd(s)
	})
}

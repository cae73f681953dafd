package owner

import "time"

// Stats counts what the pool did.
type Stats struct {
	Starts, Done, Failed, Lost, Refused, Stops, Looks, LooksFailed uint64
	Fenced, Adopted, Unclaimed, Restarts, StartsRefused            uint64
	Waiting, Running, Stopping, Endpoints                          int
	// Of the endpoints, Held obey this owner and Foreign another; the others
	// have not answered lately. Usable ones may start tasks now. Blocked ones run
	// something of unknown room, Resting ones failed their tasks, and Missing
	// ones are not in the list.
	Held, Foreign, Usable, Blocked, Resting, Missing int
}

// Stats returns the counters and the present sizes.
func (p *Pool) Stats(now time.Time) Stats {
	s := p.stats
	s.Waiting, s.Endpoints = len(p.waiting), len(p.order)
	count := func(n *int, when bool) {
		if when {
			*n++
		}
	}
	for _, e := range p.order {
		s.Running += len(e.runs)
		for _, r := range e.runs {
			count(&s.Stopping, r.phase == stopping)
		}
		count(&s.Usable, e.usable(now, p.cfg.MissingWait))
		count(&s.Blocked, e.unclaimed > 0)
		count(&s.Resting, now.Before(e.restUntil))
		count(&s.Missing, !e.missingFrom.IsZero())
		switch e.hold {
		case held:
			s.Held++
		case foreign:
			s.Foreign++
		}
	}
	return s
}

package owner

import "time"

// Stats holds the counters and current sizes of a Pool.
type Stats struct {
	Starts, Done, Failed, Lost, Refused, Stops, Polls, PollsFailed uint64
	Fenced, Adopted, Unclaimed, Restarts, StartsRefused            uint64
	Waiting, Running, Stopping, Endpoints                          int
	// Held endpoints accept the fence of this owner, and Foreign ones that of
	// another; the others have not answered lately. Usable endpoints may start
	// tasks now, Blocked ones have runs of unknown room, CoolingDown ones are
	// in a cooldown after failures, and Missing ones are not in the list.
	Held, Foreign, Usable, Blocked, CoolingDown, Missing int
}

// Stats returns the counters and the current sizes.
func (p *Pool) Stats(now time.Time) Stats {
	s := p.stats
	s.Waiting, s.Endpoints = len(p.waiting), len(p.sortedEndpoints)
	count := func(n *int, when bool) {
		if when {
			*n++
		}
	}
	for _, e := range p.sortedEndpoints {
		s.Running += len(e.runs)
		for _, r := range e.runs {
			count(&s.Stopping, r.phase == stopping)
		}
		count(&s.Usable, e.usable(now, p.cfg.MissingGrace))
		count(&s.Blocked, e.unclaimed > 0)
		count(&s.CoolingDown, now.Before(e.cooldownUntil))
		count(&s.Missing, !e.missingSince.IsZero())
		switch e.ownership {
		case ownershipHeld:
			s.Held++
		case ownershipForeign:
			s.Foreign++
		}
	}
	return s
}

package owner

import (
	"maps"
	"slices"
	"time"
)

// Stats holds the counters and current sizes of a Pool.
type Stats struct {
	// Lost counts the tasks whose run ended without a result and that were
	// requeued. Refused counts the tasks whose deadline passed while they
	// waited, with the outcome refused or overdue. It does not count tasks that
	// are refused after maxStartRefusals.
	Starts, Done, Failed, Lost, Refused, Stops, Polls, PollsFailed uint64
	// Fenced counts the calls that were refused because of a higher fence of
	// another owner, whether the endpoint was yielded because of the call or
	// before. It does not count refusals after which this owner raises its
	// fence. Unclaimed counts the runs that were stopped because no home had
	// claimed them. Reruns counts the runs that were stopped because they had
	// stalled. StartsRefused includes the starts that were not answered.
	Fenced, Adopted, Unclaimed, Reruns, StartsRefused uint64
	// Shed counts the tasks that were refused before their deadline because
	// they could not end in time, or because too many tasks waited.
	Shed uint64
	// GivenUp counts the tasks that were given up because endpoints crashed
	// under them.
	GivenUp uint64
	// Running counts all runs on endpoints, also those that are starting,
	// stopping or unclaimed. Stopping counts those among them that are being
	// stopped.
	Waiting, Running, Stopping, Endpoints int
	// Window is the number of starts that may be in flight.
	Window int
	// Held endpoints have accepted the fence of this owner and answer its
	// polls. Foreign ones have seen a higher fence of another owner. Usable
	// endpoints may start tasks as far as their state is concerned, but may
	// have no free room. Blocked ones have unclaimed runs, whose room is
	// unknown, so that they start no tasks. CoolingDown ones are in a cooldown
	// after failures, and Missing ones are not in the list.
	Held, Foreign, Usable, Blocked, CoolingDown, Missing int
	// Priorities holds the counters of each priority of which tasks have
	// started or were refused here, the most urgent first.
	Priorities []PriorityStats
}

// PriorityStats holds the counters and sizes of the tasks of a priority.
type PriorityStats struct {
	Priority int
	Waiting  int
	// Started counts the starts, and StartedFirst those of them at which more
	// urgent tasks waited. Shed counts the tasks that were refused because they
	// could not end in time.
	Started, StartedFirst, Shed uint64
}

// Stats returns the counters and the current sizes.
func (p *Pool) Stats(now time.Time) Stats {
	s := p.stats
	s.Waiting, s.Endpoints, s.Window = p.waiting.len(), len(p.sortedEndpoints), p.window.Free(0)
	for _, priority := range slices.Sorted(maps.Keys(p.waiting.counters)) {
		counters := *p.waiting.counters[priority]
		counters.Waiting = p.waiting.queue(priority).tasks
		s.Priorities = append(s.Priorities, counters)
	}
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

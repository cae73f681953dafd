package leader

import (
	"slices"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// minProcessorPercent is a percentage of the processors of the largest instance
// that is not draining. An instance with fewer processors than that counts as
// small and leads only when no larger one can: the owner's load grows with the
// fleet, and the largest instances have several times the processors of the
// smallest. An instance whose processors are unknown counts as small, unless
// those of all instances that are not draining are unknown.
const minProcessorPercent = 75

// candidate is an instance that is considered as leader. A small candidate has
// fewer processors than minProcessorPercent demands. For returning ones see
// View.returning.
type candidate struct {
	process   ident.Process
	heartbeat Heartbeat
	small     bool
	returning bool
}

// preferredTo reports whether c is ranked before o as leader.
func (c *candidate) preferredTo(o *candidate) bool {
	switch {
	case c.heartbeat.Draining != o.heartbeat.Draining:
		return !c.heartbeat.Draining
	case c.small != o.small:
		return !c.small
	case c.returning != o.returning:
		return !c.returning
	case c.heartbeat.Seniority != o.heartbeat.Seniority:
		return c.heartbeat.Seniority < o.heartbeat.Seniority
	}
	return c.process.Instance < o.process.Instance
}

// MaxProcessors returns the processor capacity of the strongest instance that
// is linked, this one included, in thousandths of a core.
func (v *View) MaxProcessors() int64 {
	largest := v.cfg.Strength.Processors
	for _, p := range v.peers {
		if p.linked && p.hasHeartbeat {
			largest = max(largest, p.heartbeat.Processors)
		}
	}
	return largest
}

// rank returns the instance that is to lead and its successor, which is empty
// if there is no other instance. Instances that are not draining come before
// draining ones, large ones before small ones, those that follow the same owner
// before those that return, and senior ones before junior ones. When all are
// draining, one of them leads.
func (v *View) rank() (first, second ident.Process) {
	candidates := []candidate{{process: v.cfg.Self, heartbeat: v.OwnHeartbeat()}}
	for _, p := range v.peers {
		if p.linked && p.hasHeartbeat && !p.unheard {
			candidates = append(candidates, candidate{process: p.process, heartbeat: p.heartbeat, returning: v.returning(p)})
		}
	}
	var maxProcessors int64
	for _, c := range candidates {
		if !c.heartbeat.Draining {
			maxProcessors = max(maxProcessors, c.heartbeat.Processors)
		}
	}
	for i := range candidates {
		candidates[i].small = candidates[i].heartbeat.Processors*100 < maxProcessors*minProcessorPercent
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.preferredTo(&b) {
			return -1
		}
		return 1
	})
	if len(candidates) > 1 {
		second = candidates[1].process
	}
	return candidates[0].process, second
}

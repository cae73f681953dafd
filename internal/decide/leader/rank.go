package leader

import (
	"slices"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// strongShare is the part of the strongest instance's processors, in percent,
// below which an instance leads only when no stronger one can: the owner's load
// grows with the fleet, while instances differ several times in size.
const strongShare = 75

// candidate is an instance that may lead.
type candidate struct {
	process ident.Process
	pulse   Pulse
	weak    bool
}

// before reports whether c leads rather than o.
func (c *candidate) before(o *candidate) bool {
	switch {
	case c.pulse.Draining != o.pulse.Draining:
		return !c.pulse.Draining
	case c.weak != o.weak:
		return !c.weak
	case c.pulse.Seniority != o.pulse.Seniority:
		return c.pulse.Seniority < o.pulse.Seniority
	}
	return c.process.Instance < o.process.Instance
}

// rank returns the most senior of the strong instances that may lead, and its
// successor. When all are draining, one of them leads.
func (v *View) rank() (first, second ident.Process) {
	rows := []candidate{{process: v.cfg.Self, pulse: v.Own()}}
	for _, p := range v.peers {
		if p.linked && p.pulsed {
			rows = append(rows, candidate{process: p.process, pulse: p.pulse})
		}
	}
	var strongest int64
	for _, r := range rows {
		if !r.pulse.Draining {
			strongest = max(strongest, r.pulse.Processors)
		}
	}
	for i := range rows {
		rows[i].weak = rows[i].pulse.Processors*100 < strongest*strongShare
	}
	slices.SortFunc(rows, func(a, b candidate) int {
		if a.before(&b) {
			return -1
		}
		return 1
	})
	if len(rows) > 1 {
		second = rows[1].process
	}
	return rows[0].process, second
}

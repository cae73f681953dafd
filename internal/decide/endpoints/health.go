package endpoints

import (
	"fmt"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// record takes a success or a failure into the health of e. Outcomes during
// an ejection belong to tasks that started before it, and do not count.
func (p *Pool) record(now time.Time, e *endpoint, failure bool) {
	if e.phase == ejected {
		return
	}
	e.remember(failure, p.cfg.Window)
	// The totals of the pool must hold this outcome before peers are compared.
	p.place(e)
	if e.phase == onProbation {
		p.recordProbation(now, e, failure)
		return
	}
	reason := p.ejectionReason(e)
	if failure && reason != "" {
		p.eject(now, e, reason)
	} else if reason == "" {
		e.failing = false
	}
}

func (p *Pool) recordProbation(now time.Time, e *endpoint, failure bool) {
	if failure {
		p.eject(now, e, "a failure on probation")
		return
	}
	e.failing = false
	e.passed++
	if e.passed >= p.cfg.ProbationSuccesses {
		e.forget()
		e.phase, e.reason = inUse, ""
	}
}

// ejectionReason returns why e should be ejected, or an empty string.
func (p *Pool) ejectionReason(e *endpoint) string {
	if e.consecutive >= p.cfg.ConsecutiveFailures {
		return fmt.Sprintf("%d failures in a row", p.cfg.ConsecutiveFailures)
	}
	limit := p.cfg.WindowFailures * float64(p.cfg.Window)
	if float64(e.failures()) <= limit {
		return ""
	}
	peers := p.total.counted - e.share.counted
	failed := p.total.failures - e.share.failures
	if float64(failed) > p.cfg.WindowFailures*float64(peers) {
		return ""
	}
	return fmt.Sprintf("more than %.0f failures in %d outcomes", limit, p.cfg.Window)
}

// eject takes e out of use, or marks it as failing when too many are ejected
// already.
func (p *Pool) eject(now time.Time, e *endpoint, reason string) {
	e.reason = reason
	if p.total.ejected >= p.cfg.ejectable(p.total.members) {
		e.failing = true
		return
	}
	if e.ejections > 0 && now.Sub(e.until) > p.cfg.EjectionMax {
		e.ejections = 0
	}
	e.until = now.Add(doubled(p.cfg.EjectionMin, e.ejections, p.cfg.EjectionMax))
	e.ejections++
	e.failing = false
	e.phase = ejected
	p.place(e)
}

// release ends the ejection of e.
func (p *Pool) release(e *endpoint) {
	e.forget()
	e.phase = onProbation
}

// ejectDue ejects failing endpoints as far as the limit allows.
func (p *Pool) ejectDue(now time.Time) {
	for _, e := range p.ordered {
		if p.total.ejected >= p.cfg.ejectable(p.total.members) {
			return
		}
		if e.failing && e.member() {
			p.eject(now, e, e.reason)
		}
	}
}

// limitEjected ends the oldest ejections when fewer are allowed than before,
// because endpoints left.
func (p *Pool) limitEjected() {
	for p.total.ejected > p.cfg.ejectable(p.total.members) {
		var first *endpoint
		for _, e := range p.ordered {
			if e.share.ejected > 0 && (first == nil || e.until.Before(first.until)) {
				first = e
			}
		}
		p.release(first)
		p.place(first)
	}
}

// State is the state of an endpoint for operators.
type State string

// The states of an endpoint. The first that applies is reported.
const (
	// StateLeaving: the endpoint is draining, leaving or no longer owned.
	StateLeaving State = "leaving"
	// StateEjected: the endpoint gets no tasks until a set time.
	StateEjected State = "ejected"
	// StateFailing: an ejection is due, but too many are ejected already.
	StateFailing State = "failing"
	// StateBackingOff: the endpoint refused a task a moment ago.
	StateBackingOff State = "backing-off"
	// StateProbation: the endpoint gets one task at a time.
	StateProbation State = "probation"
	// StateStraggler: the endpoint is used only when nothing else is free.
	StateStraggler State = "straggler"
	// StateHealthy: none of the above.
	StateHealthy State = "healthy"
)

// Health describes one endpoint process for operators.
type Health struct {
	ID          ident.EndpointID
	Incarnation ident.Incarnation
	State       State
	// Reason explains the state, if there is more to say.
	Reason string
	// Until is when an ejection or back-off ends, and zero otherwise.
	Until time.Time
	// Speed is the learned speed; the median of the service is about 1.
	Speed float64
	// Slots counts all slots, Running the own tasks in them and Outside the
	// slots assumed in use by other owners.
	Slots, Running, Outside int
}

// Health returns the state of each owned endpoint in order of id, then that of
// earlier processes with tasks still running, in no particular order.
func (p *Pool) Health() []Health {
	all := make([]Health, 0, len(p.ordered)+len(p.retired))
	for _, e := range p.ordered {
		all = append(all, e.health())
	}
	for _, e := range p.retired {
		all = append(all, e.health())
	}
	return all
}

func (e *endpoint) health() Health {
	h := Health{
		ID:          e.id,
		Incarnation: e.incarnation,
		State:       StateHealthy,
		Speed:       1 / e.factor,
		Slots:       e.slots(),
		Running:     e.running,
		Outside:     e.outside,
	}
	switch {
	case e.retired:
		h.State, h.Reason = StateLeaving, "no longer owned"
	case e.row.Leaving:
		h.State, h.Reason = StateLeaving, "leaving by the platform's list"
	case e.draining:
		h.State, h.Reason = StateLeaving, "draining by its own answer"
	case e.phase == ejected:
		h.State, h.Reason, h.Until = StateEjected, e.reason, e.until
	case e.failing:
		h.State, h.Reason = StateFailing, e.reason
	case !e.blockedUntil.IsZero():
		h.State, h.Until = StateBackingOff, e.blockedUntil
	case e.phase == onProbation:
		h.State, h.Reason = StateProbation, e.reason
	case e.straggler():
		h.State = StateStraggler
	}
	return h
}

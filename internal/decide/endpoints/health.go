package endpoints

import (
	"fmt"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// recordOutcome adds a success or a failure to the history of e, and ejects e
// if due. Outcomes during an ejection belong to tasks that started before it
// and are ignored.
func (p *Pool) recordOutcome(now time.Time, e *endpoint, failure bool) {
	if e.phase == ejected {
		return
	}
	e.addOutcome(failure, p.cfg.Window)
	// ejectionReason compares e with the totals of the pool, which must include
	// this outcome.
	p.update(e)
	if e.phase == onProbation {
		p.recordProbationOutcome(now, e, failure)
		return
	}
	reason := p.ejectionReason(e)
	if failure && reason != "" {
		p.eject(now, e, reason)
	} else if reason == "" {
		e.failing = false
	}
}

// recordProbationOutcome ends the probation of e after enough successes, or
// ejects e again after a failure.
func (p *Pool) recordProbationOutcome(now time.Time, e *endpoint, failure bool) {
	if failure {
		p.eject(now, e, "a failure on probation")
		return
	}
	e.failing = false
	e.probationSuccesses++
	if e.probationSuccesses >= p.cfg.ProbationSuccesses {
		e.clearHistory()
		e.phase, e.reason = normal, ""
	}
}

// ejectionReason returns why e should be ejected, or an empty string if it
// should not.
func (p *Pool) ejectionReason(e *endpoint) string {
	if e.consecutiveFailures >= p.cfg.ConsecutiveFailures {
		return fmt.Sprintf("%d failures in a row", p.cfg.ConsecutiveFailures)
	}
	limit := p.cfg.WindowFailures * float64(p.cfg.Window)
	if float64(e.failures()) <= limit {
		return ""
	}
	otherOutcomes := p.total.outcomes - e.contribution.outcomes
	otherFailures := p.total.failures - e.contribution.failures
	if float64(otherFailures) > p.cfg.WindowFailures*float64(otherOutcomes) {
		return ""
	}
	return fmt.Sprintf("more than %.0f failures in at most %d outcomes", limit, p.cfg.Window)
}

// eject takes e out of use, or marks it as failing when the limit of ejected
// endpoints is reached.
func (p *Pool) eject(now time.Time, e *endpoint, reason string) {
	e.reason = reason
	if p.total.ejected >= p.cfg.maxEjected(p.total.eligibleEndpoints) {
		e.failing = true
		return
	}
	if e.ejections > 0 && now.Sub(e.ejectedUntil) > p.cfg.EjectionMax {
		e.ejections = 0
	}
	e.ejectedUntil = now.Add(doubled(p.cfg.EjectionMin, e.ejections, p.cfg.EjectionMax))
	e.ejections++
	e.failing = false
	e.phase = ejected
	p.update(e)
}

// endEjection ends the ejection of e and starts its probation.
func (p *Pool) endEjection(e *endpoint) {
	e.clearHistory()
	e.phase = onProbation
}

// ejectFailing ejects failing endpoints until the limit of ejected endpoints is
// reached.
func (p *Pool) ejectFailing(now time.Time) {
	for _, e := range p.ordered {
		if p.total.ejected >= p.cfg.maxEjected(p.total.eligibleEndpoints) {
			return
		}
		if e.failing && e.eligible() {
			p.eject(now, e, e.reason)
		}
	}
}

// limitEjected ends ejections, the earliest to end first, while more endpoints
// are ejected than allowed. The limit falls when endpoints leave.
func (p *Pool) limitEjected() {
	for p.total.ejected > p.cfg.maxEjected(p.total.eligibleEndpoints) {
		var first *endpoint
		for _, e := range p.ordered {
			if e.contribution.ejected > 0 && (first == nil || e.ejectedUntil.Before(first.ejectedUntil)) {
				first = e
			}
		}
		p.endEjection(first)
		p.update(first)
	}
}

// State is the state of an endpoint as shown to operators.
type State string

// The states of an endpoint. If several apply, the first in this list is
// reported.
const (
	// StateLeaving: the endpoint is draining, leaving or no longer owned.
	StateLeaving State = "leaving"
	// StateEjected: the endpoint gets no tasks until its ejection ends.
	StateEjected State = "ejected"
	// StateFailing: the endpoint should be ejected, but the limit of ejected
	// endpoints is reached.
	StateFailing State = "failing"
	// StateBackingOff: the endpoint refused a task or could not be reached, and
	// gets no tasks until the back-off ends.
	StateBackingOff State = "backing-off"
	// StateProbation: the endpoint gets one task at a time after an ejection.
	StateProbation State = "probation"
	// StateStraggler: the endpoint is much slower than the others, and is used
	// only when no faster one has a free slot.
	StateStraggler State = "straggler"
	// StateHealthy: none of the above.
	StateHealthy State = "healthy"
)

// Health describes the state of one endpoint process for operators.
type Health struct {
	ID          ident.EndpointID
	Incarnation ident.Incarnation
	State       State
	// Reason explains the state. It may be empty.
	Reason string
	// Until is the end of the ejection or back-off that State names, and zero
	// in other states.
	Until time.Time
	// Speed is the learned speed relative to the service's median, which is
	// about 1.
	Speed float64
	// Slots is the total number of slots, Running the number of tasks of this
	// pool in them, and External the number of slots assumed to be in use by
	// other owners.
	Slots, Running, External int
}

// Health returns the state of each owned endpoint, ordered by id, followed by
// the processes that were replaced or are no longer owned and still run tasks,
// in no particular order.
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
		Speed:       1 / e.runTimeFactor,
		Slots:       e.slots(),
		Running:     e.running,
		External:    e.external,
	}
	switch {
	case e.retired:
		h.State, h.Reason = StateLeaving, "no longer owned"
	case e.instance.Leaving:
		h.State, h.Reason = StateLeaving, "leaving according to the platform's list"
	case e.draining:
		h.State, h.Reason = StateLeaving, "draining as reported by the endpoint"
	case e.phase == ejected:
		h.State, h.Reason, h.Until = StateEjected, e.reason, e.ejectedUntil
	case e.failing:
		h.State, h.Reason = StateFailing, e.reason
	case !e.backOffUntil.IsZero():
		h.State, h.Until = StateBackingOff, e.backOffUntil
	case e.phase == onProbation:
		h.State, h.Reason = StateProbation, e.reason
	case e.straggler():
		h.State = StateStraggler
	}
	return h
}

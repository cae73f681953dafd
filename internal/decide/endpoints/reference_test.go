package endpoints_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/endpoints"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

// TestMain sets the seed of the property-based tests to 1. The cases have many
// steps, because an ejection, its end and the probation after it take dozens of
// outcomes.
func TestMain(m *testing.M) {
	rapidseed.Run(m, map[string]string{
		"rapid.seed": "1", "rapid.steps": "600", "rapid.checks": "200", "rapid.shrinktime": "3s"})
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// referenceEndpoint is one endpoint process of the reference implementation,
// which computes everything by scanning lists.
type referenceEndpoint struct {
	instance        work.Instance
	owned, draining bool
	running         int
	backOffs        int
	backOffUntil    time.Time
	outcomes        []bool // true for a failure; since the last ejection or probation
	ejections       int
	ejectedUntil    time.Time
	ejected         bool
	failing         bool
	probationLeft   int // successes still required
}

// referencePool is a simple implementation of Pool without stragglers. It reads
// learned speeds and the load of other owners from the pool under test. Its
// numbers are those of endpoints.Defaults.
type referencePool struct {
	pool      *endpoints.Pool
	now       time.Time
	processes []*referenceEndpoint
}

func (r *referencePool) find(id string, incarnation ident.Incarnation) *referenceEndpoint {
	for _, e := range r.processes {
		if e.instance.ID == id && e.instance.Incarnation == incarnation {
			return e
		}
	}
	return nil
}

func (e *referenceEndpoint) eligible() bool { return e.owned && !e.draining && !e.instance.Leaving }

// ejectedAndAllowed returns the number of ejected endpoints and the maximum
// allowed.
func (r *referencePool) ejectedAndAllowed() (ejected, allowed int) {
	eligibleCount := 0
	for _, e := range r.processes {
		if e.eligible() {
			eligibleCount++
			if e.ejected {
				ejected++
			}
		}
	}
	if eligibleCount >= 2 {
		allowed = max(1, eligibleCount*3/10)
	}
	return ejected, allowed
}

func (r *referencePool) eject(e *referenceEndpoint) {
	if ejected, allowed := r.ejectedAndAllowed(); ejected >= allowed {
		e.failing = true
		return
	}
	if r.now.Sub(e.ejectedUntil) > time.Minute {
		e.ejections = 0
	}
	e.ejectedUntil = r.now.Add(min(5*time.Second<<e.ejections, time.Minute))
	e.ejections++
	e.ejected, e.failing = true, false
}

func (r *referencePool) endEjection(e *referenceEndpoint) {
	e.ejected, e.failing, e.outcomes, e.probationLeft = false, false, nil, 3
}

// applyDue ends due back-offs and ejections, and then further ejections while
// there are more than the limit. After the end of a due ejection, it ejects
// failing endpoints in the order of their ids.
func (r *referencePool) applyDue() {
	byEjectionEnd := slices.Clone(r.processes)
	slices.SortFunc(byEjectionEnd, func(a, b *referenceEndpoint) int {
		return cmp.Or(a.ejectedUntil.Compare(b.ejectedUntil), strings.Compare(a.instance.ID, b.instance.ID))
	})
	for _, e := range byEjectionEnd {
		if !r.now.Before(e.backOffUntil) {
			e.backOffUntil = time.Time{}
		}
		if e.eligible() && e.ejected && !r.now.Before(e.ejectedUntil) {
			r.endEjection(e)
			r.ejectFailing()
		}
	}
	for _, e := range byEjectionEnd {
		if ejected, allowed := r.ejectedAndAllowed(); ejected > allowed && e.eligible() && e.ejected {
			r.endEjection(e)
		}
	}
}

func (r *referencePool) ejectFailing() {
	sorted := slices.Clone(r.processes)
	slices.SortFunc(sorted, func(a, b *referenceEndpoint) int { return strings.Compare(a.instance.ID, b.instance.ID) })
	for _, e := range sorted {
		if ejected, allowed := r.ejectedAndAllowed(); e.eligible() && e.failing && ejected < allowed {
			r.eject(e)
		}
	}
}

func (e *referenceEndpoint) failures() (n int) {
	for _, failed := range e.outcomes {
		if failed {
			n++
		}
	}
	return n
}

func (r *referencePool) recordOutcome(e *referenceEndpoint, failed bool) {
	if e.ejected {
		return
	}
	e.outcomes = append(e.outcomes, failed)
	e.outcomes = e.outcomes[max(0, len(e.outcomes)-20):]
	if e.probationLeft > 0 {
		if failed {
			r.eject(e)
			return
		}
		e.failing = false
		if e.probationLeft--; e.probationLeft == 0 {
			e.outcomes = nil
		}
		return
	}
	otherOutcomes, otherFailures := 0, 0
	for _, o := range r.processes {
		if o != e && o.eligible() {
			otherOutcomes += len(o.outcomes)
			otherFailures += o.failures()
		}
	}
	n := len(e.outcomes)
	bad := n >= 5 && !slices.Contains(e.outcomes[n-5:], false) ||
		e.failures() > 10 && 2*otherFailures <= otherOutcomes
	if !bad {
		e.failing = false
	} else if failed {
		r.eject(e)
	}
}

// choices returns the number of free slots that Pick may use and the ids of the
// fastest endpoints with such a slot. Failing endpoints are included only if no
// other endpoint has slots.
func (r *referencePool) choices() (free int, ids []string) {
	speeds, external := map[string]float64{}, map[string]int{}
	for _, h := range r.pool.Health() {
		if e := r.find(string(h.ID), h.Incarnation); e != nil && e.owned {
			speeds[e.instance.ID], external[e.instance.ID] = h.Speed, h.External
		}
	}
	hasPreferred := slices.ContainsFunc(r.processes, func(e *referenceEndpoint) bool {
		return e.eligible() && !e.ejected && !e.failing && e.instance.Slots > 0
	})
	best := -1.0
	for _, e := range r.processes {
		slots := e.instance.Slots
		if e.probationLeft > 0 {
			slots = min(slots, 1)
		}
		n := slots - e.running - external[e.instance.ID]
		if !e.eligible() || e.ejected || !e.backOffUntil.IsZero() || n <= 0 || e.failing && hasPreferred {
			continue
		}
		free += n
		if s := speeds[e.instance.ID]; s > best {
			best, ids = s, nil
		}
		if speeds[e.instance.ID] == best {
			ids = append(ids, e.instance.ID)
		}
	}
	return free, ids
}

func (r *referencePool) setOwned(instances []work.Instance) {
	for _, e := range r.processes {
		e.owned = e.owned && slices.ContainsFunc(instances, func(instance work.Instance) bool {
			return instance.ID == e.instance.ID && instance.Incarnation <= e.instance.Incarnation
		})
	}
	for _, instance := range instances {
		if slices.ContainsFunc(r.processes, func(e *referenceEndpoint) bool {
			return e.owned && e.instance.ID == instance.ID && e.instance.Incarnation > instance.Incarnation
		}) {
			continue
		}
		e := r.find(instance.ID, instance.Incarnation)
		if e == nil || !e.owned && e.running == 0 {
			r.processes = slices.DeleteFunc(r.processes, func(o *referenceEndpoint) bool { return o == e })
			e = &referenceEndpoint{}
			r.processes = append(r.processes, e)
		}
		e.instance, e.owned = instance, true
	}
	r.applyDue()
	r.ejectFailing()
}

// runningAttempt is a task in flight, identified only by the endpoint process
// that runs it.
type runningAttempt struct {
	id          string
	incarnation ident.Incarnation
}

// TestPoolMatchesReference guards against slots that are lost or used twice,
// picks of endpoints that are leaving, ejected or full, and ejections above the
// limit. It runs random calls on a Pool and on a simple reference
// implementation, and compares their states after each.
func TestPoolMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := endpoints.Defaults()
		cfg.StragglerSpeed = 1e-9
		r := &referencePool{pool: endpoints.NewPool(cfg, 100*time.Millisecond), now: epoch}
		var running []runningAttempt
		count := rapid.IntRange(1, 12).Draw(t, "endpoints")
		owned := func(t *rapid.T) {
			var instances []work.Instance
			for i := range count {
				if rapid.IntRange(0, 9).Draw(t, "there") == 0 {
					continue
				}
				instances = append(instances, work.Instance{
					ID:          fmt.Sprintf("worker-%02d", i),
					Incarnation: ident.Incarnation(1 + rapid.IntRange(0, 12).Draw(t, "incarnation")/12),
					Leaving:     rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
					Slots:       2,
				})
			}
			r.pool.SetOwned(r.now, instances)
			r.setOwned(instances)
		}
		pick := func(t *rapid.T) {
			free, want := r.choices()
			c, ok := r.pool.Pick(r.now, 0)
			if ok != (len(want) > 0) || ok && !slices.Contains(want, c.Endpoint.ID) {
				t.Fatalf("Pick = %q, %v; want one of %q, free %d", c.Endpoint.ID, ok, want, free)
			}
			if ok {
				r.find(c.Endpoint.ID, c.Endpoint.Incarnation).running++
				running = append(running, runningAttempt{c.Endpoint.ID, c.Endpoint.Incarnation})
			}
		}
		finish := func(t *rapid.T) {
			if len(running) == 0 {
				return
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "task")
			a := running[i]
			running = slices.Delete(running, i, i+1)
			// The first endpoints fail most of their tasks.
			kind := endpoints.OutcomeKind(rapid.IntRange(0, 6).Draw(t, "kind"))
			if rapid.IntRange(0, 9).Draw(t, "usual outcome") < 7 {
				kind = endpoints.Succeeded
				if a.id < "worker-04" {
					kind = endpoints.Failed
				}
			}
			took := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			o := endpoints.Outcome{Kind: kind, Took: took}
			if !r.pool.Finish(r.now, ident.EndpointID(a.id), a.incarnation, o) {
				t.Fatalf("Finish = false for running task %v", a)
			}
			r.finish(a, kind)
		}
		owned(t)
		t.Repeat(map[string]func(*rapid.T){
			"owned": owned, "pick": pick, "pick 2": pick, "pick 3": pick,
			"finish": finish, "finish 2": finish, "finish 3": finish,
			"wait": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				r.pool.NextChange(r.now)
				r.applyDue()
			},
			"": func(t *rapid.T) { r.check(t) },
		})
	})
}

// finish applies an outcome to the reference implementation.
func (r *referencePool) finish(a runningAttempt, kind endpoints.OutcomeKind) {
	e := r.find(a.id, a.incarnation)
	e.running--
	if !e.owned {
		return
	}
	switch kind {
	case endpoints.Succeeded:
		e.backOffs = 0
		r.recordOutcome(e, false)
	case endpoints.Failed, endpoints.Unknown, endpoints.Unreachable:
		r.recordOutcome(e, true)
	case endpoints.Draining:
		e.draining = true
		r.applyDue()
	}
	if (kind == endpoints.Busy || kind == endpoints.Unreachable) && e.backOffUntil.IsZero() {
		e.backOffUntil = r.now.Add(min(50*time.Millisecond<<min(e.backOffs, 5), time.Second))
		e.backOffs++
	}
}

// check fails the test if the counts or states of the pool and the reference
// differ.
func (r *referencePool) check(t *rapid.T) {
	if free, _ := r.choices(); r.pool.Free(r.now) != free {
		t.Fatalf("Free = %d, want %d", r.pool.Free(r.now), free)
	}
	if ejected, allowed := r.ejectedAndAllowed(); ejected > allowed {
		t.Fatalf("%d ejected, %d allowed", ejected, allowed)
	}
	for _, h := range r.pool.Health() {
		e := r.find(string(h.ID), h.Incarnation)
		if h.Running != e.running || h.Running > h.Slots {
			t.Fatalf("%s runs %d of %d, want %d", h.ID, h.Running, h.Slots, e.running)
		}
		if (h.State == endpoints.StateLeaving) == e.eligible() ||
			(h.State == endpoints.StateEjected) != (e.eligible() && e.ejected) {
			t.Fatalf("%s is %s, want %+v", h.ID, h.State, *e)
		}
	}
}

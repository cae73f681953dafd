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

// TestMain fixes the seed of the generated tests. The cases are long, because a
// full cycle of ejection takes dozens of outcomes.
func TestMain(m *testing.M) {
	rapidseed.Run(m, map[string]string{
		"rapid.seed": "1", "rapid.steps": "600", "rapid.checks": "200", "rapid.shrinktime": "3s"})
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// plain is one endpoint of the reference version, which keeps whole lists and
// scans them.
type plain struct {
	row             work.Instance
	owned, draining bool
	running         int
	refusals        int
	blocked         time.Time
	outcomes        []bool // true for a failure, since the last ejection
	ejections       int
	until           time.Time
	ejected         bool
	failing         bool
	probation       int // successes left
}

// reference is the naive version of Pool without stragglers. Learned speeds
// and outside load are read from the pool under test.
type reference struct {
	pool *endpoints.Pool
	now  time.Time
	all  []*plain
}

func (r *reference) find(id string, incarnation ident.Incarnation) *plain {
	for _, e := range r.all {
		if e.row.ID == id && e.row.Incarnation == incarnation {
			return e
		}
	}
	return nil
}

func (e *plain) member() bool { return e.owned && !e.draining && !e.row.Leaving }

func (r *reference) limits() (ejected, allowed int) {
	members := 0
	for _, e := range r.all {
		if e.member() {
			members++
			if e.ejected {
				ejected++
			}
		}
	}
	if members >= 2 {
		allowed = max(1, members*3/10)
	}
	return ejected, allowed
}

func (r *reference) eject(e *plain) {
	if ejected, allowed := r.limits(); ejected >= allowed {
		e.failing = true
		return
	}
	if r.now.Sub(e.until) > time.Minute {
		e.ejections = 0
	}
	e.until = r.now.Add(min(5*time.Second<<e.ejections, time.Minute))
	e.ejections++
	e.ejected, e.failing = true, false
}

func (r *reference) release(e *plain) {
	e.ejected, e.failing, e.outcomes, e.probation = false, false, nil, 3
}

// settle releases ejections that ended or are too many, and ejects in the
// order of ids what waits for room.
func (r *reference) settle() {
	due := slices.Clone(r.all)
	slices.SortFunc(due, func(a, b *plain) int {
		return cmp.Or(a.until.Compare(b.until), strings.Compare(a.row.ID, b.row.ID))
	})
	for _, e := range due {
		if !r.now.Before(e.blocked) {
			e.blocked = time.Time{}
		}
		if e.member() && e.ejected && !r.now.Before(e.until) {
			r.release(e)
			r.ejectDue()
		}
	}
	for _, e := range due {
		if ejected, allowed := r.limits(); ejected > allowed && e.member() && e.ejected {
			r.release(e)
		}
	}
}

func (r *reference) ejectDue() {
	sorted := slices.Clone(r.all)
	slices.SortFunc(sorted, func(a, b *plain) int { return strings.Compare(a.row.ID, b.row.ID) })
	for _, e := range sorted {
		if ejected, allowed := r.limits(); e.member() && e.failing && ejected < allowed {
			r.eject(e)
		}
	}
}

func (e *plain) failures() (n int) {
	for _, failed := range e.outcomes {
		if failed {
			n++
		}
	}
	return n
}

func (r *reference) record(e *plain, failed bool) {
	if e.ejected {
		return
	}
	e.outcomes = append(e.outcomes, failed)
	e.outcomes = e.outcomes[max(0, len(e.outcomes)-20):]
	if e.probation > 0 {
		if failed {
			r.eject(e)
			return
		}
		e.failing = false
		if e.probation--; e.probation == 0 {
			e.outcomes = nil
		}
		return
	}
	peers, peerFailures := 0, 0
	for _, o := range r.all {
		if o != e && o.member() {
			peers += len(o.outcomes)
			peerFailures += o.failures()
		}
	}
	n := len(e.outcomes)
	bad := n >= 5 && !slices.Contains(e.outcomes[n-5:], false) ||
		e.failures() > 10 && 2*peerFailures <= peers
	if !bad {
		e.failing = false
	} else if failed {
		r.eject(e)
	}
}

// choices returns the endpoints that may be picked: the first choices, and the
// failing ones if there are no slots of others.
func (r *reference) choices() (free int, ids []string) {
	speeds, outside := map[string]float64{}, map[string]int{}
	for _, h := range r.pool.Health() {
		if e := r.find(string(h.ID), h.Incarnation); e != nil && e.owned {
			speeds[e.row.ID], outside[e.row.ID] = h.Speed, h.Outside
		}
	}
	others := slices.ContainsFunc(r.all, func(e *plain) bool {
		return e.member() && !e.ejected && !e.failing && e.row.Slots > 0
	})
	best := -1.0
	for _, e := range r.all {
		slots := e.row.Slots
		if e.probation > 0 {
			slots = min(slots, 1)
		}
		n := slots - e.running - outside[e.row.ID]
		if !e.member() || e.ejected || !e.blocked.IsZero() || n <= 0 || e.failing && others {
			continue
		}
		free += n
		if s := speeds[e.row.ID]; s > best {
			best, ids = s, nil
		}
		if speeds[e.row.ID] == best {
			ids = append(ids, e.row.ID)
		}
	}
	return free, ids
}

func (r *reference) setOwned(rows []work.Instance) {
	for _, e := range r.all {
		e.owned = e.owned && slices.ContainsFunc(rows, func(row work.Instance) bool {
			return row.ID == e.row.ID && row.Incarnation <= e.row.Incarnation
		})
	}
	for _, row := range rows {
		if slices.ContainsFunc(r.all, func(e *plain) bool {
			return e.owned && e.row.ID == row.ID && e.row.Incarnation > row.Incarnation
		}) {
			continue
		}
		e := r.find(row.ID, row.Incarnation)
		if e == nil || !e.owned && e.running == 0 {
			r.all = slices.DeleteFunc(r.all, func(o *plain) bool { return o == e })
			e = &plain{}
			r.all = append(r.all, e)
		}
		e.row, e.owned = row, true
	}
	r.settle()
	r.ejectDue()
}

type attempt struct {
	id          string
	incarnation ident.Incarnation
}

// TestPoolAgainstReference guards against lost or doubled slots, picks of
// endpoints that are leaving, ejected or full, and too many ejections.
func TestPoolAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := endpoints.Defaults()
		cfg.StragglerSpeed = 1e-9
		r := &reference{pool: endpoints.NewPool(cfg, 100*time.Millisecond), now: epoch}
		var running []attempt
		count := rapid.IntRange(1, 12).Draw(t, "endpoints")
		owned := func(t *rapid.T) {
			var rows []work.Instance
			for i := range count {
				if rapid.IntRange(0, 9).Draw(t, "there") == 0 {
					continue
				}
				rows = append(rows, work.Instance{
					ID:          fmt.Sprintf("worker-%02d", i),
					Incarnation: ident.Incarnation(1 + rapid.IntRange(0, 12).Draw(t, "incarnation")/12),
					Leaving:     rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
					Slots:       2,
				})
			}
			r.pool.SetOwned(r.now, rows)
			r.setOwned(rows)
		}
		pick := func(t *rapid.T) {
			free, want := r.choices()
			c, ok := r.pool.Pick(r.now, 0)
			if ok != (len(want) > 0) || ok && !slices.Contains(want, c.Endpoint.ID) {
				t.Fatalf("Pick = %q, %v; want one of %q, free %d", c.Endpoint.ID, ok, want, free)
			}
			if ok {
				r.find(c.Endpoint.ID, c.Endpoint.Incarnation).running++
				running = append(running, attempt{c.Endpoint.ID, c.Endpoint.Incarnation})
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
			if rapid.IntRange(0, 9).Draw(t, "as usual") < 7 {
				kind = endpoints.Succeeded
				if a.id < "worker-04" {
					kind = endpoints.Failed
				}
			}
			took := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			o := endpoints.Outcome{Kind: kind, Took: took}
			if !r.pool.Finish(r.now, ident.EndpointID(a.id), a.incarnation, o) {
				t.Fatalf("%v was not counted", a)
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
				r.settle()
			},
			"": func(t *rapid.T) { r.check(t) },
		})
	})
}

// finish applies an outcome to the reference.
func (r *reference) finish(a attempt, kind endpoints.OutcomeKind) {
	e := r.find(a.id, a.incarnation)
	e.running--
	if !e.owned {
		return
	}
	switch kind {
	case endpoints.Succeeded:
		e.refusals = 0
		r.record(e, false)
	case endpoints.Failed, endpoints.Unknown, endpoints.Unreachable:
		r.record(e, true)
	case endpoints.Draining:
		e.draining = true
		r.settle()
	}
	if (kind == endpoints.Busy || kind == endpoints.Unreachable) && e.blocked.IsZero() {
		e.blocked = r.now.Add(min(50*time.Millisecond<<min(e.refusals, 5), time.Second))
		e.refusals++
	}
}

// check compares counts and states.
func (r *reference) check(t *rapid.T) {
	if free, _ := r.choices(); r.pool.Free(r.now) != free {
		t.Fatalf("Free = %d, want %d", r.pool.Free(r.now), free)
	}
	if ejected, allowed := r.limits(); ejected > allowed {
		t.Fatalf("%d ejected, %d allowed", ejected, allowed)
	}
	for _, h := range r.pool.Health() {
		e := r.find(string(h.ID), h.Incarnation)
		if h.Running != e.running || h.Running > h.Slots {
			t.Fatalf("%s runs %d of %d, want %d", h.ID, h.Running, h.Slots, e.running)
		}
		if (h.State == endpoints.StateLeaving) == e.member() ||
			(h.State == endpoints.StateEjected) != (e.member() && e.ejected) {
			t.Fatalf("%s is %s, want %+v", h.ID, h.State, *e)
		}
	}
}

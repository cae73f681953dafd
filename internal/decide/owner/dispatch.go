package owner

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// dispatch starts waiting tasks on any endpoints with room.
func (p *Pool) dispatch(now time.Time) {
	if p.mayStart(now) {
		p.startWaiting(now, p.usable(now), len(p.waiting))
	}
}

// dispatchOn starts waiting tasks on an endpoint that has changed. The others
// have no room for what waits, which was seen when they changed.
func (p *Pool) dispatchOn(now time.Time, e *endpoint) {
	if p.mayStart(now) && p.open(now, e) {
		p.startWaiting(now, []*endpoint{e}, scanLimit)
	}
}

// scanLimit bounds the waiting tasks that are tried on an endpoint that has
// changed. The next tick tries the rest.
const scanLimit = 500

// dispatchNew starts tasks that were just enqueued.
func (p *Pool) dispatchNew(now time.Time, batches []*batch) {
	if !p.mayStart(now) {
		return
	}
	usable := p.usable(now)
	if len(usable) == 0 {
		return
	}
	var tasks []*task
	for _, b := range batches {
		for _, index := range slices.Sorted(maps.Keys(b.tasks)) {
			if t := b.tasks[index]; t.queued {
				tasks = append(tasks, t)
			}
		}
	}
	slices.SortStableFunc(tasks, func(a, b *task) int { return a.batch.startBy().Compare(b.batch.startBy()) })
	p.startChosen(now, p.startRange(now, tasks, &usable))
}

// mayStart reports whether tasks wait and may start.
func (p *Pool) mayStart(now time.Time) bool {
	return p.active && len(p.waiting) > 0 && !now.Before(p.restUntil)
}

// startWaiting starts waiting tasks on endpoints. Tasks that can still be in
// time come first, those that must start soonest before the others; tasks that
// are late already follow. At most limit tasks of either kind are tried.
func (p *Pool) startWaiting(now time.Time, usable []*endpoint, limit int) {
	if len(usable) == 0 {
		return
	}
	first, _ := slices.BinarySearchFunc(p.waiting, now, func(t *task, now time.Time) int {
		if t.batch.startBy().Before(now) {
			return -1
		}
		return 1
	})
	chosen := p.startRange(now, p.waiting[first:min(first+limit, len(p.waiting))], &usable)
	chosen = append(chosen, p.startRange(now, p.waiting[:min(first, limit)], &usable)...)
	p.startChosen(now, chosen)
}

// startChosen starts tasks whose room is taken.
func (p *Pool) startChosen(now time.Time, chosen []*task) {
	if len(chosen) == 0 {
		return
	}
	if len(chosen) > removeEach {
		p.waiting = slices.DeleteFunc(p.waiting, func(t *task) bool { return !t.queued })
	}
	for _, t := range chosen {
		if len(chosen) <= removeEach {
			p.removeWaiting(t)
		}
		p.start(now, t)
	}
}

// removeEach is the number of started tasks up to which they leave the queue one
// by one, which is faster than a pass over a long queue.
const removeEach = 16

// open reports whether the endpoint may start tasks and has processors free.
func (p *Pool) open(now time.Time, e *endpoint) bool {
	return e.free().CPU > 0 && !e.onTrial() && e.usable(now, p.cfg.MissingWait) && p.mine(e.Endpoint)
}

// usable returns the endpoints that may start tasks and have processors free.
func (p *Pool) usable(now time.Time) []*endpoint {
	var list []*endpoint
	for _, e := range p.order {
		if p.open(now, e) {
			list = append(list, e)
		}
	}
	return list
}

// mostFree returns the most that is free of each resource on any endpoint.
func mostFree(usable []*endpoint) job.Room {
	var m job.Room
	for _, e := range usable {
		free := e.free()
		m.CPU, m.Memory, m.GPU = max(m.CPU, free.CPU), max(m.Memory, free.Memory), max(m.GPU, free.GPU)
	}
	return m
}

// startRange chooses endpoints for tasks in order and occupies their room.
func (p *Pool) startRange(now time.Time, tasks []*task, usable *[]*endpoint) []*task {
	var chosen []*task
	seen, free := p.seenSince(), mostFree(*usable)
	p.round++
	for _, t := range tasks {
		if len(*usable) == 0 {
			break
		}
		room, kind := t.batch.needs.Room, t.batch.kind
		if !room.Fits(free) || kind.failed(p.round, room) || !p.certain(now, seen, t) {
			continue
		}
		e := p.choose(t, *usable)
		if e == nil {
			kind.fail(p.round, room)
			continue
		}
		if len(p.present[t.key]) > 0 {
			continue
		}
		p.occupy(now, t, e)
		chosen = append(chosen, t)
		if e.free().CPU <= 0 || e.onTrial() {
			*usable = slices.DeleteFunc(*usable, func(o *endpoint) bool { return o == e })
		}
		free = mostFree(*usable)
	}
	return chosen
}

// choose returns the endpoint where the task ends first; of like ones, that
// with the least room left over.
func (p *Pool) choose(t *task, usable []*endpoint) *endpoint {
	b := t.batch
	var best *endpoint
	var bestRatio, bestLeft float64
	for _, e := range usable {
		if !p.allowed(b, e) {
			continue
		}
		ratio := e.speed.over(p.likeSpeed(e))
		if p.far(b, e) {
			ratio *= p.cfg.FarFactor
		}
		left := float64(e.free().CPU - b.needs.Room.CPU)
		if best == nil || ratio < bestRatio*(1-likeRatio) || (ratio < bestRatio*(1+likeRatio) && left < bestLeft) {
			best, bestRatio, bestLeft = e, ratio, left
		}
	}
	return best
}

// likeRatio is the difference in speed, as a fraction, below which the room
// decides.
const likeRatio = 0.08

// allowed reports whether the endpoint may run another task of the batch.
func (p *Pool) allowed(b *batch, e *endpoint) bool {
	n := &b.needs
	if e.Service != b.service || !n.Room.Fits(e.free()) {
		return false
	}
	if e.onTrial() {
		return false
	}
	if n.RequiredLabel != "" && !slices.Contains(e.Labels, n.RequiredLabel) {
		return false
	}
	if n.SameRack && b.rack != "" && e.Rack != b.rack {
		return false
	}
	return n.MaxPerEndpoint == 0 || e.count(b) < n.MaxPerEndpoint
}

// count returns how many runs of the batch's step are on the endpoint.
func (e *endpoint) count(b *batch) int {
	n := 0
	for _, r := range e.runs {
		if r.id.key.Job == b.job && r.id.key.Step == b.step {
			n++
		}
	}
	return n
}

// far reports whether the endpoint is away from the data of the batch.
func (p *Pool) far(b *batch, e *endpoint) bool {
	return b.needs.Affinity != "" && !slices.Contains(e.Labels, b.needs.Affinity)
}

// occupy takes room for a run of the task.
func (p *Pool) occupy(now time.Time, t *task, e *endpoint) {
	r := &run{
		id: runID{key: t.key, run: t.nextRun}, endpoint: e, task: t, room: t.batch.needs.Room,
		phase: starting, claimed: true, began: now,
	}
	e.runs = append(e.runs, r)
	e.used = e.used.Plus(r.room)
	p.present[t.key] = append(p.present[t.key], r)
	t.run, t.queued = r, false
	t.waited = now.Sub(t.batch.placed)
	if t.batch.needs.SameRack && t.batch.rack == "" {
		t.batch.rack = e.Rack
	}
}

// start sends the start of a run whose room is taken.
func (p *Pool) start(now time.Time, t *task) {
	r := t.run
	e := r.endpoint
	s := Start{Call: p.call(e), Key: t.key, Run: r.id.run, Payload: t.batch.payload, Until: e.leaseEnd(now, p.cfg.LeaseMax)}
	p.calls[s.Number] = pending{endpoint: e, run: r, fence: s.Fence, sent: now}
	p.stats.Starts++
	p.out = append(p.out, s)
}

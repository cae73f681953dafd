package owner

import (
	"cmp"
	"iter"
	"slices"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// dispatch starts waiting tasks on all endpoints that may start tasks.
func (p *Pool) dispatch(now time.Time) {
	p.heldBack = false
	if p.mayStart(now) {
		p.startWaiting(now, p.startable(now))
	}
}

// dispatchOn starts waiting tasks on an endpoint whose state has changed. The
// other endpoints were tried when they last changed, and the next tick tries
// them again.
func (p *Pool) dispatchOn(now time.Time, e *endpoint) {
	if p.mayStart(now) && p.canStart(now, e) {
		p.fill(now, e)
	}
}

// resumeHeldBack starts tasks that the window has held back, once a part of it
// is free again.
func (p *Pool) resumeHeldBack(now time.Time) {
	if p.heldBack && p.window.Resumable(p.startsInFlight) {
		p.dispatch(now)
	}
}

// lateWindow is the size of the window, in starts, below which an owner that holds
// tasks back is late. It is a quarter of the initial size.
const lateWindow = 64

// Late reports whether the pool holds tasks back because its calls are answered
// late.
func (p *Pool) Late() bool { return p.active && p.heldBack && p.window.Free(0) < lateWindow }

// dispatchNew starts tasks that were just enqueued.
func (p *Pool) dispatchNew(now time.Time, batches []*batch) {
	if !p.mayStart(now) {
		return
	}
	startable := p.startable(now)
	if len(startable) == 0 {
		return
	}
	var tasks []*task
	for _, b := range batches {
		tasks = append(tasks, b.queued...)
	}
	slices.SortStableFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.batch.priority, b.batch.priority), a.batch.startBy().Compare(b.batch.startBy()))
	})
	p.startReserved(now, p.reserveRoom(now, slices.Values(tasks), &startable))
}

// mayStart reports whether there are waiting tasks that the pool may start. It
// also records that the window holds them back.
func (p *Pool) mayStart(now time.Time) bool {
	if !p.active || p.waiting.len() == 0 || now.Before(p.pausedUntil) {
		return false
	}
	if p.window.Free(p.startsInFlight) == 0 {
		p.heldBack = true
		return false
	}
	p.updateTakeover()
	return true
}

// startWaiting starts waiting tasks on endpoints, in the order in which they are
// served.
func (p *Pool) startWaiting(now time.Time, startable []*endpoint) {
	if len(startable) == 0 {
		return
	}
	p.waiting.compact()
	var reserved []*task
	for _, turn := range p.waiting.turns(now) {
		reserved = append(reserved, p.reserveRoom(now, turn.tasks(), &startable)...)
	}
	p.startReserved(now, reserved)
}

// startReserved starts tasks whose room is reserved.
func (p *Pool) startReserved(now time.Time, reserved []*task) {
	for _, t := range reserved {
		p.sendStart(now, t)
	}
}

// canStart reports whether the endpoint may start tasks that are not suspects,
// and has free processors.
func (p *Pool) canStart(now time.Time, e *endpoint) bool {
	return e.free().CPU > 0 && e.suspect == nil && !e.probationBusy() && p.mayUse(now, e)
}

// mayUse reports whether the endpoint may start tasks as far as its state is
// concerned.
func (p *Pool) mayUse(now time.Time, e *endpoint) bool {
	return !e.polledAt.Before(p.resumedAt) && !p.evacuated[e.DataCentre] && e.usable(now, p.cfg.MissingGrace) && p.owns(e.Endpoint)
}

// startable returns the endpoints that may start tasks and have free
// processors.
func (p *Pool) startable(now time.Time) []*endpoint {
	var list []*endpoint
	for _, e := range p.sortedEndpoints {
		if p.canStart(now, e) {
			list = append(list, e)
		}
	}
	return list
}

// maxFree returns, for each resource, the largest free amount on any of the
// endpoints.
func maxFree(startable []*endpoint) job.Room {
	var m job.Room
	for _, e := range startable {
		free := e.free()
		m.CPU, m.Memory, m.GPU = max(m.CPU, free.CPU), max(m.Memory, free.Memory), max(m.GPU, free.GPU)
	}
	return m
}

// reserveRoom chooses endpoints for tasks in order, reserves the room there,
// and returns the tasks that have room. It removes endpoints that are full from
// startable.
func (p *Pool) reserveRoom(now time.Time, tasks iter.Seq[*task], startable *[]*endpoint) []*task {
	if len(*startable) == 0 {
		return nil
	}
	var reserved []*task
	// noRoomFor is the batch whose task just found no room.
	var noRoomFor *batch
	free, polledSince := maxFree(*startable), sync.OnceValue(p.allPolledSince)
	p.searchRound++
	for t := range tasks {
		if len(*startable) == 0 {
			break
		}
		if p.window.Free(p.startsInFlight) == 0 {
			p.heldBack = true
			break
		}
		if t.batch == noRoomFor || !t.queued || t.suspect {
			continue
		}
		room, taskClass := t.batch.needs.Room, t.batch.taskClass
		if !room.Fits(free) || taskClass.knownNoRoom(p.searchRound, room) {
			noRoomFor = t.batch
			continue
		}
		// Tasks whose deadline has passed wait for expireWaiting.
		if !now.Before(t.batch.deadline) || !p.safeToStart(now, polledSince, t) {
			continue
		}
		e := p.chooseEndpoint(now, t, *startable)
		if e == nil {
			// Later batches may start where this one must not yet.
			if now.Sub(p.acquiredAt) >= p.cfg.OwnerConflictDelay {
				taskClass.markNoRoom(p.searchRound, room)
			}
			noRoomFor = t.batch
			continue
		}
		if len(p.runsByTask[t.key]) > 0 {
			continue
		}
		p.reserveRun(now, t, e)
		reserved = append(reserved, t)
		if e.free().CPU <= 0 || e.probationBusy() {
			*startable = slices.DeleteFunc(*startable, func(o *endpoint) bool { return o == e })
		}
		free = maxFree(*startable)
	}
	return reserved
}

// chooseEndpoint returns the endpoint where the task is expected to end first,
// or nil. Among endpoints of similar speed, it prefers the one with the least
// room left over.
func (p *Pool) chooseEndpoint(now time.Time, t *task, startable []*endpoint) *endpoint {
	b := t.batch
	var best *endpoint
	var bestRatio, bestRoomLeft float64
	for _, e := range startable {
		if !p.allowed(now, b, e) {
			continue
		}
		ratio := e.slowdown.blendedRatio(p.slowdownOfGroup(e))
		if p.remote(b, e) {
			ratio *= p.cfg.RemoteFactor
		}
		roomLeft := float64(e.free().CPU - b.needs.Room.CPU)
		if best == nil || ratio < bestRatio*(1-slowdownTolerance) || (ratio < bestRatio*(1+slowdownTolerance) && roomLeft < bestRoomLeft) {
			best, bestRatio, bestRoomLeft = e, ratio, roomLeft
		}
	}
	return best
}

// slowdownTolerance is the difference in expected run time, as a fraction,
// below which the room left over decides.
const slowdownTolerance = 0.08

// allowed reports whether the endpoint may run another task of the batch.
func (p *Pool) allowed(now time.Time, b *batch, e *endpoint) bool {
	n := &b.needs
	if !n.Room.Fits(e.free()) || e.probationBusy() || !p.suits(b, e) || p.conflicts(now, b, e) {
		return false
	}
	return n.MaxPerEndpoint == 0 || e.countRuns(b) < n.MaxPerEndpoint
}

// suits reports whether tasks of the batch may run on the endpoint, whatever
// runs there.
func (p *Pool) suits(b *batch, e *endpoint) bool {
	n := &b.needs
	if e.Service != b.service {
		return false
	}
	if n.RequiredLabel != "" && !slices.Contains(e.Labels, n.RequiredLabel) {
		return false
	}
	return !n.SameRack || b.rack == "" || e.Rack == b.rack
}

// countRuns returns how many runs of the batch's step are on the endpoint.
func (e *endpoint) countRuns(b *batch) int {
	n := 0
	for _, r := range e.runs {
		if r.id.key.Job == b.job && r.id.key.Step == b.step {
			n++
		}
	}
	return n
}

// remote reports whether the endpoint is away from the data of the batch.
// Affinity names a rack, which is one of the labels of its endpoints.
func (p *Pool) remote(b *batch, e *endpoint) bool {
	return b.needs.Affinity != "" && !slices.Contains(e.Labels, b.needs.Affinity)
}

// reserveRun reserves room on the endpoint for a run of the task.
func (p *Pool) reserveRun(now time.Time, t *task, e *endpoint) {
	r := &run{
		id: runID{key: t.key, run: t.nextRun}, endpoint: e, task: t, room: t.batch.needs.Room,
		phase: starting, claimed: true, knownSince: now,
	}
	e.runs = append(e.runs, r)
	e.usedRoom = e.usedRoom.Add(r.room)
	p.runsByTask[t.key] = append(p.runsByTask[t.key], r)
	p.startsInFlight++
	t.run = r
	p.waiting.countStart(t)
	p.waiting.remove(t)
	p.waiting.noteStarted(t.batch)
	t.waited = now.Sub(t.batch.placedAt)
	if t.batch.needs.SameRack && t.batch.rack == "" {
		t.batch.rack = e.Rack
	}
}

// sendStart sends the start of a run whose room is reserved.
func (p *Pool) sendStart(now time.Time, t *task) {
	r := t.run
	e := r.endpoint
	r.firstToRun, t.mayHaveRun = !t.mayHaveRun, true
	p.reportStart(now, t)
	s := Start{Call: p.newCall(e), Key: t.key, Run: r.id.run, Payload: t.batch.payload, LeaseUntil: e.extendLease(now, p.cfg.LeaseMax)}
	p.inFlight[s.Number] = inFlightCall{endpoint: e, run: r, fence: s.Fence, sentAt: now}
	p.stats.Starts++
	p.actions = append(p.actions, s)
}

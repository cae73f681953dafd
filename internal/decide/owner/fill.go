package owner

import (
	"math"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/packing"
)

// maxCandidates is the number of batches among which the tasks for the free room
// of an endpoint are chosen.
const maxCandidates = 32

// maxSearched is the number of batches that a search for candidates visits, which
// bounds its cost in a flood. The next tick tries the rest.
const maxSearched = 500

// fill starts waiting tasks on an endpoint that has free room: those that leave
// the least of it unused, as far as more urgent ones can wait; see eligible and
// packing.Choose.
func (p *Pool) fill(now time.Time, e *endpoint) {
	p.waiting.compact()
	polledSince := sync.OnceValue(p.allPolledSince)
	var reserved []*task
	for p.canStart(now, e) {
		if p.window.Free(p.startsInFlight) == 0 {
			p.heldBack = true
			break
		}
		candidates := p.candidates(now, polledSince, e)
		i := packing.Choose(freeShare(e), sizesOf(candidates, e), p.eligible(now, e, candidates))
		if i < 0 {
			break
		}
		p.reserveRun(now, candidates[i].task, e)
		reserved = append(reserved, candidates[i].task)
	}
	p.startReserved(now, reserved)
}

// sizesOf returns the sizes of the candidates, followed by those of second tasks
// of their batches.
func sizesOf(candidates []candidate, e *endpoint) []float64 {
	sizes := make([]float64, len(candidates), 2*len(candidates))
	for i, c := range candidates {
		// All candidates fit, also those that take most of another resource.
		sizes[i] = min(shareOfRoom(c.task.batch.needs.Room, e.Room), freeShare(e))
	}
	for i, c := range candidates {
		if len(c.task.batch.queued) > 1 {
			sizes = append(sizes, sizes[i])
		}
	}
	return sizes
}

// shareOfRoom returns the part of the room that a task takes up, by the resource
// of which it takes most.
func shareOfRoom(needs, room job.Room) float64 {
	share := func(needs, of int64) float64 {
		if needs == 0 {
			return 0
		}
		return float64(needs) / float64(of)
	}
	return math.Max(share(needs.CPU, room.CPU), math.Max(share(needs.Memory, room.Memory), share(needs.GPU, room.GPU)))
}

// freeShare returns the part of the endpoint's processors that is free.
func freeShare(e *endpoint) float64 { return float64(e.free().CPU) / float64(e.Room.CPU) }

// candidate is a waiting task that may start on an endpoint now.
type candidate struct {
	task *task
	// turn numbers the turn of the task.
	turn int
}

// eligible reports which of the candidates may take the room. As long as all of
// them can wait, these are all. If some cannot, only those of them in the first
// turn that has any may, and what is served before them.
func (p *Pool) eligible(now time.Time, e *endpoint, candidates []candidate) []bool {
	eligible := make([]bool, len(candidates))
	pressedTurn := -1
	for i, c := range candidates {
		pressed := p.pressed(now, e, c.task.batch)
		if pressed && pressedTurn < 0 {
			pressedTurn = c.turn
		}
		eligible[i] = pressedTurn < 0 || (pressed && c.turn == pressedTurn)
	}
	return eligible
}

// maxYield is the part of the time that a batch can wait in which its tasks leave
// room to tasks that fit better. It is small, since the estimates from which that
// time follows are rough, and a job has several tasks that each may yield.
const maxYield = 1.0 / 8

// pressed reports whether a task of the batch can no longer leave the room on the
// endpoint to another one.
func (p *Pool) pressed(now time.Time, e *endpoint, b *batch) bool {
	latestStart := b.target.Add(-p.expectedTime(b, e))
	return float64(now.Sub(b.placedAt)) >= maxYield*float64(latestStart.Sub(b.placedAt))
}

// candidates returns a waiting task of each batch that may start on the endpoint
// now, in the order in which they are served.
func (p *Pool) candidates(now time.Time, polledSince func() time.Time, e *endpoint) []candidate {
	var list []candidate
	free, searched := e.free(), 0
	for i, turn := range p.waiting.turns(now) {
		for b := range turn.all() {
			if searched++; searched > maxSearched {
				return list
			}
			if !b.needs.Room.Fits(free) || !now.Before(b.deadline) || !p.allowed(now, b, e) {
				continue
			}
			if t := p.startableTask(now, polledSince, b); t != nil {
				list = append(list, candidate{task: t, turn: i})
			}
			if len(list) == maxCandidates {
				return list
			}
		}
	}
	return list
}

// startableTask returns the first task of the batch that may start now, or nil.
func (p *Pool) startableTask(now time.Time, polledSince func() time.Time, b *batch) *task {
	for _, t := range b.queued {
		if !t.suspect && len(p.runsByTask[t.key]) == 0 && p.safeToStart(now, polledSince, t) {
			return t
		}
	}
	return nil
}

package owner

import (
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// taskClass is a set of batches that may run on the same endpoints, apart from
// the room that they need.
type taskClass struct {
	// round is the Pool.searchRound in which a task last found no endpoint with
	// room, and room is what that task needed. Tasks that need at least as much
	// are not tried again in that search.
	round uint64
	room  job.Room
}

// knownNoRoom reports whether the search has already shown that no endpoint has
// the room.
func (c *taskClass) knownNoRoom(round uint64, room job.Room) bool {
	return c.round == round && c.room.Fits(room)
}

// markNoRoom records that no endpoint has the room.
func (c *taskClass) markNoRoom(round uint64, room job.Room) { c.round, c.room = round, room }

// taskClassID identifies a class by what its batches have in common.
type taskClassID struct {
	service ident.Service
	label   string
}

// taskClassFor returns the class of a batch. A batch whose tasks constrain
// which endpoints the others may use has a class of its own.
func (p *Pool) taskClassFor(service ident.Service, needs *job.Needs) *taskClass {
	if needs.SameRack || needs.MaxPerEndpoint > 0 {
		return &taskClass{}
	}
	id := taskClassID{service: service, label: needs.RequiredLabel}
	class := p.taskClasses[id]
	if class == nil {
		if len(p.taskClasses) >= maxTaskClasses {
			clear(p.taskClasses)
		}
		class = &taskClass{}
		p.taskClasses[id] = class
	}
	return class
}

// maxTaskClasses bounds the classes that are kept, since callers choose the
// labels.
const maxTaskClasses = 1000

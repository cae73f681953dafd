package owner

import (
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// kind is the batches that the same endpoints may run, apart from their room.
type kind struct {
	// round is the search in which no endpoint was found for room. Whatever
	// takes no less finds none either.
	round uint64
	room  job.Room
}

// failed reports whether the search has shown that no endpoint has the room.
func (k *kind) failed(round uint64, room job.Room) bool {
	return k.round == round && k.room.Fits(room)
}

// fail takes note that no endpoint has the room.
func (k *kind) fail(round uint64, room job.Room) { k.round, k.room = round, room }

// kindID names what batches of a kind have in common.
type kindID struct {
	service ident.Service
	label   string
}

// kindFor returns the kind of a batch. One whose tasks depend on each other's
// places has its own.
func (p *Pool) kindFor(service ident.Service, needs *job.Needs) *kind {
	if needs.SameRack || needs.MaxPerEndpoint > 0 {
		return &kind{}
	}
	id := kindID{service: service, label: needs.RequiredLabel}
	k := p.kinds[id]
	if k == nil {
		if len(p.kinds) >= maxKinds {
			clear(p.kinds)
		}
		k = &kind{}
		p.kinds[id] = k
	}
	return k
}

// maxKinds bounds the kinds that are kept, since callers choose the labels.
const maxKinds = 1000

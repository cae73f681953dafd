package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// evacuations holds which data centres the operator wants emptied. Reads,
// watches and peers may overtake each other, so that of each data centre the
// state with the highest revision counts.
type evacuations struct {
	mu     sync.Mutex
	states map[ident.DataCentre]evacuationState
}

type evacuationState struct {
	revision StoreRevision
	ended    bool
}

// apply applies an update, and reports whether the data centres to empty have
// changed.
func (e *evacuations) apply(u OperatorUpdate) (changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.states == nil {
		e.states = map[ident.DataCentre]evacuationState{}
	}
	before := e.wanted()
	listed := map[ident.DataCentre]bool{}
	for _, request := range u.Evacuations {
		listed[request.DataCentre] = true
		if known, ok := e.states[request.DataCentre]; !ok || request.Revision > known.revision {
			e.states[request.DataCentre] = evacuationState{revision: request.Revision, ended: request.Ended}
		}
	}
	for dc, state := range e.states {
		if u.Whole && !listed[dc] && !state.ended && state.revision <= u.Revision {
			e.states[dc] = evacuationState{revision: u.Revision, ended: true}
		}
	}
	return !slices.Equal(before, e.wanted())
}

func (e *evacuations) wanted() []ident.DataCentre {
	var list []ident.DataCentre
	for dc, state := range e.states {
		if !state.ended {
			list = append(list, dc)
		}
	}
	slices.Sort(list)
	return list
}

// list returns the data centres to empty, sorted.
func (e *evacuations) list() []ident.DataCentre {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wanted()
}

// revision returns the highest revision of a known state.
func (e *evacuations) revision() (highest StoreRevision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, state := range e.states {
		highest = max(highest, state.revision)
	}
	return highest
}

// encode converts the states to the peer protocol, and decodeEvacuations back.
func (e *evacuations) encode() []*peerpb.EvacuationState {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*peerpb.EvacuationState
	for _, dc := range slices.Sorted(maps.Keys(e.states)) {
		list = append(list, &peerpb.EvacuationState{DataCentre: string(dc), Revision: uint64(e.states[dc].revision), Ended: e.states[dc].ended})
	}
	return list
}

func decodeEvacuations(list []*peerpb.EvacuationState) (update OperatorUpdate) {
	for _, m := range list {
		update.Evacuations = append(update.Evacuations, Evacuation{
			DataCentre: ident.DataCentre(m.GetDataCentre()), Ended: m.GetEnded(), Revision: StoreRevision(m.GetRevision()),
		})
	}
	return update
}

// setEvacuated tells the core which data centres get no more starts.
func (p *Process) setEvacuated(now time.Time) {
	list := p.evacuations.list()
	p.log.WithField("data-centres", list).Info("evacuations have changed")
	p.applyActions(now, p.core.SetEvacuated(now, list))
}

// evacuationRequestInterval is how long a peer may take to send its
// evacuations before it, or another one, is asked again.
const evacuationRequestInterval = 75 * time.Millisecond

// fetchEvacuations asks a peer that knows a later state of an evacuation.
func (p *Process) fetchEvacuations(now time.Time, from ident.Process, revision StoreRevision) {
	if revision > p.evacuations.revision() && now.Sub(p.configSync.evacuationsAskedAt) >= evacuationRequestInterval {
		p.configSync.evacuationsAskedAt = now
		p.requestConfig(from)
	}
}

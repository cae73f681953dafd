package owner

import (
	"slices"
	"strings"
	"time"
)

// SetListIncomplete records that the list lacks, or until now lacked, endpoints
// that another owner may use. Polls of all known endpoints do not show what runs
// there.
func (p *Pool) SetListIncomplete(now time.Time) {
	if !p.knownSince.IsZero() {
		p.knownSince = now
	}
}

// MissingEndpoints returns the endpoints that may have runs although the list
// lacks them. An active pool leaves out those that it has not reached for
// Config.ForeignStartDelay: nobody has renewed their leases since, and instances
// that start one after the other would hand them on without end.
func (p *Pool) MissingEndpoints(now time.Time) []Endpoint {
	var missing []Endpoint
	for _, e := range p.sortedEndpoints {
		if !e.missingSince.IsZero() && p.mayHaveRuns(now, e) {
			missing = append(missing, e.Endpoint)
		}
	}
	return missing
}

// UnlistedEndpoints returns the known endpoints that the list lacks.
func (p *Pool) UnlistedEndpoints() []Endpoint {
	var unlisted []Endpoint
	for _, e := range p.sortedEndpoints {
		if !e.missingSince.IsZero() {
			unlisted = append(unlisted, e.Endpoint)
		}
	}
	return unlisted
}

// mayHaveRuns reports whether an endpoint has runs or may have some that the
// pool has not seen.
func (p *Pool) mayHaveRuns(now time.Time, e *endpoint) bool {
	reachedAt := e.polledAt
	if p.activatedAt.After(reachedAt) {
		reachedAt = p.activatedAt
	}
	return len(e.runs) > 0 || e.ownership == ownershipForeign || now.Sub(reachedAt) < p.cfg.ForeignStartDelay
}

// AddMissing adds those of the endpoints that the pool does not know. They are
// kept as if the list had lacked them from now on.
func (p *Pool) AddMissing(now time.Time, entries []Endpoint) {
	for _, entry := range entries {
		if p.endpoints[entry.ID] != nil {
			continue
		}
		e := p.addEndpoint(entry)
		e.missingSince = now
	}
	p.sortEndpoints()
}

// addEndpoint adds an endpoint. The caller sorts the endpoints afterwards.
func (p *Pool) addEndpoint(entry Endpoint) *endpoint {
	e := &endpoint{Endpoint: entry}
	e.reset()
	e.fence = p.fence
	p.endpoints[entry.ID] = e
	p.sortedEndpoints = append(p.sortedEndpoints, e)
	return e
}

func (p *Pool) sortEndpoints() {
	slices.SortFunc(p.sortedEndpoints, func(a, b *endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

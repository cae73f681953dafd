package instance

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/member"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
)

// Status describes the state of one entry instance for operators.
type Status struct {
	Instance    ident.InstanceID  `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	DataCentre  ident.DataCentre  `json:"data-centre"`
	Revision    ident.Revision    `json:"revision"`
	SHA256      string            `json:"sha256,omitempty"`
	Draining    bool              `json:"draining"`
	Replaced    bool              `json:"replaced"`
	Reader      bool              `json:"reader"`
	ListVersion uint64            `json:"list-version"`
	Open        int               `json:"open-submissions"`
	// Kept counts all submissions in the table, open or finished.
	Kept     int             `json:"kept-submissions"`
	Calls    int             `json:"calls"`
	Members  []MemberStatus  `json:"members"`
	Services []ServiceStatus `json:"services"`
	// Granter is true when this instance is the granter of its data centre.
	Granter bool               `json:"granter"`
	Limits  []quota.LimitUsage `json:"limits"`
}

// MemberStatus describes one entry instance as this instance sees it.
type MemberStatus struct {
	Instance    ident.InstanceID  `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	DataCentre  ident.DataCentre  `json:"data-centre"`
	State       string            `json:"state"`
	Draining    bool              `json:"draining"`
	Revision    ident.Revision    `json:"revision"`
}

// ServiceStatus describes one service at this instance.
type ServiceStatus struct {
	Service   ident.Service    `json:"service"`
	Queued    int              `json:"queued"`
	Slots     int              `json:"slots"`
	Free      int              `json:"free"`
	WaitMs    int64            `json:"wait-ms"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// EndpointStatus describes one endpoint that this instance owns.
type EndpointStatus struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	State    string           `json:"state"`
	Reason   string           `json:"reason,omitempty"`
	Speed    float64          `json:"speed"`
	Running  int              `json:"running"`
}

// Status returns the state of this instance.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		Instance:    c.cfg.Self.Instance,
		Incarnation: c.cfg.Self.Incarnation,
		DataCentre:  c.cfg.DataCentre,
		Draining:    c.draining,
		Replaced:    c.replaced,
		Reader:      c.readsStore,
		ListVersion: c.members.ListVersion(),
		Open:        c.table.Open(),
		Kept:        c.table.Len(),
		Calls:       len(c.calls),
		Granter:     c.limits.isGranter,
		Limits:      c.limits.limiter.Usage(now),
	}
	if snap := c.configHolder.Snapshot(); snap != nil {
		s.Revision, s.SHA256 = snap.Revision(), snap.SHA256()
	}
	for _, m := range c.members.Members() {
		s.Members = append(s.Members, MemberStatus{
			Instance:    m.Process.Instance,
			Incarnation: m.Process.Incarnation,
			DataCentre:  m.DataCentre,
			State:       m.State.String(),
			Draining:    m.Draining,
			Revision:    m.Revision,
		})
	}
	for _, sv := range c.services {
		s.Services = append(s.Services, sv.status(now))
	}
	slices.SortFunc(s.Services, func(a, b ServiceStatus) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return s
}

func (s *service) status(now time.Time) ServiceStatus {
	st := ServiceStatus{
		Service: s.name,
		Queued:  s.queue.Len(),
		Slots:   s.pool.UsableSlots(),
		Free:    s.pool.Free(now),
		WaitMs:  s.estimateWait(now, 0).Milliseconds(),
	}
	for _, h := range s.pool.Health() {
		st.Endpoints = append(st.Endpoints, EndpointStatus{
			Endpoint: h.ID,
			State:    string(h.State),
			Reason:   string(h.Reason),
			Speed:    h.Speed,
			Running:  h.Running,
		})
	}
	return st
}

// hasEnded reports whether a process has ended, as far as the membership and
// the platform's list show: it was replaced, or it is dead or unknown and the
// list does not show its instance as live with the same or an older
// incarnation.
func (c *Core) hasEnded(p ident.Process) bool {
	switch c.members.State(p) {
	case member.Replaced:
		return true
	case member.Dead, member.Unknown:
	default:
		return false
	}
	if c.members.ListVersion() == 0 {
		return false
	}
	for _, row := range c.members.List() {
		if row.Kind == work.KindEntry && row.ID == string(p.Instance) && !row.Leaving {
			return row.Incarnation > p.Incarnation
		}
	}
	return true
}

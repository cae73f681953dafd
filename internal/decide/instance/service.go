package instance

import (
	"cmp"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/decide/endpoints"
	"hornbeamlift.example/hornbeamlift/internal/decide/fairqueue"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// service is one service at this instance: the tasks that wait, the endpoints
// owned, and what peers last reported.
type service struct {
	name  ident.Service
	conf  config.Service
	limit int
	queue *fairqueue.Queue
	// placeable is true when some allowed data centre lists a live endpoint.
	placeable bool
	pool      *endpoints.Pool
	peers     map[ident.Process]*peerService
	// owned holds the endpoints of the pool.
	owned map[ident.EndpointID]work.Instance
	// told is the queue length that peers of the data centre last learned.
	told int
	// wanted counts a peer's waiting tasks that only lacking units keep away.
	wanted int
	// blocked counts the waiting tasks that lack units, and short names the
	// limits, as last looked up.
	blocked int
	short   []string
}

// peerService is one service at a peer, as it last reported, corrected by what
// was sent to it since.
type peerService struct {
	load work.Load
	near bool
	// blocked counts the queued tasks that wait for units of a limit.
	blocked int
	// short holds the limits of which the peer lacks units.
	short []string
	// stealing is when a steal was sent that has no answer yet.
	stealing time.Time
	// lacked is true when the last steal named limits that are lacking here.
	lacked bool
}

// applyConfig adjusts the services to a new configuration. A service that was
// removed keeps its queue until it is empty, but admits nothing new.
func (c *Core) applyConfig(now time.Time, snap *config.Snapshot) {
	for _, name := range snap.Services() {
		conf, _ := snap.Service(name)
		sv := c.services[name]
		if sv == nil {
			sv = &service{
				name:  name,
				queue: fairqueue.New(int(conf.MaxQueued)),
				pool:  endpoints.NewPool(c.cfg.Endpoints, conf.ExpectedRunTime),
				peers: map[ident.Process]*peerService{},
			}
			c.services[name] = sv
		}
		sv.conf, sv.limit = conf, int(conf.MaxQueued)
		sv.queue.SetLimit(int(conf.MaxQueued))
		sv.pool.SetExpected(conf.ExpectedRunTime)
		for _, team := range snap.Teams() {
			t, _ := snap.Team(team)
			sv.queue.SetWeight(team, int(t.Weight))
		}
	}
	c.own(now)
}

// own gives each pool the endpoints that this instance owns now.
func (c *Core) own(now time.Time) {
	snap := c.holder.InForce()
	if snap == nil {
		return
	}
	c.placements(snap)
	for _, sv := range c.services {
		var owned []work.Instance
		if snap.MayRun(sv.name, c.cfg.DataCentre) {
			owned = c.members.Owned(sv.name)
		}
		sv.pool.SetOwned(now, owned)
		c.askNew(sv, owned)
		c.dispatch(now, sv)
	}
}

// askNew asks the endpoints that this instance has just come to own for their
// state: another owner's tasks may still run there.
func (c *Core) askNew(sv *service, owned []work.Instance) {
	before := sv.owned
	sv.owned = make(map[ident.EndpointID]work.Instance, len(owned))
	for _, row := range owned {
		id := ident.EndpointID(row.ID)
		if in, ok := before[id]; !ok || in.Incarnation != row.Incarnation {
			c.do(AskStatus{Endpoint: row})
		}
		sv.owned[id] = row
	}
}

// askDraining asks the owned endpoints that said they drain, since one may go
// back to work without a new incarnation.
func (c *Core) askDraining(sv *service) {
	for _, h := range sv.pool.Health() {
		if row, ok := sv.owned[h.ID]; ok && h.State == endpoints.StateLeaving && !row.Leaving {
			c.do(AskStatus{Endpoint: row})
		}
	}
}

// placements notes for each service whether some allowed data centre lists a
// live endpoint. Admission reads the note, since the list may have 850 rows.
func (c *Core) placements(snap *config.Snapshot) {
	for _, sv := range c.services {
		sv.placeable = false
	}
	for _, row := range c.members.List() {
		sv := c.services[row.Service]
		if sv != nil && row.Kind == work.KindEndpoint && !row.Leaving && snap.MayRun(sv.name, row.DataCentre) {
			sv.placeable = true
		}
	}
}

// wait estimates the wait of a new task behind extra others. Peers of the data
// centre take waiting tasks as soon as they have free slots, so their queues
// and slots count as one with ours. Tasks that wait for units of a limit are
// left out, since slots do not wait for them.
func (s *service) wait(now time.Time, extra int) time.Duration {
	slots, queued, free := s.pool.Slots(), s.queue.Len()-s.blocked+extra, s.pool.Free(now)
	for _, p := range s.peers {
		if p.near {
			slots += p.load.Slots
			queued += max(0, p.load.Queued-p.blocked)
			free += p.load.Free
		}
	}
	if queued < free || slots == 0 {
		return 0
	}
	return s.pool.Estimate(0) * time.Duration(queued-free+1) / time.Duration(slots)
}

// load describes the service to peers. Its end is the time until a new task of
// unknown size would end, so that peers can compare their free slots with ours.
func (s *service) load(now time.Time) *peerpb.Load {
	until, ok := s.pool.Next(now)
	if !ok {
		until = s.wait(now, 0) + s.pool.Estimate(0)
	}
	return &peerpb.Load{
		Service:     string(s.name),
		FreeSlots:   uint32(max(0, s.pool.Free(now)-s.queue.Len()+s.blocked)),
		Queued:      uint32(s.queue.Len()),
		EndMs:       uint32(until.Milliseconds()),
		Slots:       uint32(s.pool.Slots()),
		Blocked:     uint32(s.blocked),
		ShortLimits: s.short,
	}
}

// reported returns the services in the order in which loads list them: the
// configured ones in the order of the configuration in force, then the removed
// ones by name. The order is stable because the mesh sends a load again when
// it differs from the last one.
func (c *Core) reported() (all []*service, configured int) {
	snap := c.holder.InForce()
	if snap == nil {
		return nil, 0
	}
	for _, name := range snap.Services() {
		all = append(all, c.services[name])
	}
	configured = len(all)
	if configured == len(c.services) {
		return all, configured
	}
	for name, sv := range c.services {
		if _, ok := snap.Service(name); !ok {
			all = append(all, sv)
		}
	}
	slices.SortFunc(all[configured:], func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return all, configured
}

// Loads describes all services to peers.
func (c *Core) Loads(now time.Time) []*peerpb.Load {
	all, _ := c.reported()
	loads := make([]*peerpb.Load, len(all))
	for i, sv := range all {
		loads[i] = sv.load(now)
	}
	return loads
}

// heartbeatLoads is Loads without the names of configured services, which take
// up more than half of a heartbeat. The receiver knows them by their places in
// the revision that the heartbeat names.
func (c *Core) heartbeatLoads(now time.Time) []*peerpb.Load {
	all, configured := c.reported()
	loads := make([]*peerpb.Load, len(all))
	for i, sv := range all {
		loads[i] = sv.load(now)
		if i < configured {
			loads[i].Service = ""
		}
	}
	return loads
}

// heartbeatNames returns the services of the loads without a name, or nothing
// when the sender has another revision: then its places are not known here.
func (c *Core) heartbeatNames(revision ident.Revision) []ident.Service {
	if snap := c.holder.InForce(); snap != nil && snap.Revision() == revision {
		return snap.Services()
	}
	return nil
}

// peerLoad takes a peer's report and acts on it: a peer with a queue may have
// tasks for our free slots, and a peer with free slots may take ours. A load
// without a name belongs to the service at its place in names.
func (c *Core) peerLoad(now time.Time, p ident.Process, loads []*peerpb.Load, names []ident.Service) {
	l := c.links[p]
	if l == nil {
		return
	}
	for i, in := range loads {
		name := ident.Service(in.Service)
		if name == "" && i < len(names) {
			name = names[i]
		}
		sv := c.services[name]
		if sv == nil {
			continue
		}
		ps := sv.peers[p]
		if ps == nil {
			ps = &peerService{near: l.dataCentre == c.cfg.DataCentre}
			sv.peers[p] = ps
		}
		ps.load = work.Load{
			Service: sv.name,
			Slots:   int(in.Slots),
			Free:    int(in.FreeSlots),
			Queued:  int(in.Queued),
			End:     time.Duration(in.EndMs) * time.Millisecond,
		}
		ps.blocked, ps.short = int(in.Blocked), in.ShortLimits
		c.dispatch(now, sv)
	}
}

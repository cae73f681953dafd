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

// service is one service at this instance: the waiting tasks, the owned
// endpoints, and what peers last reported.
type service struct {
	name      ident.Service
	conf      config.Service
	maxQueued int
	queue     *fairqueue.Queue
	// placeable is true when the platform's list has a live endpoint in a data
	// centre in which the service may run.
	placeable bool
	pool      *endpoints.Pool
	peers     map[ident.Process]*peerService
	// owned holds the endpoints of the pool.
	owned map[ident.EndpointID]work.Instance
	// lastQueued is the queue length when reportNewQueue last found that the
	// queue was empty and had not been before, or the reverse. Only whether it
	// is zero is used.
	lastQueued int
	// waitingAtStealTarget counts the waiting tasks of the peer that
	// stealTarget chose last, if exhausted limits keep them from running here.
	waitingAtStealTarget int
	// blocked counts the waiting tasks that an exhausted limit blocks, and
	// exhausted names these limits, as of the last updateBlocked.
	blocked   int
	exhausted []string
}

// peerService is one service at a peer as last reported, corrected for the
// tasks that were sent to the peer since.
type peerService struct {
	load           work.Load
	sameDataCentre bool
	// blocked counts the peer's waiting tasks that an exhausted limit blocks.
	blocked int
	// exhausted names the limits that are exhausted at the peer.
	exhausted []string
	// stealRequestedAt is when the unanswered steal request was sent to the
	// peer, or zero when there is none.
	stealRequestedAt time.Time
	// stealNamedLimits is true when the last steal request named lacking limits.
	// It is reset when a grant raises the units of a limit.
	stealNamedLimits bool
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
		sv.conf, sv.maxQueued = conf, int(conf.MaxQueued)
		sv.queue.SetLimit(int(conf.MaxQueued))
		sv.pool.SetExpected(conf.ExpectedRunTime)
		for _, team := range snap.Teams() {
			t, _ := snap.Team(team)
			sv.queue.SetWeight(team, int(t.Weight))
		}
	}
	c.updateOwned(now)
}

// updateOwned gives each pool the endpoints that this instance owns now.
func (c *Core) updateOwned(now time.Time) {
	snap := c.configHolder.Snapshot()
	if snap == nil {
		return
	}
	c.updatePlaceable(snap)
	for _, sv := range c.services {
		var owned []work.Instance
		if snap.MayRun(sv.name, c.cfg.DataCentre) {
			owned = c.members.Owned(sv.name)
		}
		sv.pool.SetOwned(now, owned)
		c.setOwned(sv, owned)
		c.dispatch(now, sv)
	}
}

// setOwned records the owned endpoints, and asks the newly owned ones for their
// status, since tasks of a previous owner may still run there.
func (c *Core) setOwned(sv *service, owned []work.Instance) {
	before := sv.owned
	sv.owned = make(map[ident.EndpointID]work.Instance, len(owned))
	for _, row := range owned {
		id := ident.EndpointID(row.ID)
		if in, ok := before[id]; !ok || in.Incarnation != row.Incarnation {
			c.emit(ReadStatus{Endpoint: row})
		}
		sv.owned[id] = row
	}
}

// readDrainingStatus asks the owned endpoints that reported to be draining for
// their status, since such an endpoint may resume work under the same
// incarnation. Their state in the pool is StateLeaving, which an endpoint also
// gets when the platform's list shows it as leaving; those are not asked.
func (c *Core) readDrainingStatus(sv *service) {
	for _, h := range sv.pool.Health() {
		if row, ok := sv.owned[h.ID]; ok && h.State == endpoints.StateLeaving && !row.Leaving {
			c.emit(ReadStatus{Endpoint: row})
		}
	}
}

// updatePlaceable updates placeable of each service. It is computed here
// because a scan of the list, of up to 850 rows, for each submission would be
// slow.
func (c *Core) updatePlaceable(snap *config.Snapshot) {
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

// estimateWait estimates how long a new task waits for a slot, if the number
// extra of other tasks are queued before it besides those that wait now. Peers
// of the data centre take waiting tasks as soon as they have free slots, so
// their queues and slots are added to those here. Tasks that an exhausted limit
// blocks are left out, since they leave free slots to others.
func (s *service) estimateWait(now time.Time, extra int) time.Duration {
	slots, queued, free := s.pool.UsableSlots(), s.queue.Len()-s.blocked+extra, s.pool.Free(now)
	for _, p := range s.peers {
		if p.sameDataCentre {
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

// load returns the load report of the service for peers. EndMs is the
// completion time: the estimated time until a new task of unknown size would
// end, including its wait, so that peers can compare the speed of their free
// slots with those here.
func (s *service) load(now time.Time) *peerpb.Load {
	end, ok := s.pool.NextEstimate(now)
	if !ok {
		end = s.estimateWait(now, 0) + s.pool.Estimate(0)
	}
	return &peerpb.Load{
		Service:     string(s.name),
		FreeSlots:   uint32(max(0, s.pool.Free(now)-s.queue.Len()+s.blocked)),
		Queued:      uint32(s.queue.Len()),
		EndMs:       uint32(end.Milliseconds()),
		Slots:       uint32(s.pool.UsableSlots()),
		Blocked:     uint32(s.blocked),
		ShortLimits: s.exhausted,
	}
}

// servicesInLoadOrder returns the services in the order of load reports: the
// configured ones in the order of the configuration in force, then the removed
// ones by name. It also returns the number of configured ones. The order must
// be stable, because the writer of frames to peers sends all loads again when
// the list differs from the last one sent.
func (c *Core) servicesInLoadOrder() (all []*service, configured int) {
	snap := c.configHolder.Snapshot()
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

// Loads returns the load reports of all services for peers.
func (c *Core) Loads(now time.Time) []*peerpb.Load {
	all, _ := c.servicesInLoadOrder()
	loads := make([]*peerpb.Load, len(all))
	for i, sv := range all {
		loads[i] = sv.load(now)
	}
	return loads
}

// heartbeatLoads returns the loads without the names of configured services,
// which would take up more than half of a heartbeat. The receiver identifies
// them by their position in the configuration revision that the heartbeat
// names.
func (c *Core) heartbeatLoads(now time.Time) []*peerpb.Load {
	all, configured := c.servicesInLoadOrder()
	loads := make([]*peerpb.Load, len(all))
	for i, sv := range all {
		loads[i] = sv.load(now)
		if i < configured {
			loads[i].Service = ""
		}
	}
	return loads
}

// heartbeatServices returns the services to which the positions of unnamed
// loads refer. It returns nil when the sender has another revision of the
// configuration, since the order of its services is then not known here.
func (c *Core) heartbeatServices(revision ident.Revision) []ident.Service {
	if snap := c.configHolder.Snapshot(); snap != nil && snap.Revision() == revision {
		return snap.Services()
	}
	return nil
}

// handlePeerLoad records a peer's loads and dispatches the services concerned:
// a peer with a queue may have tasks for free slots here, and a peer with free
// slots may take tasks from here. A load without a name belongs to the service
// at the same position in unnamedOrder.
func (c *Core) handlePeerLoad(now time.Time, p ident.Process, loads []*peerpb.Load, unnamedOrder []ident.Service) {
	l := c.links[p]
	if l == nil {
		return
	}
	for i, in := range loads {
		name := ident.Service(in.Service)
		if name == "" && i < len(unnamedOrder) {
			name = unnamedOrder[i]
		}
		sv := c.services[name]
		if sv == nil {
			continue
		}
		ps := sv.peers[p]
		if ps == nil {
			ps = &peerService{sameDataCentre: l.dataCentre == c.cfg.DataCentre}
			sv.peers[p] = ps
		}
		ps.load = work.Load{
			Service:          sv.name,
			Slots:            int(in.Slots),
			Free:             int(in.FreeSlots),
			Queued:           int(in.Queued),
			TimeToCompletion: time.Duration(in.EndMs) * time.Millisecond,
		}
		ps.blocked, ps.exhausted = int(in.Blocked), in.ShortLimits
		c.dispatch(now, sv)
	}
}

package instance

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
)

const (
	// minLeaseRunTimes is how many times a task's estimated run time the leases
	// of its units must still be valid when it starts, though not beyond its
	// deadline. A renewed lease is valid for over 15 s, so this matters only
	// after renewals have stopped.
	minLeaseRunTimes = 2
	// exhaustedTimeout is how long a limit counts as exhausted at this instance
	// after a task found no unit of it. A limit that has too few units for a
	// task at the moment is called lacking instead; see lackingLimits.
	exhaustedTimeout = time.Second
)

// limits holds what this instance knows of the limits of the fleet, and the
// units that it has. The limiter takes units from the floor and from grants for
// each task; the granter grants units to the instances of the data centre, and
// is used only while isGranter is set.
type limits struct {
	limiter *quota.Limiter
	granter *quota.Granter
	list    []quota.Limit
	byName  map[quota.LimitName]quota.Limit
	// exhausted holds, for each limit, when a task last found no unit of it.
	exhausted map[quota.LimitName]time.Time
	// lastGranted holds the units of each limit in the last grant.
	lastGranted map[quota.LimitName]quota.Count
	// isGranter is true when this instance is the granter of its data centre.
	isGranter bool
	// renewing is true while the shares record is being read or written.
	renewing bool
	// renewFailed is true when the last renewal failed, or was put off because
	// another granter writes. It is then retried at renewRetryAt, even if no
	// write is due.
	renewFailed bool
	// renewRetryAt is the time before which the record is not read again.
	renewRetryAt time.Time
	// nextEarlyCheck is when to check next whether to write the record before
	// the regular time.
	nextEarlyCheck time.Time
	// nextRequest is when to request units next, nextReturn when to return
	// those not needed.
	nextRequest, nextReturn time.Time
	// fastInterval is the time between two requests for units while a limit is
	// exhausted.
	fastInterval time.Duration
	// otherGranter is the last granter of this data centre that the shares
	// record named when it was read, other than this process and those linked
	// to it. otherWriteNumber is the number of its write.
	otherGranter     ident.Process
	otherWriteNumber uint64
}

// permit holds the units and the reserved cost that a task needs to run under
// the limits.
type permit struct {
	units quota.TaskUnits
	cost  quota.Reservation
	// deadline is the task's deadline, or the end of a lease that ends earlier.
	deadline time.Time
}

func newLimits(cfg Config) limits {
	return limits{
		limiter: quota.NewLimiter(cfg.Self, quota.FloorPosition{
			DataCentre: cfg.DataCentre,
			Ordinal:    cfg.Ordinal,
			Instances:  cfg.InstancesPerDataCentre,
			FloorFrom:  cfg.FloorFrom,
		}),
		granter:     quota.NewGranter(cfg.Self, cfg.DataCentre),
		byName:      map[quota.LimitName]quota.Limit{},
		exhausted:   map[quota.LimitName]time.Time{},
		lastGranted: map[quota.LimitName]quota.Count{},
	}
}

// setConfig replaces the limits by those of a configuration.
func (l *limits) setConfig(snap *config.Snapshot, cfg Config) {
	l.list = limitsOf(snap, cfg.DataCentres)
	l.byName = make(map[quota.LimitName]quota.Limit, len(l.list))
	for _, limit := range l.list {
		l.byName[limit.Name] = limit
	}
	l.limiter.SetLimits(l.list)
	l.granter.SetLimits(l.list)
}

// limitsOf returns the limits of a configuration. All instances must get the
// same result, so it depends only on the configuration and the planned number
// of data centres.
func limitsOf(snap *config.Snapshot, dataCentres int) []quota.Limit {
	var list []quota.Limit
	add := func(name quota.LimitName, maxUnits quota.Count, share float64, dcs []ident.DataCentre, perHour bool) {
		if maxUnits > 0 {
			list = append(list, quota.Limit{
				Name: name, Max: maxUnits, PerHour: perHour, FloorShare: share, DataCentres: dcs, Planned: dataCentres})
		}
	}
	for _, name := range snap.Services() {
		s, _ := snap.Service(name)
		add(quota.ServiceLimit(name), quota.Count(s.MaxRunning), s.FloorShare, s.DataCentres, false)
	}
	for _, name := range snap.Teams() {
		t, _ := snap.Team(name)
		dcs := teamDataCentres(snap, t)
		add(quota.TeamLimit(name), quota.Count(t.MaxRunning), t.FloorShare, dcs, false)
		add(quota.CostLimit(name), quota.Count(t.MaxCostPerHour), t.FloorShare, dcs, true)
	}
	return list
}

// teamDataCentres returns the data centres in which a team's services may run;
// empty means all.
func teamDataCentres(snap *config.Snapshot, t config.Team) []ident.DataCentre {
	names := t.Services
	if len(names) == 0 {
		names = snap.Services()
	}
	var dcs []ident.DataCentre
	for _, name := range names {
		s, _ := snap.Service(name)
		if len(s.DataCentres) == 0 {
			return nil
		}
		dcs = append(dcs, s.DataCentres...)
	}
	slices.Sort(dcs)
	return slices.Compact(dcs)
}

// runCost returns the cost of a run of the given length.
func runCost(sv *service, took time.Duration) ident.Micros {
	return ident.Micros(took.Seconds() * float64(sv.conf.CostPerSlotSecond))
}

// acquire takes a unit of each limit of a task and reserves its estimated cost.
// It returns false when a limit has too little left. A task whose deadline has
// passed gets an empty permit and true, so that it is popped and fails as
// expired.
func (c *Core) acquire(now time.Time, sv *service, t *work.Task) (permit, bool) {
	pm := permit{deadline: t.Deadline}
	if len(c.limits.list) == 0 || !t.Deadline.After(now) {
		return pm, true
	}
	serviceLimit, teamLimit, costLimit := quota.ServiceLimit(sv.name), quota.TeamLimit(t.Team), quota.CostLimit(t.Team)
	estimate := sv.pool.Estimate(t.Size)
	minLeaseEnd := now.Add(minLeaseRunTimes * estimate)
	if minLeaseEnd.After(t.Deadline) {
		minLeaseEnd = t.Deadline
	}
	var ok bool
	limiter := c.limits.limiter
	if pm.units, pm.deadline, ok = limiter.TakeWithin(now, minLeaseEnd, t.Deadline, serviceLimit, teamLimit); !ok {
		for _, name := range []quota.LimitName{serviceLimit, teamLimit} {
			if !limiter.Has(now, minLeaseEnd, name, 1) {
				c.markExhausted(now, name)
			}
		}
		c.counters.LimitWaits++
		return permit{}, false
	}
	if pm.cost, ok = limiter.Reserve(now, costLimit, runCost(sv, estimate)); !ok {
		limiter.Release(now, pm.units)
		c.markExhausted(now, costLimit)
		c.counters.LimitWaits++
		return permit{}, false
	}
	for _, name := range []quota.LimitName{serviceLimit, teamLimit, costLimit} {
		delete(c.limits.exhausted, name)
	}
	return pm, true
}

// releaseUnused gives back the permit of a task that did not start.
func (c *Core) releaseUnused(now time.Time, pm permit) {
	c.limits.limiter.Release(now, pm.units)
	c.limits.limiter.Settle(now, pm.cost, 0)
}

// settlePermit gives back the units of a call that has ended, and replaces the
// reserved cost by that of the actual run time.
func (c *Core) settlePermit(now time.Time, cl *call, r *work.Result) {
	c.limits.limiter.Release(now, cl.permit.units)
	took := r.Took
	switch {
	case r.NotStarted:
		took = 0
	case took == 0:
		// There was no reply; the endpoint may have worked until now.
		took = now.Sub(cl.started)
	}
	c.limits.limiter.Settle(now, cl.permit.cost, runCost(c.services[cl.service], took))
}

// isExhausted reports whether a task here found no unit of a limit within the
// last exhaustedTimeout.
func (c *Core) isExhausted(now time.Time, name quota.LimitName) bool {
	lastExhausted, ok := c.limits.exhausted[name]
	return ok && now.Sub(lastExhausted) < exhaustedTimeout
}

// mayMove reports whether a waiting task may be sent to a peer. It may not when
// one of its limits is exhausted at the peer. Nor may it when one is exhausted
// here: a peer that has units steals the task instead.
func (c *Core) mayMove(now time.Time, ps *peerService, t *work.Task) bool {
	if len(c.limits.exhausted) == 0 && len(ps.exhausted) == 0 {
		return true
	}
	for _, name := range limitNamesOf(t) {
		if c.isExhausted(now, name) || slices.Contains(ps.exhausted, string(name)) {
			return false
		}
	}
	return true
}

// limitNamesOf returns the names of the limits that may apply to a task.
func limitNamesOf(t *work.Task) [3]quota.LimitName {
	return [3]quota.LimitName{quota.ServiceLimit(t.Service), quota.TeamLimit(t.Team), quota.CostLimit(t.Team)}
}

// lackingLimits returns the lacking limits, also those of other services: the
// ones of which this instance has too few units for one average task of the
// service. It returns false when this instance has no unit of the limit of the
// service itself, so that no task can start.
func (c *Core) lackingLimits(now time.Time, sv *service) ([]string, bool) {
	estimate := sv.pool.Estimate(0)
	minLeaseEnd := now.Add(minLeaseRunTimes * estimate)
	if !c.limits.limiter.Has(now, minLeaseEnd, quota.ServiceLimit(sv.name), 1) {
		return nil, false
	}
	var names []string
	for _, l := range c.limits.list {
		need := quota.Count(1)
		if l.PerHour {
			need = quota.Count(runCost(sv, estimate))
		}
		if !c.limits.limiter.Has(now, minLeaseEnd, l.Name, need) {
			names = append(names, string(l.Name))
		}
	}
	return names, true
}

// popStealable removes up to n tasks from the queue for a peer. When the peer
// names lacking limits, it passes over the tasks under these, and over those
// whose home is neither this process nor the peer.
func (c *Core) popStealable(sv *service, p ident.Process, n int, lacking []string) []*work.Task {
	if len(lacking) == 0 {
		return sv.queue.Steal(n)
	}
	wanted := func(t *work.Task) bool {
		if !c.isSelf(t.Home) && t.Home != p {
			return false
		}
		for _, name := range limitNamesOf(t) {
			if slices.Contains(lacking, string(name)) {
				return false
			}
		}
		return true
	}
	var tasks []*work.Task
	for len(tasks) < n {
		t := sv.queue.Pop(wanted)
		if t == nil {
			break
		}
		tasks = append(tasks, t)
	}
	return tasks
}

// updateBlocked updates the number of waiting tasks of a service that are
// blocked by an exhausted limit, and the names of these limits.
func (c *Core) updateBlocked(now time.Time, sv *service) {
	sv.blocked, sv.exhausted = 0, nil
	if len(c.limits.exhausted) == 0 || sv.queue.Len() == 0 {
		return
	}
	blockedTeams := map[ident.Team]bool{}
	snap := c.configHolder.Snapshot()
	for _, team := range snap.Teams() {
		if sv.queue.Waiting(team) == 0 {
			continue
		}
		for _, name := range []quota.LimitName{quota.TeamLimit(team), quota.CostLimit(team)} {
			if c.isExhausted(now, name) {
				blockedTeams[team] = true
				sv.exhausted = append(sv.exhausted, string(name))
			}
		}
		if blockedTeams[team] {
			sv.blocked += sv.queue.Waiting(team)
		}
	}
	if name := quota.ServiceLimit(sv.name); c.isExhausted(now, name) {
		sv.blocked = sv.queue.Len()
		sv.exhausted = append(sv.exhausted, string(name))
	}
}

// admitLimits refuses a submission with a task that no instance could ever
// start under the limits: the largest share that an instance can get of a limit
// is zero, or below the task's estimated cost.
func (c *Core) admitLimits(sv *service, s *work.Submission) *fault.Error {
	refusal := func(detail string) *fault.Error {
		return fault.New(fault.Unplaceable, fault.RanNo).WithDetail(detail)
	}
	instances := c.cfg.InstancesPerDataCentre
	for _, name := range []quota.LimitName{quota.ServiceLimit(s.Service), quota.TeamLimit(s.Team)} {
		if l, ok := c.limits.byName[name]; ok && l.LargestTake(instances) < 1 {
			return refusal("limit " + string(name) + " is too low: no instance of this fleet can get a unit of it")
		}
	}
	l, ok := c.limits.byName[quota.CostLimit(s.Team)]
	if !ok {
		return nil
	}
	largest := l.LargestTake(instances)
	for _, in := range s.Tasks {
		if quota.Count(runCost(sv, sv.pool.Estimate(in.Size))) > largest {
			return refusal("the largest share of the team's max-cost-per-hour that an instance can get is below the estimated cost of one task")
		}
	}
	return nil
}

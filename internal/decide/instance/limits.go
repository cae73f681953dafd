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
	// leaseRoom is the number of estimated run times that the lease of a unit
	// must still last at a start. A renewed lease lasts over 15 s, so that it
	// only matters when renewal has stopped.
	leaseRoom = 2
	// shortFor is how long a limit counts as short after a task found no unit.
	shortFor = time.Second
)

// limits holds what this instance knows of the fleet's limits.
type limits struct {
	book    *quota.Book
	granter *quota.Granter
	list    []quota.Limit
	byName  map[quota.LimitName]quota.Limit
	// short holds when a task last found no unit of a limit.
	short map[quota.LimitName]time.Time
	// came holds the units of each limit that were granted last.
	came map[quota.LimitName]quota.Count
	// granting is true when this instance is the granter of its data centre.
	granting bool
	// renewing is true while the record is being read or written. The next
	// read is not made before retryAt, and at retryAt when failed is set.
	renewing bool
	failed   bool
	retryAt  time.Time
	// earlyAt is when a write before its time may be considered next.
	earlyAt           time.Time
	nextAsk, nextBack time.Time
	// askPause is the least time between two requests while tasks lack units.
	askPause time.Duration
	// rival is an unlinked process that the record named as the granter when
	// it was last read, at its write rivalAttempt.
	rival        ident.Process
	rivalAttempt uint64
}

// held is what a call holds of the limits.
type held struct {
	units quota.Units
	cost  quota.Reservation
	// deadline is the task's, or earlier when a lease ends before it.
	deadline time.Time
}

func newLimits(cfg Config) limits {
	return limits{
		book: quota.NewBook(cfg.Self, quota.Place{
			DataCentre: cfg.DataCentre,
			Ordinal:    cfg.Ordinal,
			Instances:  cfg.InstancesPerDataCentre,
			FloorFrom:  cfg.FloorFrom,
		}),
		granter: quota.NewGranter(cfg.Self, cfg.DataCentre),
		byName:  map[quota.LimitName]quota.Limit{},
		short:   map[quota.LimitName]time.Time{},
		came:    map[quota.LimitName]quota.Count{},
	}
}

// set takes the limits of a configuration.
func (l *limits) set(snap *config.Snapshot, cfg Config) {
	l.list = limitsOf(snap, cfg.DataCentres)
	l.byName = make(map[quota.LimitName]quota.Limit, len(l.list))
	for _, limit := range l.list {
		l.byName[limit.Name] = limit
	}
	l.book.SetLimits(l.list)
	l.granter.SetLimits(l.list)
}

// limitsOf returns the limits of a configuration. All instances must come to
// the same result, so it depends on nothing else but the planned fleet.
func limitsOf(snap *config.Snapshot, dataCentres int) []quota.Limit {
	var list []quota.Limit
	add := func(name quota.LimitName, most quota.Count, share float64, dcs []ident.DataCentre, perHour bool) {
		if most > 0 {
			list = append(list, quota.Limit{
				Name: name, Max: most, PerHour: perHour, FloorShare: share, DataCentres: dcs, Planned: dataCentres})
		}
	}
	for _, name := range snap.Services() {
		s, _ := snap.Service(name)
		add(quota.ServiceLimit(name), quota.Count(s.MaxRunning), s.FloorShare, s.DataCentres, false)
	}
	for _, name := range snap.Teams() {
		t, _ := snap.Team(name)
		dcs := placement(snap, t)
		add(quota.TeamLimit(name), quota.Count(t.MaxRunning), t.FloorShare, dcs, false)
		add(quota.CostLimit(name), quota.Count(t.MaxCostPerHour), t.FloorShare, dcs, true)
	}
	return list
}

// placement returns the data centres in which a team's services may run; empty
// means everywhere.
func placement(snap *config.Snapshot, t config.Team) []ident.DataCentre {
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

// costOf returns the cost of a run.
func costOf(sv *service, took time.Duration) ident.Micros {
	return ident.Micros(took.Seconds() * float64(sv.conf.CostPerSlotSecond))
}

// take takes a unit of each limit of a task, and its estimated cost. A task
// whose deadline has passed gets none and is allowed, so that it is settled.
func (c *Core) take(now time.Time, sv *service, t *work.Task) (held, bool) {
	h := held{deadline: t.Deadline}
	if len(c.limits.list) == 0 || !t.Deadline.After(now) {
		return h, true
	}
	service, team, cost := quota.ServiceLimit(sv.name), quota.TeamLimit(t.Team), quota.CostLimit(t.Team)
	estimate := sv.pool.Estimate(t.Size)
	least := now.Add(leaseRoom * estimate)
	if least.After(t.Deadline) {
		least = t.Deadline
	}
	var ok bool
	book := c.limits.book
	if h.units, h.deadline, ok = book.TakeWithin(now, least, t.Deadline, service, team); !ok {
		for _, name := range []quota.LimitName{service, team} {
			if !book.Has(now, least, name, 1) {
				c.lackUnits(now, name)
			}
		}
		c.count.LimitWaits++
		return held{}, false
	}
	if h.cost, ok = book.Reserve(now, cost, costOf(sv, estimate)); !ok {
		book.Release(now, h.units)
		c.lackUnits(now, cost)
		c.count.LimitWaits++
		return held{}, false
	}
	for _, name := range []quota.LimitName{service, team, cost} {
		delete(c.limits.short, name)
	}
	return h, true
}

// unused gives back what a task holds that did not start.
func (c *Core) unused(now time.Time, h held) {
	c.limits.book.Release(now, h.units)
	c.limits.book.Settle(now, h.cost, 0)
}

// settleUnits gives back the units of a call that has ended, and settles its
// cost with the actual run time.
func (c *Core) settleUnits(now time.Time, k *call, r *work.Result) {
	c.limits.book.Release(now, k.held.units)
	took := r.Took
	switch {
	case r.NotStarted:
		took = 0
	case took == 0:
		// The endpoint's reply is missing; it may have worked all the time.
		took = now.Sub(k.started)
	}
	c.limits.book.Settle(now, k.held.cost, costOf(c.services[k.service], took))
}

// isShort reports whether tasks here lately found no unit of a limit.
func (c *Core) isShort(now time.Time, name quota.LimitName) bool {
	since, ok := c.limits.short[name]
	return ok && now.Sub(since) < shortFor
}

// mayMove reports whether a waiting task may go to a peer: not when the peer
// lacks its units, and not when only units keep it waiting here, since a peer
// that has them asks for it.
func (c *Core) mayMove(now time.Time, ps *peerService, t *work.Task) bool {
	if len(c.limits.short) == 0 && len(ps.short) == 0 {
		return true
	}
	for _, name := range namesOf(t) {
		if c.isShort(now, name) || slices.Contains(ps.short, string(name)) {
			return false
		}
	}
	return true
}

// namesOf returns the names of the limits that may apply to a task.
func namesOf(t *work.Task) [3]quota.LimitName {
	return [3]quota.LimitName{quota.ServiceLimit(t.Service), quota.TeamLimit(t.Team), quota.CostLimit(t.Team)}
}

// lacking returns the limits under which this instance could not start a task
// of the service, and false when it could start none at all.
func (c *Core) lacking(now time.Time, sv *service) ([]string, bool) {
	estimate := sv.pool.Estimate(0)
	least := now.Add(leaseRoom * estimate)
	if !c.limits.book.Has(now, least, quota.ServiceLimit(sv.name), 1) {
		return nil, false
	}
	var names []string
	for _, l := range c.limits.list {
		need := quota.Count(1)
		if l.PerHour {
			need = quota.Count(costOf(sv, estimate))
		}
		if !c.limits.book.Has(now, least, l.Name, need) {
			names = append(names, string(l.Name))
		}
	}
	return names, true
}

// stealable removes up to n tasks from the queue for a peer, without those
// under the limits that it lacks.
func (c *Core) stealable(sv *service, p ident.Process, n int, lacking []string) []*work.Task {
	if len(lacking) == 0 {
		return sv.queue.Steal(n)
	}
	wanted := func(t *work.Task) bool {
		if !c.isSelf(t.Home) && t.Home != p {
			return false
		}
		for _, name := range namesOf(t) {
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

// lookShort counts the waiting tasks of a service that lack units.
func (c *Core) lookShort(now time.Time, sv *service) {
	sv.blocked, sv.short = 0, nil
	if len(c.limits.short) == 0 || sv.queue.Len() == 0 {
		return
	}
	waiting := map[ident.Team]bool{}
	snap := c.holder.InForce()
	for _, team := range snap.Teams() {
		if sv.queue.Waiting(team) == 0 {
			continue
		}
		for _, name := range []quota.LimitName{quota.TeamLimit(team), quota.CostLimit(team)} {
			if c.isShort(now, name) {
				waiting[team] = true
				sv.short = append(sv.short, string(name))
			}
		}
		if waiting[team] {
			sv.blocked += sv.queue.Waiting(team)
		}
	}
	if name := quota.ServiceLimit(sv.name); c.isShort(now, name) {
		sv.blocked = sv.queue.Len()
		sv.short = append(sv.short, string(name))
	}
}

// admitLimits refuses a submission with a task that no instance could ever
// start under the limits.
func (c *Core) admitLimits(sv *service, s *work.Submission) *fault.Error {
	no := func(detail string) *fault.Error {
		return fault.New(fault.Unplaceable, fault.RanNo).WithDetail(detail)
	}
	instances := c.cfg.InstancesPerDataCentre
	for _, name := range []quota.LimitName{quota.ServiceLimit(s.Service), quota.TeamLimit(s.Team)} {
		if l, ok := c.limits.byName[name]; ok && l.Largest(instances) < 1 {
			return no("the limit " + string(name) + " leaves no task to any instance of this fleet")
		}
	}
	l, ok := c.limits.byName[quota.CostLimit(s.Team)]
	if !ok {
		return nil
	}
	largest := l.Largest(instances)
	for _, in := range s.Tasks {
		if quota.Count(costOf(sv, sv.pool.Estimate(in.Size))) > largest {
			return no("the team's max-cost-per-hour is below the cost of one task")
		}
	}
	return nil
}

package instance

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

const (
	// askUnits is the time between two requests for units, well below
	// quota.GrantLease. While tasks lack units it doubles from askFirst to
	// askShort.
	askUnits = 2 * time.Second
	askShort = 500 * time.Millisecond
	askFirst = 50 * time.Millisecond
	// costAhead is how far ahead the cost of busy slots is asked for. A granter
	// gets units for its data centre only every quota.RenewEvery, and a shorter
	// time leaves the team idle until then.
	costAhead = 15 * time.Second
	// renewRetry is the wait before the record is read again after a failure.
	renewRetry = time.Second
	// conflictRetry is the longest wait after a write that met another revision.
	conflictRetry = 200 * time.Millisecond
)

// shares asks for units, hands back those not needed, and renews the record of
// the data centre when this instance is its granter.
func (c *Core) shares(now time.Time) {
	id, _ := c.members.Granter(c.cfg.DataCentre)
	c.limits.granting = id == c.cfg.Self.Instance && !c.replaced
	if c.replaced || len(c.limits.list) == 0 {
		return
	}
	c.renew(now)
	short := false
	for name, since := range c.limits.short {
		if c.isShort(now, name) {
			short = true
		} else if now.Sub(since) >= shortFor {
			delete(c.limits.short, name)
		}
	}
	ask, back := !now.Before(c.limits.nextAsk), !now.Before(c.limits.nextBack)
	if !ask && !(short && now.Add(askUnits-c.limits.askPause).After(c.limits.nextAsk)) {
		return
	}
	granter, linked := c.linked(id)
	if !c.limits.granting && !linked {
		return
	}
	c.limits.nextAsk = now.Add(askUnits)
	c.limits.askPause = min(2*c.limits.askPause, askShort)
	requests := c.limits.book.Demand(now, c.waitingUnits(now))
	if back {
		c.limits.nextBack = now.Add(askUnits)
		requests = append(requests, c.limits.book.Excess(now)...)
	}
	for _, r := range requests {
		c.count.ShareRequests++
		if c.limits.granting {
			c.limits.book.Accept(now, c.limits.granter.Request(now, r))
			continue
		}
		c.do(Send{To: granter, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_ShareRequest{
			ShareRequest: &peerpb.ShareRequest{
				Request: r.Number, Limit: string(r.Limit), Units: uint64(r.Units), Hour: r.Hour}}}})
	}
}

// lackUnits takes note of a limit that keeps tasks waiting. When it has not done
// so lately, units are asked for soon.
func (c *Core) lackUnits(now time.Time, limit quota.LimitName) {
	if !c.isShort(now, limit) {
		c.limits.askPause = askFirst
	}
	c.limits.short[limit] = now
}

// waitingUnits counts, for each limit, the tasks that wait here, or at a peer of
// the data centre, and could start here if there were units. For limits on cost
// it is what these and the running tasks would cost if their slots stayed busy
// for costAhead.
func (c *Core) waitingUnits(now time.Time) map[quota.LimitName]quota.Count {
	waiting := map[quota.LimitName]quota.Count{}
	snap := c.holder.InForce()
	for _, sv := range c.services {
		free := sv.pool.Free(now)
		peer := 0
		if sv.queue.Len() == 0 {
			peer = min(sv.wanted, sv.peerQueued())
		}
		if free == 0 || sv.queue.Len()+peer == 0 {
			continue
		}
		waiting[quota.ServiceLimit(sv.name)] += quota.Count(min(free, sv.queue.Len()+peer))
		for _, team := range snap.Teams() {
			if peer > 0 && !mayUse(snap, team, sv.name) {
				continue
			}
			n := quota.Count(min(free, sv.queue.Waiting(team)+peer))
			waiting[quota.TeamLimit(team)] += n
			waiting[quota.CostLimit(team)] += n * quota.Count(costOf(sv, max(costAhead, sv.pool.Estimate(0))))
		}
	}
	for _, k := range c.calls {
		waiting[quota.CostLimit(k.task.Team)] += quota.Count(costOf(c.services[k.service], costAhead))
	}
	return waiting
}

// mayUse reports whether a team may use a service.
func mayUse(snap *config.Snapshot, team ident.Team, service ident.Service) bool {
	t, ok := snap.Team(team)
	return ok && (len(t.Services) == 0 || slices.Contains(t.Services, service))
}

// shareRequested answers a peer of the data centre. An instance that is not
// the granter has nothing to lend and does not answer.
func (c *Core) shareRequested(now time.Time, p ident.Process, m *peerpb.ShareRequest) {
	if !c.limits.granting || c.links[p].dataCentre != c.cfg.DataCentre || m.Units > 1<<62 {
		return
	}
	c.count.ShareGrants++
	g := c.limits.granter.Request(now, quota.ShareRequest{
		Number: m.Request,
		Holder: p,
		Limit:  quota.LimitName(m.Limit),
		Units:  quota.Count(m.Units),
		Hour:   m.Hour,
	})
	c.do(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_ShareGrant{
		ShareGrant: &peerpb.ShareGrant{
			Request: g.Number,
			Limit:   string(g.Limit),
			Units:   uint64(max(g.Units, 0)),
			LeaseMs: uint32(g.Lease.Milliseconds()),
			Hour:    g.Hour,
		}}}})
}

// unitsCame lets steals be tried again that named a limit as lacking.
func (c *Core) unitsCame(limit quota.LimitName, units quota.Count) {
	if units <= c.limits.came[limit] {
		c.limits.came[limit] = units
		return
	}
	c.limits.came[limit] = units
	for _, sv := range c.services {
		for _, ps := range sv.peers {
			if ps.lacked {
				ps.stealing, ps.lacked = time.Time{}, false
			}
		}
	}
}

// shareGranted takes the granter's answer.
func (c *Core) shareGranted(now time.Time, p ident.Process, m *peerpb.ShareGrant) {
	if c.links[p].dataCentre != c.cfg.DataCentre || m.Units > 1<<62 {
		return
	}
	c.unitsCame(quota.LimitName(m.Limit), quota.Count(m.Units))
	c.limits.book.Accept(now, quota.ShareGrant{
		Number: m.Request,
		Limit:  quota.LimitName(m.Limit),
		Units:  quota.Count(m.Units),
		Lease:  time.Duration(m.LeaseMs) * time.Millisecond,
		Hour:   m.Hour,
	})
}

// renew reads the record when the granter's next write is due, or earlier.
func (c *Core) renew(now time.Time) {
	l := &c.limits
	if !l.granting || l.renewing || now.Before(l.retryAt) {
		return
	}
	if !l.failed && now.Before(l.granter.RenewAt()) && !c.renewEarly(now) {
		return
	}
	c.limits.renewing = true
	c.count.ShareReads++
	c.do(ReadShares{})
}

// renewEarly reports whether to write before the time since instances want
// units that their data centre lacks. Once in quota.RenewEvery bounds it to two
// writes in that time.
func (c *Core) renewEarly(now time.Time) bool {
	l := &c.limits
	if now.Before(l.earlyAt) {
		return false
	}
	if !l.granter.Wanting(now) {
		l.earlyAt = now.Add(askFirst)
		return false
	}
	l.earlyAt = now.Add(quota.RenewEvery)
	return true
}

// sharesRead proposes the next record in place of the one just read.
func (c *Core) sharesRead(now time.Time, ev SharesRead) {
	c.limits.renewing = false
	c.limits.retryAt = now.Add(renewRetry)
	c.limits.failed = ev.Failure != nil
	if ev.Failure != nil || !c.limits.granting {
		return
	}
	record, err := quota.ParseRecord(ev.Data)
	if err != nil {
		return
	}
	if c.yields(record.DataCentres[c.cfg.DataCentre]) {
		c.limits.failed = true
		c.limits.retryAt = now.Add(quota.RenewEvery)
		return
	}
	next, attempt := c.limits.granter.Propose(now, record)
	data, err := next.Value()
	if err != nil {
		return
	}
	c.limits.renewing = true
	c.count.ShareWrites++
	c.do(WriteShares{Attempt: attempt, Data: data, Revision: ev.Revision})
}

// yields reports whether another granter of the data centre, which is out of
// reach, goes on to write the record. Two that replace each other would both
// have to hold back what the other may have lent, and nobody got units.
func (c *Core) yields(h quota.Holder) bool {
	l := &c.limits
	p := ident.Process{Instance: h.Granter, Incarnation: h.Incarnation}
	if p == (ident.Process{}) || c.isSelf(p) || c.links[p] != nil {
		return false
	}
	writes := l.rival == p && l.rivalAttempt != h.Attempt
	l.rival, l.rivalAttempt = p, h.Attempt
	return writes
}

// sharesWritten takes the outcome of a write. Whether a write with a lost
// reply took effect shows when the record is read next.
func (c *Core) sharesWritten(now time.Time, ev SharesWritten) {
	c.limits.renewing = false
	if ev.Failure == nil {
		c.count.ShareRenewed++
		c.limits.granter.Confirm(now, ev.Attempt)
		// There may be units for what was asked in vain before the write.
		c.limits.nextAsk = now
		return
	}
	c.limits.failed = true
	c.limits.retryAt = now.Add(renewRetry)
	switch ev.Failure.Kind {
	case fault.StoreConflict:
		c.count.ShareConflicts++
		// The granters of the other data centres write to the same record; they
		// spread out so that they do not meet again.
		c.limits.retryAt = now.Add(time.Duration(c.cfg.Random.Int64N(int64(conflictRetry))))
	case fault.StoreUnknown:
		c.count.ShareUnknown++
	}
}

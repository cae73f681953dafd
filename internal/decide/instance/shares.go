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
	// requestInterval is the time between two requests for units, well below
	// quota.GrantLease. While a limit is exhausted it is shorter, and doubles
	// from minFastInterval up to maxFastInterval. minFastInterval is also the
	// time between two checks whether the granter should renew early.
	requestInterval = 2 * time.Second
	maxFastInterval = 500 * time.Millisecond
	minFastInterval = 50 * time.Millisecond
	// costHorizon is how much run time of each busy slot the requested units of
	// a cost limit pay for. A granter gets units for its data centre only every
	// quota.RenewInterval, and with a shorter horizon the team would be idle
	// until then.
	costHorizon = 15 * time.Second
	// renewRetryDelay is the wait before the shares record is read again after
	// a failure.
	renewRetryDelay = time.Second
	// maxConflictDelay bounds the random wait after a write that failed because
	// the record had another revision.
	maxConflictDelay = 200 * time.Millisecond
)

// updateShares requests units, returns those not needed, and renews the shares
// record for the data centre when this instance is its granter. While a limit
// is exhausted, the next request is due fastInterval after the last one instead
// of requestInterval.
func (c *Core) updateShares(now time.Time) {
	id, _ := c.members.Granter(c.cfg.DataCentre)
	c.limits.isGranter = id == c.cfg.Self.Instance && !c.replaced
	if c.replaced || len(c.limits.list) == 0 {
		return
	}
	c.renewShares(now)
	exhausted := false
	for name, lastExhausted := range c.limits.exhausted {
		if c.isExhausted(now, name) {
			exhausted = true
		} else if now.Sub(lastExhausted) >= exhaustedTimeout {
			delete(c.limits.exhausted, name)
		}
	}
	requestDue, returnDue := !now.Before(c.limits.nextRequest), !now.Before(c.limits.nextReturn)
	if !requestDue && !(exhausted && now.Add(requestInterval-c.limits.fastInterval).After(c.limits.nextRequest)) {
		return
	}
	granter, linked := c.linkedProcess(id)
	if !c.limits.isGranter && !linked {
		return
	}
	c.limits.nextRequest = now.Add(requestInterval)
	c.limits.fastInterval = min(2*c.limits.fastInterval, maxFastInterval)
	requests := c.limits.limiter.ShareRequests(now, c.waitingUnits(now))
	if returnDue {
		c.limits.nextReturn = now.Add(requestInterval)
		requests = append(requests, c.limits.limiter.ReturnRequests(now)...)
	}
	for _, r := range requests {
		c.counters.ShareRequests++
		if c.limits.isGranter {
			c.limits.limiter.Accept(now, c.limits.granter.Request(now, r))
			continue
		}
		c.emit(Send{To: granter, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_ShareRequest{
			ShareRequest: &peerpb.ShareRequest{
				Request: r.Number, Limit: string(r.Limit), Units: uint64(r.Units), Hour: r.Hour}}}})
	}
}

// markExhausted records that tasks wait for units of a limit. If the limit was
// not exhausted before, fastInterval starts at minFastInterval again.
func (c *Core) markExhausted(now time.Time, limit quota.LimitName) {
	if !c.isExhausted(now, limit) {
		c.limits.fastInterval = minFastInterval
	}
	c.limits.exhausted[limit] = now
}

// waitingUnits returns the units of each limit that waiting tasks need: the
// number of tasks that wait here, or at a peer of the data centre, and that
// could start on free slots here. For cost limits it is the cost of
// costHorizon of run time on each slot that these and the running tasks take.
func (c *Core) waitingUnits(now time.Time) map[quota.LimitName]quota.Count {
	waiting := map[quota.LimitName]quota.Count{}
	snap := c.configHolder.Snapshot()
	for _, sv := range c.services {
		free := sv.pool.Free(now)
		peerWaiting := 0
		if sv.queue.Len() == 0 {
			peerWaiting = min(sv.waitingAtStealTarget, sv.longestPeerQueue())
		}
		if free == 0 || sv.queue.Len()+peerWaiting == 0 {
			continue
		}
		waiting[quota.ServiceLimit(sv.name)] += quota.Count(min(free, sv.queue.Len()+peerWaiting))
		for _, team := range snap.Teams() {
			if peerWaiting > 0 && !mayUse(snap, team, sv.name) {
				continue
			}
			n := quota.Count(min(free, sv.queue.Waiting(team)+peerWaiting))
			waiting[quota.TeamLimit(team)] += n
			waiting[quota.CostLimit(team)] += n * quota.Count(runCost(sv, max(costHorizon, sv.pool.Estimate(0))))
		}
	}
	for _, cl := range c.calls {
		waiting[quota.CostLimit(cl.task.Team)] += quota.Count(runCost(c.services[cl.service], costHorizon))
	}
	return waiting
}

// mayUse reports whether a team may use a service.
func mayUse(snap *config.Snapshot, team ident.Team, service ident.Service) bool {
	t, ok := snap.Team(team)
	return ok && (len(t.Services) == 0 || slices.Contains(t.Services, service))
}

// handleShareRequest answers a request for units from a peer of the data
// centre. An instance that is not the granter has no units to grant and does
// not answer. Nor does it answer requests for more than 1<<62 units, which
// could overflow a quota.Count.
func (c *Core) handleShareRequest(now time.Time, p ident.Process, m *peerpb.ShareRequest) {
	if !c.limits.isGranter || c.links[p].dataCentre != c.cfg.DataCentre || m.Units > 1<<62 {
		return
	}
	c.counters.ShareGrants++
	g := c.limits.granter.Request(now, quota.ShareRequest{
		Number:   m.Request,
		Instance: p,
		Limit:    quota.LimitName(m.Limit),
		Units:    quota.Count(m.Units),
		Hour:     m.Hour,
	})
	c.emit(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_ShareGrant{
		ShareGrant: &peerpb.ShareGrant{
			Request: g.Number,
			Limit:   string(g.Limit),
			Units:   uint64(max(g.Units, 0)),
			LeaseMs: uint32(g.Lease.Milliseconds()),
			Hour:    g.Hour,
		}}}})
}

// allowSteals allows new steal requests to the peers whose last one named
// exhausted limits, when the granted units of a limit have increased.
func (c *Core) allowSteals(limit quota.LimitName, units quota.Count) {
	if units <= c.limits.lastGranted[limit] {
		c.limits.lastGranted[limit] = units
		return
	}
	c.limits.lastGranted[limit] = units
	for _, sv := range c.services {
		for _, ps := range sv.peers {
			if ps.stealNamedLimits {
				ps.stealRequestedAt, ps.stealNamedLimits = time.Time{}, false
			}
		}
	}
}

// handleShareGrant handles the granter's answer to a request for units. It
// ignores more than 1<<62 units, which could overflow a quota.Count.
func (c *Core) handleShareGrant(now time.Time, p ident.Process, m *peerpb.ShareGrant) {
	if c.links[p].dataCentre != c.cfg.DataCentre || m.Units > 1<<62 {
		return
	}
	c.allowSteals(quota.LimitName(m.Limit), quota.Count(m.Units))
	c.limits.limiter.Accept(now, quota.ShareGrant{
		Number: m.Request,
		Limit:  quota.LimitName(m.Limit),
		Units:  quota.Count(m.Units),
		Lease:  time.Duration(m.LeaseMs) * time.Millisecond,
		Hour:   m.Hour,
	})
}

// renewShares starts a renewal, a read and then a write of the shares record,
// when the granter's next write is due, a failed renewal is to be retried, or
// units are wanted early. It emits the read.
func (c *Core) renewShares(now time.Time) {
	l := &c.limits
	if !l.isGranter || l.renewing || now.Before(l.renewRetryAt) {
		return
	}
	if !l.renewFailed && now.Before(l.granter.RenewAt()) && !c.earlyRenewalDue(now) {
		return
	}
	c.limits.renewing = true
	c.counters.ShareReads++
	c.emit(ReadShares{})
}

// earlyRenewalDue reports whether to renew before the regular time, because
// instances want units that their data centre lacks. It also sets the time of
// the next check. It returns true at most once per quota.RenewInterval, so
// there are at most two writes in that time.
func (c *Core) earlyRenewalDue(now time.Time) bool {
	l := &c.limits
	if now.Before(l.nextEarlyCheck) {
		return false
	}
	if !l.granter.NeedsUnits(now) {
		l.nextEarlyCheck = now.Add(minFastInterval)
		return false
	}
	l.nextEarlyCheck = now.Add(quota.RenewInterval)
	return true
}

// handleSharesRead writes the next shares record, based on the one just read.
// It does not write while another granter of the data centre does.
func (c *Core) handleSharesRead(now time.Time, ev SharesRead) {
	c.limits.renewing = false
	c.limits.renewRetryAt = now.Add(renewRetryDelay)
	c.limits.renewFailed = ev.Failure != nil
	if ev.Failure != nil || !c.limits.isGranter {
		return
	}
	record, err := quota.ParseRecord(ev.Data)
	if err != nil {
		return
	}
	if c.otherGranterWrites(record.DataCentres[c.cfg.DataCentre]) {
		c.limits.renewFailed = true
		c.limits.renewRetryAt = now.Add(quota.RenewInterval)
		return
	}
	next, number := c.limits.granter.Propose(now, record)
	data, err := next.Value()
	if err != nil {
		return
	}
	c.limits.renewing = true
	c.counters.ShareWrites++
	c.emit(WriteShares{WriteNumber: number, Data: data, Revision: ev.Revision})
}

// otherGranterWrites reports whether another granter of the data centre, to
// which there is no link, has written the record since it was last read. It
// remembers the granter and its write for the next call. Two granters that keep
// replacing each other would both have to withhold the units that the other may
// have granted, so no instance would get any.
func (c *Core) otherGranterWrites(state quota.DataCentreState) bool {
	l := &c.limits
	p := ident.Process{Instance: state.Granter, Incarnation: state.Incarnation}
	if p == (ident.Process{}) || c.isSelf(p) || c.links[p] != nil {
		return false
	}
	stillWrites := l.otherGranter == p && l.otherWriteNumber != state.WriteNumber
	l.otherGranter, l.otherWriteNumber = p, state.WriteNumber
	return stillWrites
}

// handleSharesWritten handles the outcome of a write. Whether a write with a
// lost reply took effect is found out when the record is read next.
func (c *Core) handleSharesWritten(now time.Time, ev SharesWritten) {
	c.limits.renewing = false
	if ev.Failure == nil {
		c.counters.ShareRenewed++
		c.limits.granter.Confirm(now, ev.WriteNumber)
		// Requests that got no units before the write may succeed now.
		c.limits.nextRequest = now
		return
	}
	c.limits.renewFailed = true
	c.limits.renewRetryAt = now.Add(renewRetryDelay)
	switch ev.Failure.Kind {
	case fault.StoreConflict:
		c.counters.ShareConflicts++
		// The granters of all data centres write to the same record; a random
		// delay keeps them from conflicting again.
		c.limits.renewRetryAt = now.Add(time.Duration(c.cfg.Random.Int64N(int64(maxConflictDelay))))
	case fault.StoreUnknown:
		c.counters.ShareUnknown++
	}
}

package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/member"
	"hornbeamlift.example/hornbeamlift/internal/decide/retry"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// scanInterval is how often the calls under way are looked through.
const scanInterval = 100 * time.Millisecond

// silentAnswers is the number of an endpoint's answers in a row that do not
// list a task before its connection counts as silent. One answer may cross
// with the task's reply.
const silentAnswers = 2

// askInterval is the time between two questions about one call.
const askInterval = 500 * time.Millisecond

// drainingInterval is the time between two questions to a draining endpoint.
const drainingInterval = 5 * time.Second

func (c *Core) tick(now time.Time) {
	due, changes := c.members.Tick(now)
	for _, id := range due {
		if p, ok := c.linked(id); ok {
			c.sendHeartbeat(now, p, 0)
		}
	}
	c.changed(now, changes)
	for e := c.table.Overdue(now); e != nil; e = c.table.Overdue(now) {
		c.count.Expired++
		c.abandon(now, e, fault.DeadlineExceeded)
	}
	for _, sv := range c.services {
		for _, t := range sv.queue.Expire(now) {
			c.settle(now, t, notRun(t, fault.DeadlineExceeded))
		}
		c.dispatch(now, sv)
	}
	if !now.Before(c.nextScan) {
		c.nextScan = now.Add(scanInterval)
		c.scan(now)
		c.chooseReader(now)
		c.table.Expire(now)
	}
	if !now.Before(c.nextAsk) {
		c.nextAsk = now.Add(drainingInterval)
		for _, sv := range c.services {
			c.askDraining(sv)
		}
	}
	c.shares(now)
	c.finishDrain(now)
}

// linked returns the process of an instance id that has a link.
func (c *Core) linked(id ident.InstanceID) (ident.Process, bool) {
	for p := range c.links {
		if p.Instance == id {
			return p, true
		}
	}
	return ident.Process{}, false
}

// changed acts on changes of membership. The tasks of a dead process have an
// unknown outcome.
func (c *Core) changed(now time.Time, changes []member.Change) {
	for _, ch := range changes {
		if ch.To != member.Dead && ch.To != member.Replaced {
			continue
		}
		for id, attempt := range c.table.Delegated(ch.Process) {
			c.lost(now, id, attempt)
		}
		c.orphaned(now, ch.Process)
		delete(c.results, ch.Process)
	}
}

// scan looks for calls that take too long: an idempotent request may be hedged,
// and an endpoint that does not list the task has lost the connection.
func (c *Core) scan(now time.Time) {
	for n, k := range c.calls {
		took := now.Sub(k.started)
		if c.hedgeDue(k, took) {
			c.hedge(now, n, k)
		}
		if took >= k.progress && now.Sub(k.asked) >= askInterval && k.aborted == "" {
			k.asked = now
			c.do(AskStatus{Endpoint: k.endpoint})
		}
	}
}

// hedgeDue reports whether a second call may help and was not made yet. The
// percentile alone would hedge long tasks on healthy endpoints: at 0.7 of
// capacity that cost 0.1 messages per task and gained nothing.
func (c *Core) hedgeDue(k *call, took time.Duration) bool {
	sv := c.services[k.service]
	if k.hedged || k.hedge || k.aborted != "" || !k.task.Repeatable {
		return false
	}
	after, ok := retry.HedgeAfter(sv.pool.P95(), sv.conf.ResponseWeight, k.task.Repeatable)
	return ok && took >= max(after, k.progress)
}

// hedge starts a second call of an idempotent request at another endpoint. It
// uses a free slot only when nothing waits for it.
func (c *Core) hedge(now time.Time, n uint64, k *call) {
	sv := c.services[k.service]
	if sv.queue.Len() > 0 || !c.mayStart(now) {
		return
	}
	k.hedged = true
	if !c.budget.Allow(now) {
		return
	}
	h, ok := c.take(now, sv, k.task)
	if !ok {
		return
	}
	choice, ok := sv.pool.PickOther(now, k.task.Size, ident.EndpointID(k.endpoint.ID))
	if !ok {
		c.unused(now, h)
		return
	}
	c.count.Hedged++
	k.twin = c.call(now, sv, k.task, choice, h, true)
	c.calls[k.twin].twin = n
}

// statusRead takes an endpoint's answer about its state. A task in flight that
// two answers in a row do not list is on a connection that went silent.
func (c *Core) statusRead(now time.Time, ev StatusRead) {
	if ev.Failure != nil {
		return
	}
	if sv := c.services[ev.Endpoint.Service]; sv != nil {
		sv.pool.SetBusy(now, ident.EndpointID(ev.Endpoint.ID), ev.Busy, ev.Slots, ev.Draining)
	}
	silent := false
	for n, k := range c.calls {
		if k.endpoint.ID != ev.Endpoint.ID || k.asked.IsZero() {
			continue
		}
		if ev.Running[k.task.ID.String()] {
			k.missing = 0
			continue
		}
		k.missing++
		if k.missing >= silentAnswers && k.aborted == "" {
			silent = true
			c.count.SilentCalls++
			k.aborted = fault.OutcomeUnknown
			c.do(Abort{Call: n})
		}
	}
	if silent {
		c.do(Retire{Endpoint: ev.Endpoint})
	}
}

// membership acts on what has changed in the members since the last event.
func (c *Core) membership(now time.Time) {
	if c.members.Replaced() && !c.replaced {
		c.replaced = true
		c.drain(now)
	}
	v := c.members.Version()
	if v == c.memberSeen {
		return
	}
	c.memberSeen = v
	c.own(now)
	c.do(Dial{Targets: c.targets()})
	c.chooseReader(now)
}

// targets returns the entry instances that the list names besides this one.
func (c *Core) targets() []work.Instance {
	var rows []work.Instance
	for _, row := range c.members.List() {
		if row.Kind == work.KindEntry && row.ID != string(c.cfg.Self.Instance) {
			rows = append(rows, row)
		}
	}
	return rows
}

// offerConfig takes a configuration that may be newer, and passes it on to the
// data centre. One that came from a peer of the data centre is not passed on:
// that peer has sent it to the others, and heartbeats reach any that it missed.
func (c *Core) offerConfig(now time.Time, rev *configpb.Revision, from ident.Process) {
	changed, err := c.holder.Offer(rev)
	if err != nil || !changed {
		return
	}
	snap := c.holder.InForce()
	c.do(InForce{Snapshot: snap})
	c.limits.set(snap, c.cfg)
	c.applyConfig(now, snap)
	if l := c.links[from]; l != nil && l.dataCentre == c.cfg.DataCentre {
		return
	}
	for p, l := range c.links {
		if l.dataCentre == c.cfg.DataCentre {
			c.pushConfig(now, p, l, 0)
		}
	}
}

// drain stops admission and tells the peers. Owned endpoints move to them.
func (c *Core) drain(now time.Time) {
	if c.draining {
		return
	}
	c.draining = true
	c.members.Drain()
	for p := range c.links {
		c.do(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_Goodbye{
			Goodbye: &peerpb.Goodbye{
				Instance:    string(c.cfg.Self.Instance),
				Incarnation: uint64(c.cfg.Self.Incarnation),
			}}}})
	}
	for home := range c.held {
		c.orphaned(now, home)
	}
	if c.replaced {
		c.dropQueued(now)
	}
}

// dropQueued ends the waiting tasks of a process that was replaced: it may
// start nothing more.
func (c *Core) dropQueued(now time.Time) {
	for _, sv := range c.services {
		for t := sv.queue.Pop(c.ownTask); t != nil; t = sv.queue.Pop(c.ownTask) {
			c.resolve(now, notRun(t, fault.Draining))
		}
	}
}

// finishDrain leaves once nothing is under way.
func (c *Core) finishDrain(time.Time) {
	if !c.draining || c.left || c.table.Open() > 0 || len(c.calls) > 0 || len(c.forwards) > 0 || len(c.held) > 0 {
		return
	}
	c.left = true
	reason := fault.Draining
	if c.replaced {
		reason = fault.PeerRefused
	}
	c.do(Leave{Reason: reason})
}

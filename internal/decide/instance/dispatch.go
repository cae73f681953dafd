package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// stealTimeout is how long a steal without an answer keeps the next one back.
const stealTimeout = time.Second

// maxBatch bounds the tasks in one message to a peer.
const maxBatch = 256

// dispatch starts waiting tasks on free slots, sends more to peers with free
// slots, and asks busy peers for tasks when slots stay free.
func (c *Core) dispatch(now time.Time, sv *service) {
	if !c.mayStart(now) {
		return
	}
	blocked := false
	for sv.queue.Len() > 0 && sv.pool.Free(now) > 0 {
		var h held
		t := sv.queue.Pop(func(t *work.Task) bool {
			var ok bool
			h, ok = c.take(now, sv, t)
			return ok
		})
		if t == nil {
			blocked = true
			break
		}
		if c.sendFaster(now, sv, t) {
			c.unused(now, h)
			continue
		}
		if !c.start(now, sv, t, h) {
			break
		}
	}
	if sv.queue.Len() > 0 {
		c.offload(now, sv)
	}
	// Slots that the limits leave free may serve other teams' tasks.
	if sv.queue.Len() == 0 || blocked {
		c.steal(now, sv)
	}
	c.lookShort(now, sv)
	c.tell(now, sv)
}

// start hands a task to the best free endpoint. It reports false when no
// endpoint could take it; then the task waits again. The units that it holds
// are released unless a call begins.
func (c *Core) start(now time.Time, sv *service, t *work.Task, h held) bool {
	left := t.Deadline.Sub(now)
	if left <= 0 {
		c.unused(now, h)
		c.settle(now, t, notRun(t, fault.DeadlineExceeded))
		return true
	}
	choice, ok := sv.pool.Pick(now, t.Size)
	if !ok {
		c.unused(now, h)
		sv.queue.PushFront(t)
		return false
	}
	if c.isSelf(t.Home) && !c.table.HandOut(t.ID, t.Attempt, c.cfg.Self) {
		sv.pool.Finish(now, ident.EndpointID(choice.Endpoint.ID), choice.Endpoint.Incarnation, cancelledOutcome)
		c.unused(now, h)
		return true
	}
	c.count.Starts++
	c.call(now, sv, t, choice, h, false)
	return true
}

// fasterShare is the share of the run time here that a peer of the data centre
// must be below to get a task although slots are free here. A task that moves
// costs two messages and some 1 ms. At 0.7 of capacity, messages between
// instances per task were 0.38 with 0.7, 0.21 with 0.5 and 0.05 with a third,
// and the p99 lags did not differ beyond the noise.
const fasterShare = 1.0 / 3

// sentShare is by how much each task sent raises a peer's reported run time
// until its next report, since the fastest slots are taken first.
const sentShare = 0.1

// favourResponse is the response weight from which a service spends messages on
// faster slots.
const favourResponse = 0.5

// sendFaster sends a task to a peer of the data centre whose free slots are
// much faster than those here. It reports false when there is none, or when the
// service weighs messages more than response time.
func (c *Core) sendFaster(now time.Time, sv *service, t *work.Task) bool {
	here, ok := sv.pool.Next(now)
	if !ok || !c.ownTask(t) || sv.conf.ResponseWeight < favourResponse {
		return false
	}
	var to ident.Process
	var best *peerService
	least := time.Duration(float64(here) * fasterShare)
	for p, ps := range sv.peers {
		if ps.near && ps.load.Free > 0 && ps.load.End > 0 && ps.load.End < least &&
			c.accepts(p) && c.mayMove(now, ps, t) {
			to, best, least = p, ps, ps.load.End
		}
	}
	if best == nil {
		return false
	}
	best.load.Free--
	best.load.End += time.Duration(float64(best.load.End) * sentShare)
	c.sendTasks(now, to, []*work.Task{t})
	return true
}

// ownTask reports whether a task may be sent to a peer: only tasks homed here,
// so that a task moves at most once.
func (c *Core) ownTask(t *work.Task) bool { return c.isSelf(t.Home) }

// offload sends waiting tasks to peers with free slots: first in the data
// centre, then in others when the wait here is worth the way.
func (c *Core) offload(now time.Time, sv *service) {
	for p, ps := range sv.peers {
		if ps.near && ps.load.Free > 0 && c.accepts(p) {
			c.delegate(now, sv, p, ps, ps.load.Free)
		}
	}
	if sv.queue.Len() == 0 || sv.wait(now, 0) < c.cfg.SpillAfter && sv.pool.Slots() > 0 {
		return
	}
	snap := c.holder.InForce()
	for p, ps := range sv.peers {
		if ps.near || ps.load.Free == 0 || !c.accepts(p) || !snap.MayRun(sv.name, c.links[p].dataCentre) {
			continue
		}
		n := sv.queue.Len()
		c.delegate(now, sv, p, ps, ps.load.Free)
		c.count.Spilled += uint64(n - sv.queue.Len())
	}
}

// accepts reports whether a peer is linked and takes tasks.
func (c *Core) accepts(p ident.Process) bool {
	l := c.links[p]
	return l != nil && !l.draining
}

// delegate sends up to n waiting tasks to a peer in one message.
func (c *Core) delegate(now time.Time, sv *service, p ident.Process, ps *peerService, n int) {
	movable := func(t *work.Task) bool { return c.ownTask(t) && c.mayMove(now, ps, t) }
	var tasks []*work.Task
	for len(tasks) < min(n, maxBatch) && sv.queue.Len() > 0 {
		t := sv.queue.Pop(movable)
		if t == nil {
			break
		}
		tasks = append(tasks, t)
	}
	ps.load.Free -= len(tasks)
	c.sendTasks(now, p, tasks)
}

// sendTasks hands tasks to a peer. Tasks that are final by now are left out.
func (c *Core) sendTasks(now time.Time, p ident.Process, tasks []*work.Task) int {
	var batch []*peerpb.Task
	for _, t := range tasks {
		if t.Deadline.After(now) && c.table.HandOut(t.ID, t.Attempt, p) {
			batch = append(batch, taskMessage(now, t))
		} else {
			c.settle(now, t, notRun(t, fault.DeadlineExceeded))
		}
	}
	if len(batch) > 0 {
		c.count.Delegated += uint64(len(batch))
		c.do(Send{To: p, Message: &peerpb.Message{Body: &peerpb.Message_Tasks{
			Tasks: &peerpb.Tasks{Tasks: batch}}}})
	}
	return len(batch)
}

// steal asks the peer with the longest queue for tasks when slots are free
// here and nothing waits.
func (c *Core) steal(now time.Time, sv *service) {
	free := sv.pool.Free(now)
	if free == 0 || c.draining {
		return
	}
	from, most := sv.longestQueue(now)
	if most == nil {
		return
	}
	lacking, ok := c.lacking(now, sv)
	c.wantUnits(now, sv, most.load.Queued, lacking, ok)
	if !ok {
		return
	}
	// Half of a long queue evens out the two; fewer steals are then needed.
	n := min(maxBatch, most.load.Queued, max(free, most.load.Queued/2))
	most.stealing, most.lacked = now, len(lacking) > 0
	c.count.Steals++
	c.do(Send{To: from, Message: &peerpb.Message{Body: &peerpb.Message_Steal{
		Steal: &peerpb.Steal{Service: string(sv.name), Count: uint32(n), LackingLimits: lacking}}}})
}

// wantUnits lets units be asked for soon, of limits that keep this instance from
// a peer's waiting tasks.
func (c *Core) wantUnits(now time.Time, sv *service, queued int, lacking []string, service bool) {
	sv.wanted = 0
	if !service {
		lacking = append(lacking, string(quota.ServiceLimit(sv.name)))
	}
	if len(lacking) == 0 {
		return
	}
	sv.wanted = queued
	for _, name := range lacking {
		c.lackUnits(now, quota.LimitName(name))
	}
}

// peerQueued returns the longest queue of a peer of the data centre.
func (s *service) peerQueued() int {
	n := 0
	for _, ps := range s.peers {
		if ps.near {
			n = max(n, ps.load.Queued)
		}
	}
	return n
}

// longestQueue returns the peer of the data centre with the most waiting tasks
// that has no steal to answer, or nil.
func (s *service) longestQueue(now time.Time) (from ident.Process, most *peerService) {
	for p, ps := range s.peers {
		if !ps.near || ps.load.Queued == 0 || now.Sub(ps.stealing) < stealTimeout {
			continue
		}
		if most == nil || ps.load.Queued > most.load.Queued {
			from, most = p, ps
		}
	}
	return from, most
}

// stolen answers a peer's steal, also when there is nothing to give, so that
// the peer may ask again.
func (c *Core) stolen(now time.Time, p ident.Process, m *peerpb.Steal) {
	sv := c.services[ident.Service(m.Service)]
	var own []*work.Task
	if sv != nil {
		for _, t := range c.stealable(sv, p, int(min(m.Count, maxBatch)), m.LackingLimits) {
			switch {
			case c.isSelf(t.Home):
				own = append(own, t)
			case t.Home == p:
				c.giveBack(now, t, fault.EndpointBusy)
			default:
				sv.queue.PushFront(t)
			}
		}
	}
	if c.sendTasks(now, p, own) == 0 {
		c.do(Send{To: p, Message: &peerpb.Message{Body: &peerpb.Message_Tasks{
			Tasks: &peerpb.Tasks{Service: m.Service}}}})
	}
}

// tell reports to the peers of the data centre that a queue has formed or is
// gone, since they learn the rest from traffic and heartbeats.
func (c *Core) tell(now time.Time, sv *service) {
	n := sv.queue.Len()
	if (n > 0) == (sv.told > 0) {
		return
	}
	sv.told = n
	if n == 0 {
		return
	}
	for p, l := range c.links {
		if l.dataCentre == c.cfg.DataCentre {
			c.do(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_LoadReport{
				LoadReport: &peerpb.LoadReport{Load: []*peerpb.Load{sv.load(now)}}}}})
		}
	}
}

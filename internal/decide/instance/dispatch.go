package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// stealTimeout is how long a peer is not asked again after a steal that it did
// not answer.
const stealTimeout = time.Second

// maxBatch is the largest number of tasks in one message to a peer.
const maxBatch = 256

// dispatch starts waiting tasks on free slots, sends the remaining ones to
// peers with free slots, and asks busy peers for tasks when slots stay free
// here.
func (c *Core) dispatch(now time.Time, sv *service) {
	if !c.mayStart(now) {
		return
	}
	blocked := false
	for sv.queue.Len() > 0 && sv.pool.Free(now) > 0 {
		var pm permit
		t := sv.queue.Pop(func(t *work.Task) bool {
			var ok bool
			pm, ok = c.acquire(now, sv, t)
			return ok
		})
		if t == nil {
			blocked = true
			break
		}
		if c.sendToFasterPeer(now, sv, t) {
			c.releaseUnused(now, pm)
			continue
		}
		if !c.startTask(now, sv, t, pm) {
			break
		}
	}
	if sv.queue.Len() > 0 {
		c.offload(now, sv)
	}
	// When limits keep all waiting tasks from the free slots, tasks of other
	// teams at peers may use these.
	if sv.queue.Len() == 0 || blocked {
		c.requestSteal(now, sv)
	}
	c.countBlocked(now, sv)
	c.reportQueueChange(now, sv)
}

// startTask assigns a task to the best free endpoint. It returns false, and
// puts the task back at the front of the queue, when no endpoint could take it.
// The permit is released unless a call starts.
func (c *Core) startTask(now time.Time, sv *service, t *work.Task, pm permit) bool {
	remaining := t.Deadline.Sub(now)
	if remaining <= 0 {
		c.releaseUnused(now, pm)
		c.reportResult(now, t, notRunResult(t, fault.DeadlineExceeded))
		return true
	}
	choice, ok := sv.pool.Pick(now, t.Size)
	if !ok {
		c.releaseUnused(now, pm)
		sv.queue.PushFront(t)
		return false
	}
	if c.isSelf(t.Home) && !c.table.Assign(t.ID, t.Attempt, c.cfg.Self) {
		sv.pool.Finish(now, ident.EndpointID(choice.Endpoint.ID), choice.Endpoint.Incarnation, cancelledOutcome)
		c.releaseUnused(now, pm)
		return true
	}
	c.counters.Starts++
	c.call(now, sv, t, choice, pm, false)
	return true
}

// maxFasterRatio bounds the run time at a peer, relative to the run time here,
// for a task to be sent there although slots are free here. A task that moves
// costs two messages and about 1 ms. At 70% of capacity the fleet sent 0.38
// messages per task between instances with a ratio of 0.7, 0.21 with 0.5 and
// 0.05 with a third, while the p99 lags were the same within the noise.
const maxFasterRatio = 1.0 / 3

// sentTaskPenalty is the fraction by which each task sent to a peer raises the
// run time that it last reported, until its next report. Its fastest slots are
// used first, so the next task takes a slower one.
const sentTaskPenalty = 0.1

// minFasterWeight is the lowest response weight of a service at which tasks are
// sent to peers with faster slots, at the cost of more messages.
const minFasterWeight = 0.5

// sendToFasterPeer sends a task to the peer of the data centre with the fastest
// free slots, if they are much faster than those here. It returns false when
// there is no such peer, or when the service favours fewer messages over
// response time.
func (c *Core) sendToFasterPeer(now time.Time, sv *service, t *work.Task) bool {
	localRunTime, ok := sv.pool.NextEstimate(now)
	if !ok || !c.isHomedHere(t) || sv.conf.ResponseWeight < minFasterWeight {
		return false
	}
	var to ident.Process
	var target *peerService
	maxTime := time.Duration(float64(localRunTime) * maxFasterRatio)
	for p, ps := range sv.peers {
		if ps.sameDataCentre && ps.load.Free > 0 && ps.load.CompletionTime > 0 && ps.load.CompletionTime < maxTime &&
			c.acceptsTasks(p) && c.mayMove(now, ps, t) {
			to, target, maxTime = p, ps, ps.load.CompletionTime
		}
	}
	if target == nil {
		return false
	}
	target.load.Free--
	target.load.CompletionTime += time.Duration(float64(target.load.CompletionTime) * sentTaskPenalty)
	c.sendTasks(now, to, []*work.Task{t})
	return true
}

// isHomedHere reports whether this process is the home of a task. Only such
// tasks are sent to peers, so that a task moves at most once.
func (c *Core) isHomedHere(t *work.Task) bool { return c.isSelf(t.Home) }

// offload sends waiting tasks to peers with free slots: first to those in the
// data centre, then to those in others if the estimated wait here is at least
// SpillAfter or there are no slots here.
func (c *Core) offload(now time.Time, sv *service) {
	for p, ps := range sv.peers {
		if ps.sameDataCentre && ps.load.Free > 0 && c.acceptsTasks(p) {
			c.delegate(now, sv, p, ps, ps.load.Free)
		}
	}
	if sv.queue.Len() == 0 || sv.estimateWait(now, 0) < c.cfg.SpillAfter && sv.pool.Slots() > 0 {
		return
	}
	snap := c.holder.Snapshot()
	for p, ps := range sv.peers {
		if ps.sameDataCentre || ps.load.Free == 0 || !c.acceptsTasks(p) || !snap.MayRun(sv.name, c.links[p].dataCentre) {
			continue
		}
		n := sv.queue.Len()
		c.delegate(now, sv, p, ps, ps.load.Free)
		c.counters.Spilled += uint64(n - sv.queue.Len())
	}
}

// acceptsTasks reports whether a peer is linked and not draining.
func (c *Core) acceptsTasks(p ident.Process) bool {
	l := c.links[p]
	return l != nil && !l.draining
}

// delegate sends up to n waiting tasks to a peer in one message.
func (c *Core) delegate(now time.Time, sv *service, p ident.Process, ps *peerService, n int) {
	movable := func(t *work.Task) bool { return c.isHomedHere(t) && c.mayMove(now, ps, t) }
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

// sendTasks sends tasks to a peer and returns how many it sent. Tasks past
// their deadline, and those that the table does not assign, are reported as not
// run instead, which has no effect on tasks that are already final.
func (c *Core) sendTasks(now time.Time, p ident.Process, tasks []*work.Task) int {
	var batch []*peerpb.Task
	for _, t := range tasks {
		if t.Deadline.After(now) && c.table.Assign(t.ID, t.Attempt, p) {
			batch = append(batch, taskMessage(now, t))
		} else {
			c.reportResult(now, t, notRunResult(t, fault.DeadlineExceeded))
		}
	}
	if len(batch) > 0 {
		c.counters.Delegated += uint64(len(batch))
		c.emit(Send{To: p, Message: &peerpb.Message{Body: &peerpb.Message_Tasks{
			Tasks: &peerpb.Tasks{Tasks: batch}}}})
	}
	return len(batch)
}

// requestSteal asks the peer with the longest queue for tasks when slots are
// free here that no waiting task can use.
func (c *Core) requestSteal(now time.Time, sv *service) {
	free := sv.pool.Free(now)
	if free == 0 || c.draining {
		return
	}
	from, target := sv.stealTarget(now)
	if target == nil {
		return
	}
	lackingLimits, ok := c.lackingLimits(now, sv)
	c.requestUnitsForSteal(now, sv, target.load.Queued, lackingLimits, ok)
	if !ok {
		return
	}
	// Half of a long queue balances the two instances, so that fewer steals are
	// needed.
	n := min(maxBatch, target.load.Queued, max(free, target.load.Queued/2))
	target.stealSentAt, target.stealLackedUnits = now, len(lackingLimits) > 0
	c.counters.Steals++
	c.emit(Send{To: from, Message: &peerpb.Message{Body: &peerpb.Message_Steal{
		Steal: &peerpb.Steal{Service: string(sv.name), Count: uint32(n), LackingLimits: lackingLimits}}}})
}

// requestUnitsForSteal marks the limits as short that keep this instance from
// running a peer's waiting tasks, so that it soon asks for units. The limit of
// the service is among them unless service is true.
func (c *Core) requestUnitsForSteal(now time.Time, sv *service, queued int, lackingLimits []string, service bool) {
	sv.stealWaiting = 0
	if !service {
		lackingLimits = append(lackingLimits, string(quota.ServiceLimit(sv.name)))
	}
	if len(lackingLimits) == 0 {
		return
	}
	sv.stealWaiting = queued
	for _, name := range lackingLimits {
		c.markShort(now, quota.LimitName(name))
	}
}

// longestPeerQueue returns the length of the longest queue among the peers of
// the data centre.
func (s *service) longestPeerQueue() int {
	n := 0
	for _, ps := range s.peers {
		if ps.sameDataCentre {
			n = max(n, ps.load.Queued)
		}
	}
	return n
}

// stealTarget returns the peer of the data centre with the most waiting tasks,
// or nil when none has any. Peers with an unanswered steal are left out until
// stealTimeout.
func (s *service) stealTarget(now time.Time) (from ident.Process, longest *peerService) {
	for p, ps := range s.peers {
		if !ps.sameDataCentre || ps.load.Queued == 0 || now.Sub(ps.stealSentAt) < stealTimeout {
			continue
		}
		if longest == nil || ps.load.Queued > longest.load.Queued {
			from, longest = p, ps
		}
	}
	return from, longest
}

// handleSteal answers a peer's steal. It also answers when there are no tasks
// to send, so that the peer may ask again.
func (c *Core) handleSteal(now time.Time, p ident.Process, m *peerpb.Steal) {
	sv := c.services[ident.Service(m.Service)]
	var delegated []*work.Task
	if sv != nil {
		for _, t := range c.popStealable(sv, p, int(min(m.Count, maxBatch)), m.LackingLimits) {
			switch {
			case c.isSelf(t.Home):
				delegated = append(delegated, t)
			case t.Home == p:
				c.returnTask(now, t, fault.EndpointBusy)
			default:
				sv.queue.PushFront(t)
			}
		}
	}
	if c.sendTasks(now, p, delegated) == 0 {
		c.emit(Send{To: p, Message: &peerpb.Message{Body: &peerpb.Message_Tasks{
			Tasks: &peerpb.Tasks{Service: m.Service}}}})
	}
}

// reportQueueChange sends a load report to the peers of the data centre when a
// queue has formed. They learn of other changes from the loads that come with
// traffic and heartbeats.
func (c *Core) reportQueueChange(now time.Time, sv *service) {
	n := sv.queue.Len()
	if (n > 0) == (sv.reportedQueued > 0) {
		return
	}
	sv.reportedQueued = n
	if n == 0 {
		return
	}
	for p, l := range c.links {
		if l.dataCentre == c.cfg.DataCentre {
			c.emit(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_LoadReport{
				LoadReport: &peerpb.LoadReport{Load: []*peerpb.Load{sv.load(now)}}}}})
		}
	}
}

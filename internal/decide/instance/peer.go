package instance

import (
	"maps"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/member"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// link is a connection to another process.
type link struct {
	dataCentre ident.DataCentre
	draining   bool
	// storeFailing is true when the peer reads the store but gets no answers.
	storeFailing bool
	// configSentAt is when the configuration was last sent over the link.
	configSentAt time.Time
	// unconfirmed holds the attempts that were delegated to the peer before
	// this link, until the peer reports which tasks it still holds.
	unconfirmed map[ident.TaskID]ident.Attempt
}

// configPushInterval is the minimum time between two pushes of the
// configuration to a peer. Without it, a peer that is slow to report a new
// revision would be sent the configuration after each of its heartbeats.
const configPushInterval = time.Second

func (c *Core) handlePeerUp(now time.Time, ev PeerUp) {
	c.links[ev.Peer] = &link{
		dataCentre:  ev.DataCentre,
		unconfirmed: maps.Clone(c.table.Delegated(ev.Peer)),
	}
	c.applyMemberChanges(now, c.members.HandleLinkUp(now, ev.Peer, ev.DataCentre, ev.Address))
	c.sendHeartbeat(now, ev.Peer, 0)
	c.resendResults(now, ev.Peer)
}

// handlePeerDown handles the loss of a link. Tasks that were sent stay
// delegated, since the peer may run them and report after it reconnects; those
// never sent are queued again.
func (c *Core) handlePeerDown(now time.Time, ev PeerDown) {
	delete(c.links, ev.Peer)
	c.applyMemberChanges(now, c.members.HandleLinkDown(now, ev.Peer))
	for _, sv := range c.services {
		delete(sv.peers, ev.Peer)
	}
	for _, m := range ev.Unsent {
		c.handleUnsent(now, ev.Peer, m)
	}
	for n, f := range c.pendingForwards {
		if f.home == ev.Peer {
			delete(c.pendingForwards, n)
			c.refuse(f.ref, c.unlinkedHomeRefusal(f.home))
		}
	}
}

// handleUnsent handles a message that was never handed to a connection: tasks
// are queued again, results are kept, and forwarded requests are refused.
func (c *Core) handleUnsent(now time.Time, p ident.Process, m *peerpb.Message) {
	if tasks := m.GetTasks(); tasks != nil {
		for _, t := range tasks.Tasks {
			c.requeueUnsent(now, t)
		}
	}
	if results := m.GetTaskResults(); results != nil {
		c.keepResults(now, p, results.Results)
	}
	if request := forwardedRequestNumber(m); request != 0 {
		if f, ok := c.pendingForwards[request]; ok {
			delete(c.pendingForwards, request)
			c.refuse(f.ref, c.unlinkedHomeRefusal(f.home))
		}
	}
}

// forwardedRequestNumber returns the number of a request that was forwarded to
// its home, or zero for other messages.
func forwardedRequestNumber(m *peerpb.Message) uint64 {
	switch b := m.Body.(type) {
	case *peerpb.Message_Forward:
		return b.Forward.Request
	case *peerpb.Message_Fetch:
		return b.Fetch.Request
	case *peerpb.Message_Cancel:
		return b.Cancel.Request
	}
	return 0
}

// requeueUnsent queues a task again that was not sent to a peer.
func (c *Core) requeueUnsent(now time.Time, m *peerpb.Task) {
	id, ok := parseTaskID(m.Submission, m.Index)
	if !ok {
		return
	}
	next := c.table.RequeueUnstarted(now, id, ident.Attempt(m.Attempt))
	if next == nil {
		return
	}
	if sv := c.services[next.Service]; sv != nil {
		sv.queue.PushFront(next)
		c.dispatch(now, sv)
	}
}

// handlePeerMessage handles one message from a peer.
func (c *Core) handlePeerMessage(now time.Time, p ident.Process, m *peerpb.Message) {
	if c.links[p] == nil {
		// A peer that knows a successor of this process refuses the link, but
		// still reports ReplacedBy.
		if h := m.GetHeartbeat(); h.GetReplacedBy() != 0 {
			c.applyMemberChanges(now, c.members.HandleHeartbeat(now, member.Heartbeat{
				Process: p, ReplacedBy: ident.Incarnation(h.ReplacedBy)}))
		}
		return
	}
	switch b := m.Body.(type) {
	case *peerpb.Message_Heartbeat:
		c.handleHeartbeat(now, p, b.Heartbeat)
	case *peerpb.Message_LoadReport:
		c.handlePeerLoad(now, p, b.LoadReport.Load, nil)
	case *peerpb.Message_ConfigPush:
		c.updateConfig(now, b.ConfigPush.Revision, p)
	case *peerpb.Message_InstanceList:
		c.applyList(now, b.InstanceList.Version, instancesFrom(b.InstanceList))
	case *peerpb.Message_Forward:
		c.handleForward(now, p, b.Forward)
	case *peerpb.Message_ForwardReply:
		c.handleForwardReply(b.ForwardReply)
	case *peerpb.Message_Fetch:
		if id, err := ident.ParseSubmissionID(b.Fetch.Id); err == nil {
			c.handleFetch(now, Fetch{Ref: RequestRef{Peer: p, Request: b.Fetch.Request}, ID: id})
		}
	case *peerpb.Message_Cancel:
		if id, err := ident.ParseSubmissionID(b.Cancel.Id); err == nil {
			c.handleCancel(now, Cancel{Ref: RequestRef{Peer: p, Request: b.Cancel.Request}, ID: id})
		}
	case *peerpb.Message_Tasks:
		c.handleTasks(now, p, b.Tasks)
	case *peerpb.Message_TaskResults:
		c.handleTaskResults(now, p, b.TaskResults)
	case *peerpb.Message_Steal:
		c.handleSteal(now, p, b.Steal)
	case *peerpb.Message_ShareRequest:
		c.handleShareRequest(now, p, b.ShareRequest)
	case *peerpb.Message_ShareGrant:
		c.handleShareGrant(now, p, b.ShareGrant)
	case *peerpb.Message_CancelTasks:
		c.handleCancelTasks(p, b.CancelTasks)
	case *peerpb.Message_Holding:
		c.handleHolding(now, p, b.Holding)
	case *peerpb.Message_Goodbye:
		c.members.HandleGoodbye(now, p)
		c.links[p].draining = true
	}
}

// handleForward handles a submission that a peer got from a caller and
// forwarded to this process, its home.
func (c *Core) handleForward(now time.Time, p ident.Process, m *peerpb.Forward) {
	ref := RequestRef{Peer: p, Request: m.Request}
	s, err := submissionFrom(now, m.Submission)
	if err != nil {
		c.refuse(ref, fault.From(err))
		return
	}
	c.handleSubmit(now, Submit{Ref: ref, Submission: s, Digest: m.Submission.Digest})
}

func (c *Core) handleForwardReply(m *peerpb.ForwardReply) {
	f, ok := c.pendingForwards[m.Request]
	if !ok {
		return
	}
	delete(c.pendingForwards, m.Request)
	if m.Refusal != nil {
		c.refuse(f.ref, faultFrom(m.Refusal))
		return
	}
	a, err := answerFrom(m.Answer)
	if err != nil {
		c.refuse(f.ref, fault.From(err))
		return
	}
	c.reply(f.ref, a, nil)
}

// handleTasks queues tasks that a peer, their home, has delegated to this
// instance. Tasks that can't be queued here are returned as not started. A
// message that names a service instead of tasks is the empty answer to a steal
// request.
func (c *Core) handleTasks(now time.Time, p ident.Process, m *peerpb.Tasks) {
	if m.Service != "" {
		if sv := c.services[ident.Service(m.Service)]; sv != nil {
			c.allowNextSteal(sv, p, true)
		}
		return
	}
	updated := map[*service]bool{}
	for _, in := range m.Tasks {
		t, err := taskFrom(now, in, p)
		if err != nil {
			continue
		}
		sv := c.services[t.Service]
		if sv == nil || c.draining || c.replaced {
			c.returnTask(now, t, fault.Draining)
			continue
		}
		c.counters.Received++
		c.trackRemote(t)
		if !sv.queue.Push(t) {
			c.returnTask(now, t, fault.QueueFull)
			continue
		}
		updated[sv] = true
	}
	for sv := range updated {
		c.allowNextSteal(sv, p, false)
		c.dispatch(now, sv)
	}
}

// allowNextSteal allows the next steal request to a peer that has sent tasks or
// the empty answer to a steal request. It does not after an empty answer to a
// request that named limits.
func (c *Core) allowNextSteal(sv *service, p ident.Process, empty bool) {
	ps := sv.peers[p]
	if ps == nil {
		return
	}
	if empty {
		if ps.stealNamedLimits {
			// Tasks may wait there under the limits that are exhausted here, so
			// the next steal request is sent after stealTimeout or when units
			// are granted.
			return
		}
		ps.load.Queued = 0
	}
	ps.stealRequestedAt = time.Time{}
}

// handleCancelTasks removes the waiting tasks of a submission and aborts its
// calls, on request of its home.
func (c *Core) handleCancelTasks(p ident.Process, m *peerpb.CancelTasks) {
	id, err := ident.ParseSubmissionID(m.Submission)
	if err != nil || id.Home() != p {
		return
	}
	for name := range c.services {
		c.removeTasks(name, id, fault.Cancelled)
	}
}

// handleHeartbeat handles a peer's heartbeat. It sends the configuration and
// the platform's list to a peer with an older version. The list goes to a peer
// of another data centre only if it has none.
func (c *Core) handleHeartbeat(now time.Time, p ident.Process, m *peerpb.Heartbeat) {
	l := c.links[p]
	l.draining = m.Draining
	l.storeFailing = m.StoreFailing
	c.applyMemberChanges(now, c.members.HandleHeartbeat(now, member.Heartbeat{
		Process:     p,
		DataCentre:  l.dataCentre,
		Revision:    ident.Revision(m.ConfigRevision),
		ListVersion: m.ListVersion,
		Draining:    m.Draining,
		ReplacedBy:  ident.Incarnation(m.ReplacedBy),
	}))
	if by := c.members.ReplacedBy(p); by != 0 {
		c.sendHeartbeat(now, p, by)
	}
	c.handlePeerLoad(now, p, m.Load, c.heartbeatServices(ident.Revision(m.ConfigRevision)))
	c.pushConfig(now, p, l, ident.Revision(m.ConfigRevision))
	// Peers of other data centres get the list only when they have none: such a
	// peer may be the only instance of its data centre while the store is down.
	if m.ListVersion < c.members.ListVersion() && (m.ListVersion == 0 || l.dataCentre == c.cfg.DataCentre) {
		c.sendList(p)
	}
}

// pushConfig sends the configuration to a peer with an older revision, at most
// once per configPushInterval. A peerRevision of 0 means that it is unknown.
func (c *Core) pushConfig(now time.Time, p ident.Process, l *link, peerRevision ident.Revision) {
	current := c.configHolder.Revision()
	if current == nil || ident.Revision(current.Revision) <= peerRevision || now.Sub(l.configSentAt) < configPushInterval {
		return
	}
	l.configSentAt = now
	c.emit(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_ConfigPush{
		ConfigPush: &peerpb.ConfigPush{Revision: current}}}})
}

func (c *Core) sendList(p ident.Process) {
	c.emit(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_InstanceList{
		InstanceList: listMessage(c.members.ListVersion(), c.members.List())}}})
}

// sendHeartbeat sends the state of this instance to a peer. replacedBy is the
// incarnation that replaced the peer, or zero.
func (c *Core) sendHeartbeat(now time.Time, p ident.Process, replacedBy ident.Incarnation) {
	h := &peerpb.Heartbeat{
		Instance:     string(c.cfg.Self.Instance),
		Incarnation:  uint64(c.cfg.Self.Incarnation),
		ListVersion:  c.members.ListVersion(),
		Draining:     c.draining,
		StoreFailing: c.storeFailing(now),
		Load:         c.heartbeatLoads(now),
		ReplacedBy:   uint64(replacedBy),
	}
	if current := c.configHolder.Revision(); current != nil {
		h.ConfigRevision = current.Revision
	}
	c.emit(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: h}}})
}

func (c *Core) applyList(now time.Time, version uint64, rows []work.Instance) {
	changes, _ := c.members.SetList(now, version, rows)
	c.applyMemberChanges(now, changes)
}

// handleListRead handles the platform's list that this instance has read. A
// changed list gets the next version and is sent to the peers of the data
// centre.
func (c *Core) handleListRead(now time.Time, rows []work.Instance) {
	c.lastRead = now
	c.members.StoreAnswered(now)
	if sameInstances(rows, c.members.List()) {
		return
	}
	c.applyList(now, c.members.ListVersion()+1, rows)
	for p, l := range c.links {
		if l.dataCentre == c.cfg.DataCentre {
			c.sendList(p)
		}
	}
}

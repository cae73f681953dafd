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
	// storeFailing is true when the peer reads the store and gets no answer.
	storeFailing bool
	// pushed is when the configuration was last sent over the link.
	pushed time.Time
	// unconfirmed are the attempts that the peer had before this link.
	unconfirmed map[ident.TaskID]ident.Attempt
}

// pushInterval keeps a peer that is slow to report a new revision from being
// sent the configuration with each of its heartbeats.
const pushInterval = time.Second

func (c *Core) peerUp(now time.Time, ev PeerUp) {
	c.links[ev.Peer] = &link{
		dataCentre:  ev.DataCentre,
		unconfirmed: maps.Clone(c.table.Delegated(ev.Peer)),
	}
	c.changed(now, c.members.LinkUp(now, ev.Peer, ev.DataCentre, ev.Address))
	c.sendHeartbeat(now, ev.Peer, 0)
	c.resend(now, ev.Peer)
}

// peerDown takes the end of a link. Tasks that were sent stay out, since the
// peer may run them and report after it is linked again; those never sent wait
// again.
func (c *Core) peerDown(now time.Time, ev PeerDown) {
	delete(c.links, ev.Peer)
	c.changed(now, c.members.LinkDown(now, ev.Peer))
	for _, sv := range c.services {
		delete(sv.peers, ev.Peer)
	}
	for _, m := range ev.Unsent {
		c.unsent(now, ev.Peer, m)
	}
	for n, f := range c.forwards {
		if f.home == ev.Peer {
			delete(c.forwards, n)
			c.refuse(f.ref, c.homeFailure(f.home))
		}
	}
}

// unsent takes back a message that was never handed to a connection.
func (c *Core) unsent(now time.Time, p ident.Process, m *peerpb.Message) {
	if tasks := m.GetTasks(); tasks != nil {
		for _, t := range tasks.Tasks {
			c.takeBack(now, t)
		}
	}
	if results := m.GetTaskResults(); results != nil {
		c.keepResults(now, p, results.Results)
	}
	if request := forwardedRequest(m); request != 0 {
		if f, ok := c.forwards[request]; ok {
			delete(c.forwards, request)
			c.refuse(f.ref, c.homeFailure(f.home))
		}
	}
}

// forwardedRequest returns the number of a request passed on to its home, or
// zero for other messages.
func forwardedRequest(m *peerpb.Message) uint64 {
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

// takeBack queues a task again that did not reach a peer.
func (c *Core) takeBack(now time.Time, m *peerpb.Task) {
	id, ok := taskID(m.Submission, m.Index)
	if !ok {
		return
	}
	next := c.table.NotStarted(now, id, ident.Attempt(m.Attempt))
	if next == nil {
		return
	}
	if sv := c.services[next.Service]; sv != nil {
		sv.queue.PushFront(next)
		c.dispatch(now, sv)
	}
}

// message takes one message from a linked peer.
func (c *Core) message(now time.Time, p ident.Process, m *peerpb.Message) {
	if c.links[p] == nil {
		// A peer that refuses this process as replaced says so without a link.
		if h := m.GetHeartbeat(); h.GetReplacedBy() != 0 {
			c.changed(now, c.members.Heard(now, member.Heartbeat{
				Process: p, ReplacedBy: ident.Incarnation(h.ReplacedBy)}))
		}
		return
	}
	switch b := m.Body.(type) {
	case *peerpb.Message_Heartbeat:
		c.heartbeat(now, p, b.Heartbeat)
	case *peerpb.Message_LoadReport:
		c.peerLoad(now, p, b.LoadReport.Load, nil)
	case *peerpb.Message_ConfigPush:
		c.offerConfig(now, b.ConfigPush.Revision, p)
	case *peerpb.Message_InstanceList:
		c.takeList(now, b.InstanceList.Version, instancesFrom(b.InstanceList))
	case *peerpb.Message_Forward:
		c.forwarded(now, p, b.Forward)
	case *peerpb.Message_ForwardReply:
		c.forwardReplied(b.ForwardReply)
	case *peerpb.Message_Fetch:
		if id, err := ident.ParseSubmissionID(b.Fetch.Id); err == nil {
			c.fetch(now, Fetch{Ref: Ref{Peer: p, Request: b.Fetch.Request}, ID: id})
		}
	case *peerpb.Message_Cancel:
		if id, err := ident.ParseSubmissionID(b.Cancel.Id); err == nil {
			c.cancel(now, Cancel{Ref: Ref{Peer: p, Request: b.Cancel.Request}, ID: id})
		}
	case *peerpb.Message_Tasks:
		c.received(now, p, b.Tasks)
	case *peerpb.Message_TaskResults:
		c.resultsReceived(now, p, b.TaskResults)
	case *peerpb.Message_Steal:
		c.stolen(now, p, b.Steal)
	case *peerpb.Message_ShareRequest:
		c.shareRequested(now, p, b.ShareRequest)
	case *peerpb.Message_ShareGrant:
		c.shareGranted(now, p, b.ShareGrant)
	case *peerpb.Message_CancelTasks:
		c.cancelTasks(p, b.CancelTasks)
	case *peerpb.Message_Holding:
		c.holding(now, p, b.Holding)
	case *peerpb.Message_Goodbye:
		c.members.Goodbye(now, p)
		c.links[p].draining = true
	}
}

// forwarded takes a submission from the instance that the caller reached.
func (c *Core) forwarded(now time.Time, p ident.Process, m *peerpb.Forward) {
	ref := Ref{Peer: p, Request: m.Request}
	s, err := submissionFrom(now, m.Submission)
	if err != nil {
		c.refuse(ref, fault.From(err))
		return
	}
	c.submit(now, Submit{Ref: ref, Submission: s, Digest: m.Submission.Digest})
}

func (c *Core) forwardReplied(m *peerpb.ForwardReply) {
	f, ok := c.forwards[m.Request]
	if !ok {
		return
	}
	delete(c.forwards, m.Request)
	if m.Refusal != nil {
		c.refuse(f.ref, refusalFrom(m.Refusal))
		return
	}
	a, err := answerFrom(m.Answer)
	if err != nil {
		c.refuse(f.ref, fault.From(err))
		return
	}
	c.reply(f.ref, a, nil)
}

// received takes tasks to run for their home. Those that can't wait here are
// returned as not started.
func (c *Core) received(now time.Time, p ident.Process, m *peerpb.Tasks) {
	if m.Service != "" {
		if sv := c.services[ident.Service(m.Service)]; sv != nil {
			c.answeredSteal(sv, p, true)
		}
		return
	}
	touched := map[*service]bool{}
	for _, in := range m.Tasks {
		t, err := taskFrom(now, in, p)
		if err != nil {
			continue
		}
		sv := c.services[t.Service]
		if sv == nil || c.draining || c.replaced {
			c.giveBack(now, t, fault.Draining)
			continue
		}
		c.count.Received++
		c.hold(t)
		if !sv.queue.Push(t) {
			c.giveBack(now, t, fault.QueueFull)
			continue
		}
		touched[sv] = true
	}
	for sv := range touched {
		c.answeredSteal(sv, p, false)
		c.dispatch(now, sv)
	}
}

// answeredSteal allows the next steal from a peer.
func (c *Core) answeredSteal(sv *service, p ident.Process, empty bool) {
	ps := sv.peers[p]
	if ps == nil {
		return
	}
	if empty {
		if ps.lacked {
			// What waits there may need units that this instance lacks, so the
			// next steal comes only after stealTimeout, or when units came.
			return
		}
		ps.load.Queued = 0
	}
	ps.stealing = time.Time{}
}

// cancelTasks drops the tasks of a peer's submission.
func (c *Core) cancelTasks(p ident.Process, m *peerpb.CancelTasks) {
	id, err := ident.ParseSubmissionID(m.Submission)
	if err != nil || id.Home() != p {
		return
	}
	for name := range c.services {
		c.dropTasks(name, id, fault.Cancelled)
	}
}

// heartbeat takes a peer's heartbeat and brings a peer with an older
// configuration up to date.
func (c *Core) heartbeat(now time.Time, p ident.Process, m *peerpb.Heartbeat) {
	l := c.links[p]
	l.draining = m.Draining
	l.storeFailing = m.StoreFailing
	c.changed(now, c.members.Heard(now, member.Heartbeat{
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
	c.peerLoad(now, p, m.Load, c.heartbeatNames(ident.Revision(m.ConfigRevision)))
	c.pushConfig(now, p, l, ident.Revision(m.ConfigRevision))
	// A peer without a list may be the only instance of its data centre, and
	// the store may be down.
	if m.ListVersion < c.members.ListVersion() && (m.ListVersion == 0 || l.dataCentre == c.cfg.DataCentre) {
		c.sendList(p)
	}
}

// pushConfig sends the configuration to a peer with an older revision.
func (c *Core) pushConfig(now time.Time, p ident.Process, l *link, has ident.Revision) {
	current := c.holder.Current()
	if current == nil || ident.Revision(current.Revision) <= has || now.Sub(l.pushed) < pushInterval {
		return
	}
	l.pushed = now
	c.do(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_ConfigPush{
		ConfigPush: &peerpb.ConfigPush{Revision: current}}}})
}

func (c *Core) sendList(p ident.Process) {
	c.do(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_InstanceList{
		InstanceList: listMessage(c.members.ListVersion(), c.members.List())}}})
}

// sendHeartbeat tells a peer how this instance stands.
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
	if current := c.holder.Current(); current != nil {
		h.ConfigRevision = current.Revision
	}
	c.do(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: h}}})
}

func (c *Core) takeList(now time.Time, version uint64, rows []work.Instance) {
	changes, _ := c.members.SetList(now, version, rows)
	c.changed(now, changes)
}

// listed takes the platform's list as this instance read it.
func (c *Core) listed(now time.Time, rows []work.Instance) {
	c.lastRead = now
	c.members.ConfirmStore(now)
	if sameInstances(rows, c.members.List()) {
		return
	}
	c.takeList(now, c.members.ListVersion()+1, rows)
	for p, l := range c.links {
		if l.dataCentre == c.cfg.DataCentre {
			c.sendList(p)
		}
	}
}

package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/adapter/endpoint"
	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

// idPoolSize is the number of ids that are kept ready for the header
// Hornbeamlift-Next-Id. Unused ids are replaced at the age idMaxAge, well below
// the retention.
const (
	idPoolSize = 64
	idMaxAge   = time.Minute
)

// request is a caller's request that waits for a reply from the loop.
type request struct {
	event func(instance.RequestRef) instance.Event
	reply chan<- instance.Reply
}

// ask passes a caller's request to the loop and waits for the reply. The error
// is the reply's failure, fault.Cancelled when ctx ends first, or
// fault.Draining when the process stops first.
func (p *Process) ask(ctx context.Context, event func(instance.RequestRef) instance.Event) (instance.Reply, error) {
	// The buffer keeps the loop from blocking when the caller has disconnected.
	reply := make(chan instance.Reply, 1)
	cancelled := fault.New(fault.Cancelled, fault.RanUnknown).WithDetail("the caller's request ended")
	select {
	case p.requests <- request{event: event, reply: reply}:
	case <-ctx.Done():
		return instance.Reply{}, cancelled
	case <-p.callContext.Done():
		return instance.Reply{}, fault.New(fault.Draining, fault.RanUnknown)
	}
	select {
	case r := <-reply:
		if r.Failure != nil {
			return r, r.Failure
		}
		return r, nil
	case <-ctx.Done():
		return instance.Reply{}, cancelled
	case <-p.callContext.Done():
		return instance.Reply{}, fault.New(fault.Draining, fault.RanUnknown)
	}
}

// loop owns the control state. It handles ticks, events and callers' requests
// until ctx ends.
func (p *Process) loop(ctx context.Context) error {
	ticker := p.cfg.Clock.NewTicker(instance.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			p.handle(instance.Tick{})
			p.refreshPublished(p.cfg.Clock.Now())
		case ev := <-p.events:
			if f, ok := ev.(instance.CallFinished); ok {
				delete(p.calls, f.Call)
			}
			p.handle(ev)
		case r := <-p.requests:
			p.lastRequest++
			p.replies[p.lastRequest] = r.reply
			p.handle(r.event(instance.RequestRef{Request: p.lastRequest}))
		}
	}
}

// handle passes an event to the core and carries out the actions that the core
// returns. Messages that could not be sent are passed back to the core at once.
func (p *Process) handle(ev instance.Event) {
	defer p.publishLoads()
	pending := []instance.Event{ev}
	for len(pending) > 0 {
		ev, pending = pending[0], pending[1:]
		for _, a := range p.core.Handle(p.cfg.Clock.Now(), ev) {
			if failed := p.act(a); failed != nil {
				pending = append(pending, *failed)
			}
		}
	}
}

// act carries out one action. It returns a message that could not be sent, and
// else nil.
func (p *Process) act(a instance.Action) *instance.SendFailed {
	switch a := a.(type) {
	case instance.Reply:
		if reply := p.replies[a.Request]; reply != nil {
			delete(p.replies, a.Request)
			reply <- a
		}
	case instance.Send:
		if !p.mesh.Send(a.To.Instance, a.To.Incarnation, a.Control, a.Message) {
			return sendFailed(a)
		}
	case instance.StartCall:
		p.startCall(a)
	case instance.AbortCall:
		if cancel := p.calls[a.Call]; cancel != nil {
			cancel()
		}
	case instance.ReadStatus:
		go p.readStatus(a.Endpoint)
	case instance.RetireConnections:
		p.log.WithField("endpoint", a.Endpoint.ID).Warn("connections to endpoint stopped responding, opening new ones")
		go p.endpoints.RetireConnections(a.Endpoint)
	case instance.SetLinkTargets:
		p.mesh.SetTargets(p.targets(a.Targets))
	case instance.SetStoreReading:
		p.storeReader.setActive(a.Active)
	case instance.ReadShares:
		go p.readShares()
	case instance.WriteShares:
		go p.writeShares(a)
	case instance.PublishConfig:
		p.log.WithFields(logrus.Fields{
			"revision": a.Snapshot.Revision(),
			"sha256":   a.Snapshot.SHA256(),
		}).Info("configuration in force")
	case instance.Exit:
		p.exitReason <- a.Reason
	}
	return nil
}

// refreshPublished refills the pool of ids and refreshes the published
// readiness and, once a second, the status.
func (p *Process) refreshPublished(now time.Time) {
	if now.Sub(p.idsRefreshed) > idMaxAge {
		p.idsRefreshed = now
		for len(p.ids) > 0 {
			<-p.ids
		}
	}
	if n := idPoolSize - len(p.ids); n > idPoolSize/2 {
		for _, id := range p.core.NextIDs(now, n) {
			p.ids <- id
		}
	}
	p.ready.Store(p.core.Ready())
	if !now.Before(p.nextStatus) {
		p.nextStatus = now.Add(time.Second)
		p.publishStatus()
	}
}

// startCall starts the goroutine of a call to an endpoint.
func (p *Process) startCall(a instance.StartCall) {
	ctx, cancel := context.WithCancel(p.callContext)
	p.calls[a.Call] = cancel
	go p.runCall(ctx, cancel, a)
}

// runCall runs a task on an endpoint and posts the result to the loop.
func (p *Process) runCall(ctx context.Context, cancel context.CancelFunc, a instance.StartCall) {
	defer cancel()
	// The timeout is computed again, since the process may have been paused
	// since the core decided to start the call: a call must not outlast the
	// lease of the quota units that it uses.
	if a.Timeout = a.Deadline.Sub(p.cfg.Clock.Now()); a.Timeout <= 0 {
		p.post(instance.CallFinished{Call: a.Call, Result: work.Result{
			Task: a.Task.ID, Attempt: a.Task.Attempt, NotStarted: true,
			Failure: fault.New(fault.DeadlineExceeded, fault.RanNo),
		}})
		return
	}
	result := p.endpoints.RunTask(ctx, endpoint.Call{Instance: a.Endpoint, Task: a.Task, Timeout: a.Timeout})
	p.post(instance.CallFinished{Call: a.Call, Result: result})
}

// readStatus asks an endpoint for its status and posts the answer to the loop.
func (p *Process) readStatus(e work.Instance) {
	s, err := p.endpoints.Status(p.callContext, e)
	ev := instance.StatusRead{Endpoint: e, Slots: s.Slots, Busy: s.Busy, Draining: s.Draining, Running: s.Running}
	if err != nil {
		ev.Failure = fault.From(err)
	}
	p.post(ev)
}

// post queues an event for the loop. It blocks while the backlog is full, and
// drops the event once the process stops.
func (p *Process) post(ev instance.Event) {
	select {
	case p.events <- ev:
	case <-p.callContext.Done():
	}
}

// targets returns the peers that the mesh dials: the given instances of the
// platform's list, and the seeds.
func (p *Process) targets(instances []work.Instance) []peer.Target {
	var targets []peer.Target
	for _, inst := range instances {
		targets = append(targets, peer.Target{Instance: ident.InstanceID(inst.ID), Address: inst.Address})
	}
	return append(targets, p.cfg.Seeds...)
}

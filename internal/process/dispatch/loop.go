package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// loop owns the control state. It handles ticks and runs posted functions until
// ctx ends.
func (p *Process) loop(ctx context.Context) error {
	ticker := p.settings.Clock.NewTicker(p.settings.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			p.tick(p.checkPause(p.settings.Clock.Now()))
		case f := <-p.posts:
			f(p.checkPause(p.settings.Clock.Now()))
		}
	}
}

// checkPause detects that the process was paused or the machine suspended, and
// then tells the core how much of that time the monotonic clock did not count.
// It returns now.
func (p *Process) checkPause(now time.Time) time.Time {
	boot := p.settings.SinceBoot()
	monotonic, elapsed := now.Sub(p.lastMonotonic), boot-p.lastBoot
	first := p.lastMonotonic.IsZero()
	p.lastMonotonic, p.lastBoot = now, boot
	if first || max(monotonic, elapsed) < dispatcher.PauseLimit {
		return now
	}
	suspended := max(0, elapsed-monotonic)
	// Package logread matches this message.
	p.log.WithFields(logrus.Fields{"steady": monotonic.String(), "uncounted": suspended.String()}).Warn("the process was paused")
	p.configSync.syncer.HandlePause(suspended)
	p.applyActions(now, p.core.HandlePause(now, suspended))
	return now
}

// tick records the time since the last tick, runs the core's periodic work and
// logs the owner's state once per stateInterval.
func (p *Process) tick(now time.Time) {
	if !p.lastTick.IsZero() {
		p.counters.tickInterval.Update(now.Sub(p.lastTick).Seconds())
		p.sinceStateLog.maxTickInterval = max(p.sinceStateLog.maxTickInterval, now.Sub(p.lastTick))
	}
	p.lastTick = now
	p.applyActions(now, p.core.Tick(now))
	p.tickConfig(now)
	p.tickMembers(now)
	p.ownerKnown.Store(p.core.OwnerKnown())
	if p.core.IsOwner() && now.Sub(p.lastStateLog) >= stateInterval {
		p.lastStateLog = now
		p.logState(now)
	}
}

// stateInterval is the interval of the log lines about an owner's state.
const stateInterval = time.Second

// applyActions carries out the actions that the core returned. Calls to
// endpoints run in goroutines of their own.
func (p *Process) applyActions(now time.Time, actions []dispatcher.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Poll:
			go p.runPoll(a)
		case owner.Start:
			go p.runStart(a)
		case owner.Stop:
			go p.runStop(a)
		case owner.RunEvent:
			p.logRunEvent(a)
		case owner.TakeoverEvent:
			p.logTakeover(a)
		case owner.RefusalEvent:
			p.logRefusals(a)
		case home.Answer:
			p.deliverAnswer(a)
		case dispatcher.Send:
			p.send(a)
		case dispatcher.CloseLink:
			// Package logread matches this message.
			p.log.WithField("peer", a.Peer.Instance).Warn("peer is silent")
			p.mesh.CloseLink(a.Peer)
		case dispatcher.ReadEndpoints:
			p.requestListRead()
		case dispatcher.LayoutChanged:
			p.log.WithField("layout", a.Layout.String()).Info("division of the fleet has changed")
			p.selectTargets()
		case dispatcher.OwnerChanged:
			p.handleOwnerChange(now, a)
		case dispatcher.SteppedDown:
			p.counters.stepDowns.Inc()
			p.log.Warn("giving up the endpoints, since calls to them are late")
		case dispatcher.IsolationChanged:
			// This instance has become isolated, or no longer is.
			// Package logread matches this message.
			p.log.WithField("isolated", a.Isolated).Warn("isolation has changed")
		}
	}
}

// handleOwnerChange logs a change of the owner. When this instance is the new
// owner, it also counts the change in the metrics and makes runEndpointList
// read the list at once. Package logread matches both messages.
func (p *Process) handleOwnerChange(now time.Time, change dispatcher.OwnerChanged) {
	stats, age := p.core.Stats(now)
	entry := p.log.WithFields(logrus.Fields{
		"owner": change.Owner.Instance, "epoch": change.Epoch, "isolated": change.Isolated, "endpoints": stats.Endpoints,
		"list-age": age.Round(time.Millisecond).String(),
	})
	if change.Own {
		p.counters.takeovers.Inc()
		p.requestListRead()
		entry.Info("owning the endpoints")
		return
	}
	entry.Info("another instance owns the endpoints")
}

// deliverAnswer passes a job's answer to the requests that wait for it.
func (p *Process) deliverAnswer(a home.Answer) {
	p.logJobAnswered(a)
	for _, r := range a.Requests {
		if reply := p.replies[r]; reply != nil {
			delete(p.replies, r)
			reply <- a
		}
	}
}

func (p *Process) runPoll(poll owner.Poll) {
	result := p.ports.Endpoints.Poll(p.ctx, poll)
	p.logPoll(poll, result)
	p.post(func(now time.Time) { p.applyActions(now, p.core.HandlePollResult(now, &result)) })
}

func (p *Process) runStart(s owner.Start) {
	result := p.ports.Endpoints.Start(p.ctx, s)
	p.logStart(s, result)
	p.post(func(now time.Time) { p.applyActions(now, p.core.HandleCallResult(now, &result)) })
}

func (p *Process) runStop(s owner.Stop) {
	result := p.ports.Endpoints.Stop(p.ctx, s)
	p.post(func(now time.Time) { p.applyActions(now, p.core.HandleCallResult(now, &result)) })
}

package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// loop owns the control state.
func (p *Process) loop(ctx context.Context) error {
	ticker := p.set.Clock.NewTicker(p.set.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			p.tick(p.notice(p.set.Clock.Now()))
		case f := <-p.posts:
			f(p.notice(p.set.Clock.Now()))
		}
	}
}

// notice tells the core of a pause of the process, and returns now.
func (p *Process) notice(now time.Time) time.Time {
	boot := p.set.Boot()
	steady, elapsed := now.Sub(p.noticed), boot-p.booted
	first := p.noticed.IsZero()
	p.noticed, p.booted = now, boot
	if first || max(steady, elapsed) < dispatcher.PauseLimit {
		return now
	}
	uncounted := max(0, elapsed-steady)
	p.log.WithFields(logrus.Fields{"steady": steady.String(), "uncounted": uncounted.String()}).Warn("the process was paused")
	p.act(now, p.core.Paused(now, uncounted))
	return now
}

// tick does what is due.
func (p *Process) tick(now time.Time) {
	if !p.ticked.IsZero() {
		p.count.behind.Update(now.Sub(p.ticked).Seconds())
		p.load.behind = max(p.load.behind, now.Sub(p.ticked))
	}
	p.ticked = now
	p.act(now, p.core.Tick(now))
	p.owned.Store(p.core.Owned())
	if p.core.Owns() && now.Sub(p.told) >= stateInterval {
		p.told = now
		p.logState(now)
	}
}

// stateInterval is the interval of the lines about what an owner believes.
const stateInterval = time.Second

// act carries out what the core decided.
func (p *Process) act(now time.Time, actions []dispatcher.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Look:
			go p.runLook(a)
		case owner.Start:
			go p.runStart(a)
		case owner.Stop:
			go p.runStop(a)
		case owner.Note:
			p.logNote(a)
		case home.Answer:
			p.answer(a)
		case dispatcher.Send:
			p.send(a)
		case dispatcher.Retire:
			p.log.WithField("peer", a.Peer.Instance).Warn("peer is silent")
			p.mesh.Retire(a.Peer)
		case dispatcher.Following:
			p.follow(now, a)
		case dispatcher.Isolation:
			p.log.WithField("isolated", a.Isolated).Warn("the part of the fleet that is heard has changed")
		}
	}
}

// follow logs a change of the owner.
func (p *Process) follow(now time.Time, f dispatcher.Following) {
	stats, age := p.core.Stats(now)
	line := p.log.WithFields(logrus.Fields{
		"owner": f.Owner.Instance, "epoch": f.Epoch, "isolated": f.Isolated, "endpoints": stats.Endpoints,
		"list-age": age.Round(time.Millisecond).String(),
	})
	if f.Own {
		p.count.takeovers.Inc()
		select {
		case p.owning <- struct{}{}:
		default:
		}
		line.Info("owning the endpoints")
		return
	}
	line.Info("another instance owns the endpoints")
}

// answer ends the requests of a job.
func (p *Process) answer(a home.Answer) {
	p.logAnswer(a)
	for _, r := range a.Requests {
		if reply := p.wait[r]; reply != nil {
			delete(p.wait, r)
			reply <- a
		}
	}
}

func (p *Process) runLook(l owner.Look) {
	result := p.ports.Endpoints.Look(p.ctx, l)
	p.logLook(l, result)
	p.post(func(now time.Time) { p.act(now, p.core.Looked(now, &result)) })
}

func (p *Process) runStart(s owner.Start) {
	result := p.ports.Endpoints.Start(p.ctx, s)
	p.logStart(s, result)
	p.post(func(now time.Time) { p.act(now, p.core.Answered(now, &result)) })
}

func (p *Process) runStop(s owner.Stop) {
	result := p.ports.Endpoints.Stop(p.ctx, s)
	p.post(func(now time.Time) { p.act(now, p.core.Answered(now, &result)) })
}

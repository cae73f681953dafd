package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
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
			p.tick(p.set.Clock.Now())
		case f := <-p.posts:
			f(p.set.Clock.Now())
		}
	}
}

// tick does what is due.
func (p *Process) tick(now time.Time) {
	p.count.behind.Update(now.Sub(p.ticked).Seconds())
	p.ticked = now
	pulse, silent := p.view.Tick(now)
	for _, s := range silent {
		p.log.WithFields(logrus.Fields{"peer": s.Instance}).Warn("peer is silent")
		p.mesh.Retire(s)
		p.down(now, s, 0)
	}
	p.follow(now)
	p.pulse(pulse)
	for process, at := range p.lost {
		if !now.Before(at) {
			delete(p.lost, process)
			p.carryOut(now, p.pool.HomeLost(now, process))
		}
	}
	p.runActions(now, p.table.Tick(now))
	if p.pool.Active() {
		if !p.reclaim.IsZero() && !now.Before(p.reclaim) {
			p.reclaim = time.Time{}
			p.carryOut(now, p.pool.Reclaim(now))
		}
		p.carryOut(now, p.pool.Tick(now))
		p.view.Saw(p.pool.Epoch())
	}
}

// epochBase is subtracted from Unix seconds for the epoch of a process that
// knows no other, so that it exceeds those of earlier processes. A clock that
// was set back only costs looks until the fence is high enough.
const epochBase = 1_577_836_800 // 2020-01-01

// follow adopts the owner that the view shows.
func (p *Process) follow(now time.Time) {
	lead, known := p.view.Owner()
	isolated := p.view.Isolated()
	mine := known && lead == p.self
	switch {
	case mine && !p.pool.Active():
		epoch := max(p.view.Epoch()+1, uint64(max(0, now.Unix()-epochBase)))
		p.view.Saw(epoch)
		p.log.WithFields(logrus.Fields{"epoch": epoch, "isolated": isolated, "endpoints": len(p.list.endpoints), "list-age": now.Sub(p.list.at).String()}).
			Info("owning the endpoints")
		p.count.takeovers.Inc()
		p.carryOut(now, p.pool.Activate(now, owner.NewFence(epoch, p.unique), p.mine(now)))
	case !mine && p.pool.Active():
		p.log.WithField("owner", lead.Instance).Info("another instance owns the endpoints")
		p.pool.Deactivate()
	case mine && (isolated || p.busy):
		p.pool.Select(p.mine(now))
	}
	if isolated != p.busy {
		p.log.WithField("isolated", isolated).Warn("the part of the fleet that is heard has changed")
	}
	p.busy = isolated
	p.owned.Store(known)
	p.runActions(now, p.table.SetOwner(now, lead, known && (mine || p.view.Alive(lead))))
}

// mine returns the selection of the endpoints to own.
func (p *Process) mine(now time.Time) func(owner.Endpoint) bool {
	share := p.view.Mine(now)
	return func(e owner.Endpoint) bool { return share(e.ID, e.DataCentre) }
}

// pulse tells peers of this instance.
func (p *Process) pulse(to []ident.Process) {
	if len(to) == 0 {
		return
	}
	own := p.view.Own()
	body := &peerpb.Pulse{
		Seniority: int64(own.Seniority), Epoch: own.Epoch, Draining: own.Draining,
		ListAgeMs: uint32(min(p.set.Clock.Now().Sub(p.list.at).Milliseconds(), 1<<31)),
	}
	if c := p.config.Load(); c != nil {
		body.ConfigVersion = c.table.Version
	}
	m := &peerpb.Message{Body: &peerpb.Message_Pulse{Pulse: body}}
	for _, process := range to {
		p.send(process, true, m)
	}
}

// down takes the end of a link, or the silence of a peer. The tasks of its jobs
// end after grace, unless it is back by then.
func (p *Process) down(now time.Time, process ident.Process, grace time.Duration) {
	p.view.Down(process)
	p.table.Lost(process)
	p.lost[process] = now.Add(grace)
}

// runActions carries out what the table of jobs decided.
func (p *Process) runActions(now time.Time, actions []home.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case home.Place:
			if a.To == p.self {
				p.carryOut(now, p.pool.Place(now, p.self, a.Orders))
				continue
			}
			p.send(a.To, false, placeMessage(a.Orders))
		case home.Withdraw:
			if a.To == p.self {
				p.carryOut(now, p.pool.Withdraw(now, p.self, a.Job))
				continue
			}
			p.send(a.To, false, &peerpb.Message{Body: &peerpb.Message_WithdrawJob{WithdrawJob: &peerpb.WithdrawJob{Job: string(a.Job)}}})
		case home.Answer:
			p.answer(a)
		}
	}
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

// carryOut carries out what the owner's pool decided.
func (p *Process) carryOut(now time.Time, actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Look:
			go p.runLook(a)
		case owner.Start:
			go p.runStart(a)
		case owner.Stop:
			go p.runStop(a)
		case owner.Report:
			if a.To == p.self {
				p.runActions(now, p.table.Ends(now, p.self, a.Ends))
				continue
			}
			p.send(a.To, false, endsMessage(a.Ends))
		}
	}
}

func (p *Process) runLook(l owner.Look) {
	result := p.ports.Endpoints.Look(p.ctx, l)
	p.post(func(now time.Time) { p.carryOut(now, p.pool.Looked(now, &result)) })
}

func (p *Process) runStart(s owner.Start) {
	result := p.ports.Endpoints.Start(p.ctx, s)
	p.logStart(s, result)
	p.post(func(now time.Time) { p.carryOut(now, p.pool.Answered(now, &result)) })
}

func (p *Process) runStop(s owner.Stop) {
	result := p.ports.Endpoints.Stop(p.ctx, s)
	p.post(func(now time.Time) { p.carryOut(now, p.pool.Answered(now, &result)) })
}

// members returns the fleet for the view.
func members(list []Member) []leader.Member {
	out := make([]leader.Member, len(list))
	for i, m := range list {
		out[i] = leader.Member{Instance: m.Process.Instance, DataCentre: m.DataCentre}
	}
	return out
}

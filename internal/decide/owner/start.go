package owner

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Answered takes the result of a Start or Stop.
func (p *Pool) Answered(now time.Time, a *Answered) []Action {
	c, ok := p.calls[a.Call]
	delete(p.calls, a.Call)
	r := c.run
	if !ok || c.endpoint.find(r.id) != r {
		return nil
	}
	if a.Reply != Unknown && a.Reply != NotSent && !c.sent.IsZero() {
		p.answers.learn(now.Sub(c.sent))
	}
	t := r.task
	if a.Clock > 0 && a.Clock > r.endpoint.clock {
		r.endpoint.read(now, a.Clock)
	}
	if r.stopCall == a.Call {
		p.stopAnswered(now, r, a, c.overtaken())
	} else {
		p.startAnswered(now, r, a, c.overtaken())
	}
	if t != nil && t.queued {
		p.dispatchNew(now, []*batch{t.batch})
	}
	return p.flush()
}

func (p *Pool) startAnswered(now time.Time, r *run, a *Answered, overtaken bool) {
	e, t := r.endpoint, r.task
	if t != nil && (a.Reply == OK || a.Reply == Unknown) {
		t.ran = true
	}
	switch a.Reply {
	case OK:
		if r.phase == starting {
			r.phase = running
		}
		r.mark = max(r.mark, a.Clock)
		return
	case Unknown:
		// A look tells whether it was carried out.
		r.doubted, r.doubtedAt = true, now
		p.stats.StartsRefused++
		p.glance(now, e)
		return
	case Fenced:
		p.note(now, Yielded, r)
		p.remove(r)
		if t != nil {
			p.requeue(t)
		}
		if !overtaken {
			p.yield(now, e)
		}
		return
	}
	p.stats.StartsRefused++
	p.note(now, Declined, r)
	p.remove(r)
	if a.Reply != OldRun && a.Reply != Late {
		e.restUntil = now.Add(p.cfg.Cooldown)
		e.health.trial = true
	}
	if t == nil {
		return
	}
	if a.Reply == OldRun {
		t.nextRun += runsAfterOld
	}
	t.tries++
	if t.tries >= maxTries {
		p.finish(t, job.End{Run: r.id.run, Outcome: job.Refused, Endpoint: e.ID, RetryAfter: p.cfg.RetryAfter})
		return
	}
	p.requeue(t)
}

// stop ends a run. It occupies its room until it is gone.
func (p *Pool) stop(r *run) {
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	p.sendStop(r)
}

func (p *Pool) sendStop(r *run) {
	e := r.endpoint
	c := p.call(e)
	r.stopCall = c.Number
	p.calls[c.Number] = pending{endpoint: e, run: r, fence: c.Fence}
	p.stats.Stops++
	p.out = append(p.out, Stop{Call: c, Key: r.id.key, Run: r.id.run})
}

func (p *Pool) stopAnswered(now time.Time, r *run, a *Answered, overtaken bool) {
	r.stopCall = 0
	e := r.endpoint
	switch a.Reply {
	case OK:
		r.stopped, r.mark = true, max(r.mark, a.Clock)
		if e.look == 0 || r.doubted {
			// A run that never started has no end that a look could wait for.
			p.glance(now, e)
		}
	case Fenced:
		r.nextStop = now
		if !overtaken {
			p.yield(now, e)
		}
	default:
		r.nextStop = now.Add(p.cfg.StopRetry)
	}
}

const (
	// runsAfterOld is how far the number of a run rises when an endpoint knows
	// a later one, which an earlier home of the job started.
	runsAfterOld = 100
	// maxTries bounds the starts of one task that endpoints refuse.
	maxTries = 20
)

package owner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Pool is the state of an owner: its endpoints, what runs there, and the tasks
// that wait. While it is not active it only knows the list of endpoints.
type Pool struct {
	cfg    Config
	active bool
	fence  Fence
	// restUntil is when the pool may start tasks again after a pause.
	restUntil time.Time
	// mine selects the endpoints to own.
	mine      func(Endpoint) bool
	endpoints map[ident.EndpointID]*endpoint
	order     []*endpoint // by id, so that decisions repeat
	// listedAt is when the list was read.
	listedAt time.Time
	batches  map[batchID]*batch
	// jobs holds the batches of each job, from any home.
	jobs    map[job.ID][]*batch
	waiting []*task // by startBy
	// present holds the runs of each task that occupy an endpoint.
	present map[job.Key][]*run
	// inherited holds tasks that were done under an earlier owner.
	inherited map[job.Key]inherited
	calls     map[uint64]pending
	number    uint64
	// unsteady counts the endpoints that lately failed to answer a look.
	unsteady int
	answers  answerTime
	// probes counts the looks under way at endpoints that are not held.
	probes int
	// glancedAt is when all endpoints were last looked at for tasks of another
	// owner, and glanceDue is set when some have come since.
	glancedAt time.Time
	glanceDue bool
	ends      map[ident.Process][]job.End
	out       []Action
	stats     Stats
	// kinds holds the kinds of batches, and round counts the searches.
	kinds map[kindID]*kind
	round uint64
	// speeds learns the ratio of run time to estimate over like endpoints.
	speeds map[likeness]*speed
}

// pending is a call that is not answered yet: a look at an endpoint, or an order
// about a run.
type pending struct {
	endpoint *endpoint
	run      *run
	fence    Fence
	sent     time.Time
}

// overtaken reports whether the endpoint has obeyed a higher fence of this owner
// since the call, so that its refusal tells nothing.
func (c pending) overtaken() bool { return c.fence < c.endpoint.fence }

// New returns an inactive pool. It fails when cfg with its defaults is not
// valid.
func New(cfg Config) (*Pool, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	p := &Pool{cfg: cfg, endpoints: map[ident.EndpointID]*endpoint{}}
	p.clear()
	return p, nil
}

func (p *Pool) clear() {
	p.batches = map[batchID]*batch{}
	p.jobs = map[job.ID][]*batch{}
	p.waiting = nil
	p.present = map[job.Key][]*run{}
	p.inherited = map[job.Key]inherited{}
	p.calls = map[uint64]pending{}
	p.ends = map[ident.Process][]job.End{}
	p.speeds = map[likeness]*speed{}
	p.kinds = map[kindID]*kind{}
	p.probes, p.glancedAt, p.glanceDue = 0, time.Time{}, false
	for _, e := range p.endpoints {
		e.forget()
	}
}

// forget drops what an owner knows of an endpoint beyond its entry.
func (e *endpoint) forget() {
	*e = endpoint{Endpoint: e.Endpoint, missingFrom: e.missingFrom, speed: speed{ratio: 1}}
}

// Configure changes the settings. It fails, and changes nothing, when cfg with
// its defaults is not valid.
func (p *Pool) Configure(cfg Config) error {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return err
	}
	p.cfg = cfg
	return nil
}

// Active reports whether the pool owns endpoints.
func (p *Pool) Active() bool { return p.active }

// Epoch returns the highest epoch that the pool has used.
func (p *Pool) Epoch() uint64 { return p.fence.Epoch() }

// Paused keeps the pool from starting tasks until a time, since what it
// believes may be out of date after a pause of the process. Deadlines draw
// nearer by the time that the clock did not count.
func (p *Pool) Paused(until time.Time, uncounted time.Duration) {
	p.restUntil = until
	for _, b := range p.batches {
		b.deadline = b.deadline.Add(-uncounted)
	}
}

// SetEndpoints takes the list, which was read at a time. Endpoints without an
// entry are kept for a while, and while they run something.
func (p *Pool) SetEndpoints(now, read time.Time, list []Endpoint) []Action {
	p.listedAt = read
	listed := make(map[ident.EndpointID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		e := p.endpoints[entry.ID]
		if e == nil {
			e = &endpoint{Endpoint: entry}
			e.forget()
			e.fence = p.fence
			p.endpoints[entry.ID] = e
			p.order = append(p.order, e)
		}
		if e.Address != entry.Address {
			e.failures, e.nextLook = 0, time.Time{}
		}
		if e.Kind != entry.Kind || e.DataCentre != entry.DataCentre {
			e.like = nil
		}
		e.Endpoint = entry
		e.missingFrom = time.Time{}
	}
	p.order = slices.DeleteFunc(p.order, func(e *endpoint) bool {
		if listed[e.ID] {
			return false
		}
		if e.missingFrom.IsZero() {
			e.missingFrom = now
		}
		gone := len(e.runs) == 0 && now.Sub(e.missingFrom) >= p.cfg.KeepWait
		if gone {
			delete(p.endpoints, e.ID)
		}
		return gone
	})
	slices.SortFunc(p.order, func(a, b *endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return p.Tick(now)
}

// Tick does what is due: looks, stops, refusals and starts.
func (p *Pool) Tick(now time.Time) []Action {
	if p.active {
		p.glanceAll(now)
		p.unsteady = 0
		for _, e := range p.order {
			if now.Before(e.unsteadyUntil) {
				p.unsteady++
			}
		}
		for _, e := range p.order {
			p.tend(now, e)
		}
		p.expire(now)
		p.dispatch(now)
	}
	return p.flush()
}

// tend keeps the lease of an endpoint and what should stop there.
func (p *Pool) tend(now time.Time, e *endpoint) {
	switch wanted := p.mine(e.Endpoint) || len(e.runs) > 0; {
	case !wanted && e.hold == held:
		// Another owner may take it over unnoticed.
		e.hold, e.owned = unseen, false
	case wanted && e.look == 0 && !now.Before(e.nextLook) && (e.hold == held || p.probes < p.cfg.MaxProbes):
		p.lookAt(now, e)
	}
	if e.failures > 0 && len(e.runs) > 0 && e.lapsed(now, &p.cfg) {
		for _, r := range slices.Clone(e.runs) {
			p.lose(now, r, Lapsed)
		}
	}
	for _, r := range e.runs {
		if !r.claimed && r.phase != stopping && now.Sub(r.began) >= p.cfg.AdoptWait {
			p.stats.Unclaimed++
			p.note(now, Unclaimed, r)
			p.stop(r)
		}
		if r.phase == stopping && !r.stopped && r.stopCall == 0 && !now.Before(r.nextStop) {
			p.sendStop(r)
		}
	}
}

func (p *Pool) call(e *endpoint) Call {
	p.number++
	return Call{
		Number: p.number, Endpoint: e.ID, Address: e.Address, Fence: e.fence, Timeout: p.answers.limit(&p.cfg),
	}
}

// note tells of a decision about a run, before it is carried out.
func (p *Pool) note(now time.Time, event Event, r *run) {
	seen := time.Duration(-1)
	if !r.endpoint.seenAt.IsZero() {
		seen = now.Sub(r.endpoint.seenAt)
	}
	p.out = append(p.out, Note{
		Event: event, Key: r.id.key, Run: r.id.run, Endpoint: r.endpoint.ID, Age: now.Sub(r.began), Seen: seen, Wanted: r.task != nil,
	})
}

// lose removes a run that ended without a result.
func (p *Pool) lose(now time.Time, r *run, event Event) {
	t := r.task
	if t != nil || event == Lapsed {
		p.note(now, event, r)
	}
	p.remove(r)
	if t == nil {
		return
	}
	p.stats.Lost++
	p.requeue(t)
}

// remove frees what a run occupied.
func (p *Pool) remove(r *run) {
	e := r.endpoint
	e.runs = slices.DeleteFunc(e.runs, func(o *run) bool { return o == r })
	if r.claimed {
		e.used = e.used.Minus(r.room)
	} else {
		e.unclaimed--
	}
	if r.task != nil && r.task.run == r {
		r.task.run = nil
	}
	r.task = nil
	left := slices.DeleteFunc(p.present[r.id.key], func(o *run) bool { return o == r })
	if len(left) == 0 {
		delete(p.present, r.id.key)
		return
	}
	p.present[r.id.key] = left
}

// flush returns the actions and reports since the last call.
func (p *Pool) flush() []Action {
	out := p.out
	p.out = nil
	if len(p.ends) == 0 {
		return out
	}
	homes := slices.SortedFunc(maps.Keys(p.ends), func(a, b ident.Process) int {
		return cmp.Or(strings.Compare(string(a.Instance), string(b.Instance)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, to := range homes {
		out = append(out, Report{To: to, Ends: p.ends[to]})
	}
	clear(p.ends)
	return out
}

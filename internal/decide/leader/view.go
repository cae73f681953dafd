// Package leader decides which instance owns the endpoints. There is no
// election: each instance follows the most senior one that it hears, of those
// with enough processors. Fences at the endpoints keep two owners from doing
// harm while views differ, and an instance that hears only a minority of the
// fleet owns no more than its share of its own data centre's endpoints.
package leader

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Seniority orders instances; the lowest leads. It is the Unix time in
// milliseconds at which the process started or was last deposed.
type Seniority int64

// Config holds the settings of a View.
type Config struct {
	Self       ident.Process
	DataCentre ident.DataCentre
	// Processors is what this instance has, in thousandths of a core; zero means
	// that it is not known.
	Processors int64
	// Pulse is the interval of pulses between the leader, its successor and the
	// others. Slow is the interval between all others.
	Pulse time.Duration
	Slow  time.Duration
	// Silence is how long an instance that pulses may be silent.
	Silence time.Duration
	// Settle is how long a new process listens before it may lead.
	Settle time.Duration
	// Rejoin is how long a majority must be heard before an isolated instance
	// counts as part of it again. Links come back one by one after a cut.
	Rejoin time.Duration
	// Forget is how long a silent instance counts as part of the fleet while
	// the store cannot be read. ListFresh is the age up to which the store's
	// list decides instead.
	Forget    time.Duration
	ListFresh time.Duration
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.Pulse, 120*time.Millisecond)
	set(&c.Slow, 600*time.Millisecond)
	set(&c.Silence, 500*time.Millisecond)
	set(&c.Settle, 400*time.Millisecond)
	set(&c.Rejoin, time.Second)
	set(&c.Forget, time.Minute)
	set(&c.ListFresh, 5*time.Second)
	return c
}

// Validate returns a failure of kind fault.SettingsInvalid that names the
// first field that breaks a rule.
func (c Config) Validate() error {
	invalid := func(field, detail string) error {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail(detail)
	}
	switch {
	case c.Self.Instance == "":
		return invalid("self", "must name an instance")
	case c.Pulse <= 0 || c.Slow < c.Pulse:
		return invalid("pulse", "must be above 0 and at most slow")
	case c.Silence <= 2*c.Pulse:
		return invalid("silence", "must exceed two pulses")
	}
	return nil
}

// Pulse is what an instance says of itself.
type Pulse struct {
	Seniority Seniority
	// Processors is what the instance has, in thousandths of a core.
	Processors int64
	// Epoch is the highest epoch that the instance knows.
	Epoch    uint64
	Draining bool
	// Owner is the process that the instance takes for the owner of the
	// endpoints. It is empty while none is known.
	Owner ident.Process
}

// peer is another instance.
type peer struct {
	process    ident.Process
	dataCentre ident.DataCentre
	pulse      Pulse
	// pulsed is set once a pulse has arrived over the present link.
	pulsed bool
	linked bool
	heard  time.Time
	// listed is when the store last listed the instance.
	listed time.Time
	// sent is when the last pulse was sent to it.
	sent time.Time
}

// View is what one instance believes of the fleet.
type View struct {
	cfg       Config
	seniority Seniority
	draining  bool
	epoch     uint64
	peers     map[ident.InstanceID]*peer
	started   time.Time
	// listedAt is when the store's list was read. It named this instance, and so
	// all that started earlier, once enlisted is set.
	listedAt time.Time
	enlisted bool
	ticked   time.Time
	owner    ident.Process
	// asked is when the others were asked to answer, since the owner is gone, or
	// zero.
	asked time.Time
	// isolated is set while the instance hears only a minority, and for a while
	// after. minorityAt is when it last did.
	isolated   bool
	minorityAt time.Time
}

// Member is an instance that the store lists.
type Member struct {
	Instance   ident.InstanceID
	DataCentre ident.DataCentre
}

// New returns the view of a process that starts now. It fails when cfg with its
// defaults is not valid.
func New(now time.Time, cfg Config, seniority Seniority) (*View, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &View{cfg: cfg, seniority: seniority, peers: map[ident.InstanceID]*peer{}, started: now, ticked: now}, nil
}

// Own returns what this instance says of itself.
func (v *View) Own() Pulse {
	return Pulse{Seniority: v.seniority, Processors: v.cfg.Processors, Epoch: v.epoch, Draining: v.draining, Owner: v.owner}
}

// Epoch returns the highest epoch that is known.
func (v *View) Epoch() uint64 { return v.epoch }

// Saw raises the highest known epoch.
func (v *View) Saw(epoch uint64) { v.epoch = max(v.epoch, epoch) }

// Drain makes the instance unfit to lead.
func (v *View) Drain() { v.draining = true }

// Depose makes this instance the least senior, so that it does not lead again
// before the others.
func (v *View) Depose(s Seniority) { v.seniority = max(v.seniority, s) }

// Up takes a new link.
func (v *View) Up(now time.Time, p ident.Process, dc ident.DataCentre) {
	v.peers[p.Instance] = &peer{process: p, dataCentre: dc, linked: true, heard: now}
}

// Down takes the end of a link.
func (v *View) Down(p ident.Process) {
	if o := v.peers[p.Instance]; o != nil && o.process == p {
		o.linked, o.pulsed = false, false
	}
}

// Heard takes a pulse.
func (v *View) Heard(now time.Time, from ident.Process, pulse Pulse) {
	p := v.peers[from.Instance]
	if p == nil || p.process != from || !p.linked {
		return
	}
	p.pulse, p.pulsed, p.heard = pulse, true, now
	v.Saw(pulse.Epoch)
}

// Listed takes the instances that the store lists.
func (v *View) Listed(now time.Time, members []Member) {
	v.listedAt = now
	for _, m := range members {
		if m.Instance == v.cfg.Self.Instance {
			v.enlisted = true
			continue
		}
		p := v.peers[m.Instance]
		if p == nil {
			p = &peer{process: ident.Process{Instance: m.Instance}, dataCentre: m.DataCentre}
			v.peers[m.Instance] = p
		}
		p.listed = now
	}
}

// Owner returns the process that owns the endpoints in this view, and whether
// it is known yet.
func (v *View) Owner() (ident.Process, bool) { return v.owner, v.owner.Instance != "" }

// Isolated reports whether this instance hears only a minority of the fleet.
func (v *View) Isolated() bool { return v.isolated }

// Alive reports whether the process is linked and heard.
func (v *View) Alive(p ident.Process) bool {
	o := v.peers[p.Instance]
	return o != nil && o.process == p && o.linked
}

// Peers returns the live peers in the order of their ids.
func (v *View) Peers() []ident.Process {
	var list []ident.Process
	for _, p := range v.peers {
		if p.linked {
			list = append(list, p.process)
		}
	}
	slices.SortFunc(list, func(a, b ident.Process) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}

// Tick judges the peers and returns those that are to get a pulse now, and
// those that fell silent since the last Tick.
func (v *View) Tick(now time.Time) (pulse, silent []ident.Process) {
	// A process that was paused must read what waits before it judges others.
	if gap := now.Sub(v.ticked); gap > 2*v.cfg.Pulse {
		for _, p := range v.peers {
			if p.heard = p.heard.Add(gap); p.heard.After(now) {
				p.heard = now
			}
		}
	}
	v.ticked = now
	ids := slices.Sorted(maps.Keys(v.peers))
	for _, id := range ids {
		p := v.peers[id]
		if p.linked && now.Sub(p.heard) > v.allowed(p) {
			p.linked, p.pulsed = false, false
			silent = append(silent, p.process)
		}
		if !p.linked && !v.known(now, p) {
			delete(v.peers, id)
		}
	}
	silent = append(silent, v.succeed(now)...)
	first, second := v.rank()
	if v.settled(now) && v.owner != first && v.asked.IsZero() {
		v.owner = first
		v.excuse(now)
	}
	v.judgeIsolation(now)
	for _, id := range ids {
		p := v.peers[id]
		if p == nil || !p.linked {
			continue
		}
		// The interval is short from the moment that one side proves to lead.
		if v.asked.Equal(now) || now.Sub(p.sent) >= v.interval(p.process, first, second) {
			p.sent = now
			pulse = append(pulse, p.process)
		}
	}
	return pulse, silent
}

// judgeIsolation takes note of a minority at once, and of a majority after a
// while, but for a new process, which hears the others for the first time.
func (v *View) judgeIsolation(now time.Time) {
	minority := v.minority(now)
	fresh := now.Sub(v.started) < 2*v.cfg.Settle
	if minority && !fresh {
		v.minorityAt = now
	}
	v.isolated = minority || now.Sub(v.minorityAt) < v.cfg.Rejoin
}

// settled reports whether this instance has heard enough to follow an owner:
// all instances that the store lists, or as many as answer in the settling time.
func (v *View) settled(now time.Time) bool {
	if v.owner.Instance != "" || now.Sub(v.started) >= v.cfg.Settle {
		return true
	}
	if !v.enlisted {
		return false
	}
	for _, p := range v.peers {
		if !p.pulsed && p.listed.Equal(v.listedAt) {
			return false
		}
	}
	return true
}

// excuse gives peers that pulsed at the long interval until now the time for a
// pulse at the short one.
func (v *View) excuse(now time.Time) {
	for _, p := range v.peers {
		if soon := now.Add(-v.cfg.Silence / 2); p.heard.Before(soon) {
			p.heard = soon
		}
	}
}

// allowed returns how long a peer may be silent.
func (v *View) allowed(p *peer) time.Duration {
	if v.fast(p.process, v.owner) {
		return v.cfg.Silence
	}
	return 4 * v.cfg.Slow
}

// fast reports whether this instance and p exchange pulses at the short
// interval because one of them leads.
func (v *View) fast(p, owner ident.Process) bool {
	return owner.Instance != "" && (p == owner || owner == v.cfg.Self)
}

func (v *View) interval(p, first, second ident.Process) time.Duration {
	if v.fast(p, first) || v.fast(p, second) {
		return v.cfg.Pulse
	}
	return v.cfg.Slow
}

// known reports whether an instance counts as part of the fleet.
func (v *View) known(now time.Time, p *peer) bool {
	switch {
	case p.linked:
		return true
	case now.Sub(v.listedAt) <= v.cfg.ListFresh:
		return p.listed.Equal(v.listedAt)
	}
	return now.Sub(p.listed) <= v.cfg.Forget || now.Sub(p.heard) <= v.cfg.Forget
}

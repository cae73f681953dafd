// Package leader decides which instance is the leader of the fleet. The leader
// owns the endpoints, that is, it starts tasks on them and renews their leases,
// and is therefore called the owner as well: this package says leader where it
// ranks instances, and owner for the process that a view has settled on. There
// is no election: each instance follows the most senior instance with enough
// processors that it is linked to. The views of instances may differ for a
// while, so there may be two owners. Endpoints then refuse calls whose fence,
// the number that orders owners, is lower than the highest that they have seen.
// An instance that is linked only to a minority of the fleet owns no more than
// a share of the endpoints; see View.OwnershipFilter.
package leader

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
)

// Seniority orders instances: the one with the lowest value is the most senior;
// View.rank also considers draining and processors. It is the Unix time in
// milliseconds at which the process started or was last demoted.
type Seniority int64

// Config holds the settings of a View.
type Config struct {
	Self       ident.Process
	DataCentre ident.DataCentre
	// Strength is that of this instance.
	Strength group.Strength
	// HeartbeatInterval, the short interval, applies on the links to the
	// instance that is to lead and to its successor, which is ranked second.
	// SlowHeartbeatInterval, the slow interval, applies on all other links.
	HeartbeatInterval     time.Duration
	SlowHeartbeatInterval time.Duration
	// HeartbeatTimeout applies between the owner and its peers, which exchange
	// heartbeats at the short interval. Between all others, the timeout is four
	// slow intervals.
	HeartbeatTimeout time.Duration
	// SettleTime is how long a new process waits for heartbeats of other
	// instances before it chooses an owner. It waits no longer once it has
	// heard from every instance that the store lists.
	SettleTime time.Duration
	// RejoinDelay is how long an isolated instance must be linked to a majority
	// before it stops being isolated, and how long an instance waits for a link
	// to the owner that its own one has yielded to. After a network partition,
	// links come back one by one, so a majority may be linked only for a moment.
	RejoinDelay time.Duration
	// MemberExpiry is how long an instance without a link counts as part of the
	// fleet while the store cannot be read. MaxListAge is the greatest age at
	// which the store's list of instances is used instead.
	MemberExpiry time.Duration
	MaxListAge   time.Duration
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.HeartbeatInterval, 120*time.Millisecond)
	set(&c.SlowHeartbeatInterval, 600*time.Millisecond)
	set(&c.HeartbeatTimeout, 500*time.Millisecond)
	set(&c.SettleTime, 400*time.Millisecond)
	set(&c.RejoinDelay, time.Second)
	set(&c.MemberExpiry, time.Minute)
	set(&c.MaxListAge, 5*time.Second)
	return c
}

// Validate returns an error of kind fault.SettingsInvalid for the first invalid
// field. The error names Self "self", the heartbeat intervals
// "heartbeat-interval" and HeartbeatTimeout "heartbeat-timeout".
func (c Config) Validate() error {
	invalid := func(field, detail string) error {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail(detail)
	}
	switch {
	case c.Self.Instance == "":
		return invalid("self", "must name an instance")
	case c.HeartbeatInterval <= 0 || c.SlowHeartbeatInterval < c.HeartbeatInterval:
		return invalid("heartbeat-interval", "the heartbeat interval must be above 0 and no longer than the slow heartbeat interval")
	case c.HeartbeatTimeout <= 2*c.HeartbeatInterval:
		return invalid("heartbeat-timeout", "the heartbeat timeout must exceed two heartbeat intervals")
	}
	return nil
}

// Heartbeat is the state that an instance reports to its peers.
type Heartbeat struct {
	Seniority Seniority
	// Processors is the processor capacity of the instance, in thousandths of a
	// core. Zero means unknown.
	Processors int64
	// Epoch is the highest epoch that the instance has seen. An epoch is the
	// upper part of a fence; a new owner takes a higher one.
	Epoch    uint64
	Draining bool
	// Owner is the process that the instance considers the owner of the
	// endpoints. It is empty while no owner is known.
	Owner ident.Process
	// Followers is the number of instances that follow Owner, Owner included,
	// as far as the instance knows.
	Followers int
}

// peer is what is known of another instance: one that is linked, or that the
// store has listed, or that was linked before. It is removed when it no longer
// counts as part of the fleet; see View.inFleet.
type peer struct {
	process    ident.Process
	dataCentre ident.DataCentre
	heartbeat  Heartbeat
	// hasHeartbeat is set once a heartbeat has arrived over the current link.
	hasHeartbeat bool
	linked       bool
	// unheard is set if the peer has not sent a heartbeat since a check of the
	// peers that it did not answer.
	unheard bool
	// lastHeard is when the link came up or the last heartbeat arrived. It is
	// set to a later time after a pause of this process and for a grace period,
	// so that the peer does not time out.
	lastHeard time.Time
	// pauseCredited is set once a pause of this process has been added to lastHeard,
	// until the next heartbeat: a series of pauses must not keep a lost peer
	// linked.
	pauseCredited bool
	// lastListed is when the store last listed the instance.
	lastListed time.Time
	// lastSent is when the last heartbeat was sent to the peer.
	lastSent time.Time
}

// View is the state of the fleet as one instance sees it. The fleet consists of
// this instance and the peers that inFleet selects.
type View struct {
	cfg       Config
	seniority Seniority
	draining  bool
	epoch     uint64
	peers     map[ident.InstanceID]*peer
	started   time.Time
	// listedAt is when the store's list of instances was last read. selfListed
	// is set once the list has named this instance. Instances register when
	// they start, so a list that names this instance also names all that
	// started earlier.
	listedAt   time.Time
	selfListed bool
	lastTick   time.Time
	owner      ident.Process
	// peerCheckStarted is when the current check of the peers started because
	// the link to the owner was lost, or zero if there is no check.
	peerCheckStarted time.Time
	// isolated is set while the instance is linked only to a minority of the
	// fleet, and for Config.RejoinDelay after that. lastMinority is when it was
	// last linked only to a minority.
	isolated     bool
	lastMinority time.Time
	// yieldedAt is since when awaitsSuccessor has held, or zero.
	yieldedAt time.Time
	// held is set while no owner may be chosen; see Hold.
	held bool
	// late says how long this instance has been late as the owner, and
	// handedOverAt when the owner last changed although the one before it was
	// linked; see StepDown.
	late         lateness
	handedOverAt time.Time
}

// Member is an instance that the store lists. Peers that are linked count as
// part of the fleet even if the store does not list them.
type Member struct {
	Instance   ident.InstanceID
	DataCentre ident.DataCentre
	// Strength bounds the endpoints that the instance can own.
	Strength group.Strength
}

// New returns the view of a process that starts now. It returns the error of
// Config.Validate when cfg with its defaults is invalid.
func New(now time.Time, cfg Config, seniority Seniority) (*View, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &View{cfg: cfg, seniority: seniority, peers: map[ident.InstanceID]*peer{}, started: now, lastTick: now}, nil
}

// OwnHeartbeat returns the heartbeat of this instance.
func (v *View) OwnHeartbeat() Heartbeat {
	return Heartbeat{Seniority: v.seniority, Processors: v.cfg.Strength.Processors, Epoch: v.epoch, Draining: v.draining, Owner: v.owner, Followers: v.followers()}
}

// Epoch returns the highest epoch seen so far.
func (v *View) Epoch() uint64 { return v.epoch }

// ObserveEpoch records an epoch that was seen elsewhere.
func (v *View) ObserveEpoch(epoch uint64) { v.epoch = max(v.epoch, epoch) }

// Drain marks this instance as draining, so that it leads only if all instances
// are draining.
func (v *View) Drain() { v.draining = true }

// Demote makes this instance less senior: it sets the Seniority to s, unless
// the present value is higher. Instances with a lower value then rank before
// it.
func (v *View) Demote(s Seniority) { v.seniority = max(v.seniority, s) }

// Hold keeps this instance from choosing a first owner until it is called with
// false, or until twice the settle time has passed.
func (v *View) Hold(held bool) { v.held = held }

// RemovePeer removes an instance that is no longer in the group of this one.
func (v *View) RemovePeer(id ident.InstanceID) { delete(v.peers, id) }

// HandleLinkUp records a new link to p, which replaces an earlier link to its
// instance.
func (v *View) HandleLinkUp(now time.Time, p ident.Process, dc ident.DataCentre) {
	v.peers[p.Instance] = &peer{process: p, dataCentre: dc, linked: true, lastHeard: now}
}

// HandleLinkDown records that the link to p ended.
func (v *View) HandleLinkDown(p ident.Process) {
	if o := v.peers[p.Instance]; o != nil && o.process == p {
		o.linked, o.hasHeartbeat = false, false
	}
}

// HandleHeartbeat records a heartbeat. It ignores processes without a link.
func (v *View) HandleHeartbeat(now time.Time, from ident.Process, heartbeat Heartbeat) {
	p := v.peers[from.Instance]
	if p == nil || p.process != from || !p.linked {
		return
	}
	p.heartbeat, p.hasHeartbeat, p.unheard, p.pauseCredited, p.lastHeard = heartbeat, true, false, false, now
	v.ObserveEpoch(heartbeat.Epoch)
	v.yieldTo(now, p)
}

// SetMembers records the instances that the store lists.
func (v *View) SetMembers(now time.Time, members []Member) {
	v.listedAt = now
	for _, m := range members {
		if m.Instance == v.cfg.Self.Instance {
			v.selfListed = true
			continue
		}
		p := v.peers[m.Instance]
		if p == nil {
			p = &peer{process: ident.Process{Instance: m.Instance}, dataCentre: m.DataCentre}
			v.peers[m.Instance] = p
		}
		p.lastListed = now
	}
}

// Owner returns the process that owns the endpoints according to this view, and
// whether an owner is known yet.
func (v *View) Owner() (ident.Process, bool) { return v.owner, v.owner.Instance != "" }

// SinceTick returns the time since the latest Tick.
func (v *View) SinceTick(now time.Time) time.Duration { return now.Sub(v.lastTick) }

// HeartbeatTimeout returns the time after which peers replace a silent owner.
func (v *View) HeartbeatTimeout() time.Duration { return v.cfg.HeartbeatTimeout }

// Isolated reports whether this instance is linked only to a minority of the
// fleet, or was so within the last Config.RejoinDelay.
func (v *View) Isolated() bool { return v.isolated }

// Linked reports whether there is a link to the process that has not timed out.
func (v *View) Linked(p ident.Process) bool {
	o := v.peers[p.Instance]
	return o != nil && o.process == p && o.linked
}

// Peers returns the linked peers in the order of their instance ids.
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

// Tick marks peers whose heartbeats have timed out as not linked, and updates
// the owner. It returns the peers to send a heartbeat to now, and the peers
// that timed out since the last Tick.
func (v *View) Tick(now time.Time) (due, timedOut []ident.Process) {
	// After a pause of this process, heartbeats may be waiting to be read. The
	// pause does not count against the peers' timeouts.
	if gap := now.Sub(v.lastTick); gap > 2*v.cfg.HeartbeatInterval {
		for _, p := range v.peers {
			if p.pauseCredited {
				continue
			}
			p.pauseCredited = p.lastHeard.Before(now)
			if p.lastHeard = p.lastHeard.Add(gap); p.lastHeard.After(now) {
				p.lastHeard = now
			}
		}
	}
	v.lastTick = now
	ids := slices.Sorted(maps.Keys(v.peers))
	for _, id := range ids {
		p := v.peers[id]
		if p.linked && now.Sub(p.lastHeard) > v.timeout(p) {
			p.linked, p.hasHeartbeat = false, false
			timedOut = append(timedOut, p.process)
		}
		if !p.linked && !v.inFleet(now, p) {
			delete(v.peers, id)
		}
	}
	timedOut = append(timedOut, v.checkPeers(now)...)
	first, second := v.rank()
	if v.settled(now) && v.owner != first && v.peerCheckStarted.IsZero() && !v.awaitsSuccessor(now) {
		v.noteHandover(now)
		v.owner = first
		v.startGracePeriod(now)
	}
	v.updateIsolated(now)
	for _, id := range ids {
		p := v.peers[id]
		if p == nil || !p.linked {
			continue
		}
		// A new check of the peers sends heartbeats to all of them at once.
		if v.peerCheckStarted.Equal(now) || now.Sub(p.lastSent) >= v.interval(p.process, first, second) {
			p.lastSent = now
			due = append(due, p.process)
		}
	}
	return due, timedOut
}

// updateIsolated sets isolated at once when this instance is in a minority, and
// clears it only after Config.RejoinDelay. A minority during the first two
// settle times of a process does not start this delay, because its links come
// up for the first time then.
func (v *View) updateIsolated(now time.Time) {
	inMinority := v.inMinority(now)
	starting := now.Sub(v.started) < 2*v.cfg.SettleTime
	if inMinority && !starting {
		v.lastMinority = now
	}
	v.isolated = inMinority || now.Sub(v.lastMinority) < v.cfg.RejoinDelay
}

// settled reports whether this instance may choose an owner. It may once it has
// chosen one before, after Config.SettleTime unless it is held, or when the
// store has listed this instance and all others on its latest list have sent
// heartbeats.
func (v *View) settled(now time.Time) bool {
	if v.owner.Instance != "" || now.Sub(v.started) >= 2*v.cfg.SettleTime {
		return true
	}
	if v.held {
		return false
	}
	if now.Sub(v.started) >= v.cfg.SettleTime {
		return true
	}
	if !v.selfListed {
		return false
	}
	for _, p := range v.peers {
		if !p.hasHeartbeat && p.lastListed.Equal(v.listedAt) {
			return false
		}
	}
	return true
}

// startGracePeriod gives peers a grace period of half the heartbeat timeout
// after a change of owner. Peers that sent heartbeats at the slow interval
// until now need time to send one at the short interval.
func (v *View) startGracePeriod(now time.Time) {
	for _, p := range v.peers {
		if earliest := now.Add(-v.cfg.HeartbeatTimeout / 2); p.lastHeard.Before(earliest) {
			p.lastHeard = earliest
		}
	}
}

// timeout returns the heartbeat timeout of a peer: Config.HeartbeatTimeout if
// the peer or this instance is the owner, and four slow intervals otherwise.
func (v *View) timeout(p *peer) time.Duration {
	if v.linkInvolves(p.process, v.owner) {
		return v.cfg.HeartbeatTimeout
	}
	return 4 * v.cfg.SlowHeartbeatInterval
}

// linkInvolves reports whether the given process is at one end of the link to
// p, that is, whether it is this instance or p. It is false if the process is
// empty, that is, unknown.
func (v *View) linkInvolves(p, process ident.Process) bool {
	return process.Instance != "" && (p == process || process == v.cfg.Self)
}

// interval returns the interval of heartbeats to p: the short one if p or this
// instance is ranked first or second as leader, and the slow one otherwise.
func (v *View) interval(p, first, second ident.Process) time.Duration {
	if v.linkInvolves(p, first) || v.linkInvolves(p, second) {
		return v.cfg.HeartbeatInterval
	}
	return v.cfg.SlowHeartbeatInterval
}

// inFleet reports whether a peer counts as part of the fleet: it is linked, a
// fresh list of the store names it, or, without a fresh list, it was listed or
// heard from within Config.MemberExpiry.
func (v *View) inFleet(now time.Time, p *peer) bool {
	switch {
	case p.linked:
		return true
	case now.Sub(v.listedAt) <= v.cfg.MaxListAge:
		return p.lastListed.Equal(v.listedAt)
	}
	return now.Sub(p.lastListed) <= v.cfg.MemberExpiry || now.Sub(p.lastHeard) <= v.cfg.MemberExpiry
}

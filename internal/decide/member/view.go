// Package member decides which processes of the fleet are alive and which
// instance owns which endpoint. Here each endpoint has an owner of its own; in
// package leader, one owner has all endpoints. It uses no goroutine, socket or
// clock: the caller passes the current time in.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// State is the state of a process as one view knows it.
type State uint8

// The states of a process.
const (
	// Unknown means that the view has no record of the process, or removed it.
	Unknown State = iota
	// Alive means that its heartbeats arrive.
	Alive
	// Suspect means that heartbeats are missing, that its link is down, or that
	// it is known so far only from the platform's list of instances (SetList).
	Suspect
	// Dead means that it missed the configured number of heartbeats. It is
	// alive again as soon as a heartbeat or connection from it arrives.
	Dead
	// Replaced means that a higher incarnation of its instance is known.
	Replaced
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Replaced:
		return "replaced"
	default:
		return "unknown"
	}
}

// Heartbeat holds the state that a peer reports of itself, and ReplacedBy,
// which is about the receiver. An empty DataCentre or Address leaves the known
// value unchanged.
type Heartbeat struct {
	Process     ident.Process
	DataCentre  ident.DataCentre
	Address     string
	Revision    ident.Revision
	ListVersion uint64
	Draining    bool
	// ReplacedBy is the higher incarnation of the receiver's instance that the
	// sender knows, or zero when it knows none.
	ReplacedBy ident.Incarnation
}

// StateChange is a change of state of one process.
type StateChange struct {
	Process    ident.Process
	DataCentre ident.DataCentre
	Address    string
	From, To   State
}

// Member describes one member of the fleet for status and routing.
type Member struct {
	Process    ident.Process
	DataCentre ident.DataCentre
	Address    string
	State      State
	Draining   bool
	// Listed says whether the newest list has the instance, in any incarnation,
	// and does not mark it as leaving.
	Listed bool
	// Revision is the highest revision of the configuration, and ListVersion
	// the highest version of the list, that the member has reported.
	Revision    ident.Revision
	ListVersion uint64
	// LastHeard is when the last heartbeat or connection of the member arrived,
	// or when it was first listed. A pause of this process moves it forward.
	LastHeard time.Time
}

// View is one instance's view of the fleet. It is not safe for concurrent use.
type View struct {
	cfg      Config
	start    time.Time
	lastTick time.Time
	// resumedAt is when the end of a pause was detected. It is zero if there
	// was no pause, or if the process was confirmed since: a peer or the store
	// answered, so that this process would know if it had been replaced.
	resumedAt time.Time
	replaced  bool
	draining  bool

	members   map[ident.InstanceID]*peer
	sorted    []*peer // sorted by instance id
	deadCount int     // number of dead members

	list        []work.Instance
	listVersion uint64
	entryRows   map[ident.InstanceID]work.Instance // rows of entry instances in list

	version   uint64
	ownership ownership
}

// peer is the newest known process of another instance.
type peer struct {
	Member
	linkDown      bool
	announcedExit bool
	nextHeartbeat time.Time     // when the next heartbeat to it is due
	deadSince     time.Time     // when it was last marked dead
	phase         time.Duration // offset of its heartbeats within the interval
}

// NewView returns a view that knows only its own process. It returns the error
// of Config.Validate when cfg with its defaults is not valid.
func NewView(cfg Config, now time.Time) (*View, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &View{
		cfg:       cfg,
		start:     now,
		lastTick:  now,
		members:   map[ident.InstanceID]*peer{},
		entryRows: map[ident.InstanceID]work.Instance{},
		version:   1,
	}, nil
}

// Version returns a number that rises with each change of the membership or the
// list, so that a caller can tell whether the view has changed since an earlier
// call.
func (v *View) Version() uint64 { return v.version }

// Replaced reports whether a higher incarnation of this process's instance is
// known. The process must then start no more work.
func (v *View) Replaced() bool { return v.replaced }

// SetDraining marks this process as draining: it owns no endpoints from now on,
// unless all members of its data centre are draining.
func (v *View) SetDraining() {
	if !v.draining {
		v.draining = true
		v.invalidateOwners()
	}
}

// HandleHeartbeat handles a heartbeat. A heartbeat of a lower incarnation than
// the known one does not change the member; the caller answers it with the
// result of View.ReplacedBy.
func (v *View) HandleHeartbeat(now time.Time, hb Heartbeat) []StateChange {
	if hb.ReplacedBy > v.cfg.Self.Incarnation {
		v.replaced = true
	}
	e, changes := v.recordHeard(now, hb.Process, hb.DataCentre, hb.Address)
	if e == nil {
		return changes
	}
	e.Revision = max(e.Revision, hb.Revision)
	e.ListVersion = max(e.ListVersion, hb.ListVersion)
	if draining := hb.Draining || e.announcedExit; draining != e.Draining {
		e.Draining = draining
		v.invalidateOwners()
	}
	return changes
}

// HandleLinkUp handles a new connection, which proves that the process is
// alive.
func (v *View) HandleLinkUp(now time.Time, p ident.Process, dc ident.DataCentre, address string) []StateChange {
	_, changes := v.recordHeard(now, p, dc, address)
	return changes
}

// HandleLinkDown handles the loss of a connection. The process is suspect at
// once and is considered dead after fewer missed heartbeats, unless it is heard
// again.
func (v *View) HandleLinkDown(_ time.Time, p ident.Process) []StateChange {
	e := v.members[p.Instance]
	if e == nil || e.Process != p || e.State == Dead {
		return nil
	}
	e.linkDown = true
	return v.setState(e, Suspect)
}

// HandleGoodbye records that a process announced its drain or exit. It owns no
// endpoints from now on, unless all members of its data centre are draining,
// and is considered dead after fewer missed heartbeats.
func (v *View) HandleGoodbye(_ time.Time, p ident.Process) {
	e := v.members[p.Instance]
	if e == nil || e.Process != p {
		return
	}
	e.announcedExit = true
	if !e.Draining {
		e.Draining = true
		v.invalidateOwners()
	}
}

// ReplacedBy returns the higher incarnation that replaced a process, or zero
// when it was not replaced.
func (v *View) ReplacedBy(p ident.Process) ident.Incarnation {
	known := ident.Incarnation(0)
	if p.Instance == v.cfg.Self.Instance {
		known = v.cfg.Self.Incarnation
	} else if e := v.members[p.Instance]; e != nil {
		known = e.Process.Incarnation
	}
	if known > p.Incarnation {
		return known
	}
	return 0
}

// State returns the state of any process, including this one.
func (v *View) State(p ident.Process) State {
	known, state := v.cfg.Self, Alive
	if v.replaced {
		state = Replaced
	}
	if p.Instance != known.Instance {
		e := v.members[p.Instance]
		if e == nil {
			return Unknown
		}
		known, state = e.Process, e.State
	}
	switch {
	case p.Incarnation < known.Incarnation:
		return Replaced
	case p.Incarnation > known.Incarnation:
		return Unknown
	}
	return state
}

// ListedProcess reports whether the newest list has exactly this process and
// does not mark it as leaving.
func (v *View) ListedProcess(p ident.Process) bool {
	row, ok := v.entryRows[p.Instance]
	return ok && !row.Leaving && row.Incarnation == p.Incarnation
}

// Members returns all known members sorted by instance id, including this
// process and dead members.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.sorted)+1)
	for _, e := range v.sorted {
		members = append(members, e.Member)
	}
	self := v.self()
	at, _ := slices.BinarySearchFunc(members, self, func(a, b Member) int {
		return strings.Compare(string(a.Process.Instance), string(b.Process.Instance))
	})
	return slices.Insert(members, at, self)
}

func (v *View) self() Member {
	row, ok := v.entryRows[v.cfg.Self.Instance]
	return Member{
		Process:     v.cfg.Self,
		DataCentre:  v.cfg.DataCentre,
		Address:     v.cfg.Address,
		State:       v.State(v.cfg.Self),
		Draining:    v.draining,
		Listed:      ok && !row.Leaving,
		ListVersion: v.listVersion,
		LastHeard:   v.lastTick,
	}
}

// recordHeard records that a heartbeat or connection of p arrived and marks it
// as alive. It also confirms this process after a pause, unless BacklogWindow
// has not passed yet. It returns a nil peer for this instance itself and for a
// process that was replaced.
func (v *View) recordHeard(now time.Time, p ident.Process, dc ident.DataCentre, address string) (*peer, []StateChange) {
	if p.Instance == v.cfg.Self.Instance {
		if p.Incarnation > v.cfg.Self.Incarnation {
			v.replaced = true
		}
		return nil, nil
	}
	if e := v.members[p.Instance]; e != nil && p.Incarnation < e.Process.Incarnation {
		return nil, nil
	}
	if !v.resumedAt.IsZero() && now.Sub(v.resumedAt) >= v.cfg.BacklogWindow {
		v.resumedAt = time.Time{}
	}
	e, changes := v.ensurePeer(now, p)
	e.LastHeard = now
	e.linkDown = false
	v.setLocation(e, dc, address)
	return e, append(changes, v.setState(e, Alive)...)
}

// ensurePeer returns the record of p. If there is none yet, it adds one, which
// replaces the record of a lower incarnation. The caller has checked that no
// higher incarnation is known.
func (v *View) ensurePeer(now time.Time, p ident.Process) (*peer, []StateChange) {
	old := v.members[p.Instance]
	if old != nil && old.Process == p {
		return old, nil
	}
	e := &peer{Member: Member{Process: p, LastHeard: now}, nextHeartbeat: now}
	e.phase = time.Duration(xxhash.Sum64String(string(v.cfg.Self.Instance)+" "+string(p.Instance)) >> 1)
	row, ok := v.entryRows[p.Instance]
	e.Listed = ok && !row.Leaving
	at, _ := slices.BinarySearchFunc(v.sorted, p.Instance, func(e *peer, id ident.InstanceID) int {
		return strings.Compare(string(e.Process.Instance), string(id))
	})
	v.members[p.Instance] = e
	if old == nil {
		v.sorted = slices.Insert(v.sorted, at, e)
		return e, nil
	}
	v.sorted[at] = e
	e.DataCentre, e.Address = old.DataCentre, old.Address
	return e, v.setState(old, Replaced)
}

// setLocation records the data centre and address of a member unless they are
// empty.
func (v *View) setLocation(e *peer, dc ident.DataCentre, address string) {
	if address != "" && address != e.Address {
		e.Address = address
		v.version++
	}
	if dc != "" && dc != e.DataCentre {
		e.DataCentre = dc
		v.invalidateOwners()
	}
}

// setState sets the state of e and returns the change, or nil when e already
// has that state.
func (v *View) setState(e *peer, to State) []StateChange {
	from := e.State
	if from == to {
		return nil
	}
	e.State = to
	v.version++
	if from == Dead {
		v.deadCount--
	}
	if to == Dead {
		v.deadCount++
	}
	if mayOwn(from) != mayOwn(to) {
		v.invalidateOwners()
	}
	return []StateChange{{Process: e.Process, DataCentre: e.DataCentre, Address: e.Address, From: from, To: to}}
}

// mayOwn reports whether a member in state s may own endpoints.
func mayOwn(s State) bool { return s == Alive || s == Suspect }

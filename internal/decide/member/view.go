// Package member decides which processes of the fleet are alive and which
// instance owns which endpoint. It holds no goroutine, socket or clock: the
// caller passes the current time in.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// State is what a view holds of a process.
type State uint8

// The states of a process.
const (
	// Unknown: the view never heard of the process, or forgot it.
	Unknown State = iota
	// Alive: its heartbeats arrive.
	Alive
	// Suspect: heartbeats are missing, its link is down, or only the list
	// names it so far.
	Suspect
	// Dead: it was silent for the dead time. It is alive again once heard.
	Dead
	// Replaced: a higher incarnation of its instance is known.
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

// Heartbeat is what a peer tells about itself. An empty DataCentre or Address
// leaves the known value.
type Heartbeat struct {
	Process     ident.Process
	DataCentre  ident.DataCentre
	Address     string
	Revision    ident.Revision
	ListVersion uint64
	Draining    bool
	// ReplacedBy is a higher incarnation of the receiver's instance that the
	// sender knows, or zero.
	ReplacedBy ident.Incarnation
}

// Change is a change of state of one process.
type Change struct {
	Process    ident.Process
	DataCentre ident.DataCentre
	Address    string
	From, To   State
}

// Member is one member of the fleet, for status and routing.
type Member struct {
	Process     ident.Process
	DataCentre  ident.DataCentre
	Address     string
	State       State
	Draining    bool
	Listed      bool
	Revision    ident.Revision
	ListVersion uint64
	// Heard is when the member was last heard, or first listed.
	Heard time.Time
}

// View is one instance's view of the fleet. It is not safe for concurrent use.
type View struct {
	cfg      Config
	start    time.Time
	lastTick time.Time
	// resumed is when the end of a pause was noticed; zero once confirmed.
	resumed  time.Time
	replaced bool
	draining bool

	members map[ident.InstanceID]*entry
	order   []*entry // sorted by instance id
	dead    int

	list        []work.Instance
	listVersion uint64
	rows        map[ident.InstanceID]work.Instance // entry rows of list

	version uint64
	owners  owners
}

// entry is the newest known process of another instance.
type entry struct {
	Member
	linkDown bool
	goodbye  bool
	due      time.Time
	died     time.Time
	phase    time.Duration
}

// NewView returns a view that knows only its own process. It fails when cfg
// with its defaults is not valid.
func NewView(cfg Config, now time.Time) (*View, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &View{
		cfg:      cfg,
		start:    now,
		lastTick: now,
		members:  map[ident.InstanceID]*entry{},
		rows:     map[ident.InstanceID]work.Instance{},
		version:  1,
	}, nil
}

// Version rises with each change of membership or list.
func (v *View) Version() uint64 { return v.version }

// Replaced reports whether a higher incarnation of this process's instance is
// known. The process must then start nothing more.
func (v *View) Replaced() bool { return v.replaced }

// Drain marks this process as draining: it owns nothing from now on, unless
// all members of its data centre drain.
func (v *View) Drain() {
	if !v.draining {
		v.draining = true
		v.reassign()
	}
}

// Heard takes in a heartbeat. A heartbeat of a lower incarnation than the
// known one changes nothing; the caller answers it with ReplacedBy.
func (v *View) Heard(now time.Time, hb Heartbeat) []Change {
	if hb.ReplacedBy > v.cfg.Self.Incarnation {
		v.replaced = true
	}
	e, changes := v.heard(now, hb.Process, hb.DataCentre, hb.Address)
	if e == nil {
		return changes
	}
	e.Revision = max(e.Revision, hb.Revision)
	e.ListVersion = max(e.ListVersion, hb.ListVersion)
	if draining := hb.Draining || e.goodbye; draining != e.Draining {
		e.Draining = draining
		v.reassign()
	}
	return changes
}

// LinkUp takes in a new connection, which proves that the process lives.
func (v *View) LinkUp(now time.Time, p ident.Process, dc ident.DataCentre, address string) []Change {
	_, changes := v.heard(now, p, dc, address)
	return changes
}

// LinkDown takes in the loss of a connection. The process is suspect at once,
// and dead earlier unless it is heard again.
func (v *View) LinkDown(_ time.Time, p ident.Process) []Change {
	e := v.members[p.Instance]
	if e == nil || e.Process != p || e.State == Dead {
		return nil
	}
	e.linkDown = true
	return v.become(e, Suspect)
}

// Goodbye takes in that a process drains or leaves: it owns nothing from now
// on, and is dead early once it falls silent.
func (v *View) Goodbye(_ time.Time, p ident.Process) {
	e := v.members[p.Instance]
	if e == nil || e.Process != p {
		return
	}
	e.goodbye = true
	if !e.Draining {
		e.Draining = true
		v.reassign()
	}
}

// ReplacedBy returns the incarnation to tell a process that was replaced, or
// zero when it was not.
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

// State returns what the view holds of any process, its own included.
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

// Listed reports whether the newest list shows exactly this process, and not
// as leaving.
func (v *View) Listed(p ident.Process) bool {
	row, ok := v.rows[p.Instance]
	return ok && !row.Leaving && row.Incarnation == p.Incarnation
}

// Members returns all known members sorted by instance id, this process and
// the dead included.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.order)+1)
	for _, e := range v.order {
		members = append(members, e.Member)
	}
	self := v.self()
	at, _ := slices.BinarySearchFunc(members, self, func(a, b Member) int {
		return strings.Compare(string(a.Process.Instance), string(b.Process.Instance))
	})
	return slices.Insert(members, at, self)
}

func (v *View) self() Member {
	row, ok := v.rows[v.cfg.Self.Instance]
	return Member{
		Process:     v.cfg.Self,
		DataCentre:  v.cfg.DataCentre,
		Address:     v.cfg.Address,
		State:       v.State(v.cfg.Self),
		Draining:    v.draining,
		Listed:      ok && !row.Leaving,
		ListVersion: v.listVersion,
		Heard:       v.lastTick,
	}
}

// heard records a sign of life. It returns nil for this instance itself and
// for a process that was replaced.
func (v *View) heard(now time.Time, p ident.Process, dc ident.DataCentre, address string) (*entry, []Change) {
	if p.Instance == v.cfg.Self.Instance {
		if p.Incarnation > v.cfg.Self.Incarnation {
			v.replaced = true
		}
		return nil, nil
	}
	if e := v.members[p.Instance]; e != nil && p.Incarnation < e.Process.Incarnation {
		return nil, nil
	}
	if !v.resumed.IsZero() && now.Sub(v.resumed) >= v.cfg.Backlog {
		v.resumed = time.Time{}
	}
	e, changes := v.introduce(now, p)
	e.Heard = now
	e.linkDown = false
	v.place(e, dc, address)
	return e, append(changes, v.become(e, Alive)...)
}

// introduce returns the entry of p, which replaces a lower incarnation. The
// caller has checked that p is not the lower one.
func (v *View) introduce(now time.Time, p ident.Process) (*entry, []Change) {
	old := v.members[p.Instance]
	if old != nil && old.Process == p {
		return old, nil
	}
	e := &entry{Member: Member{Process: p, Heard: now}, due: now}
	e.phase = time.Duration(xxhash.Sum64String(string(v.cfg.Self.Instance)+" "+string(p.Instance)) >> 1)
	row, ok := v.rows[p.Instance]
	e.Listed = ok && !row.Leaving
	at, _ := slices.BinarySearchFunc(v.order, p.Instance, func(e *entry, id ident.InstanceID) int {
		return strings.Compare(string(e.Process.Instance), string(id))
	})
	v.members[p.Instance] = e
	if old == nil {
		v.order = slices.Insert(v.order, at, e)
		return e, nil
	}
	v.order[at] = e
	e.DataCentre, e.Address = old.DataCentre, old.Address
	return e, v.become(old, Replaced)
}

// place records where a member is, as far as it is told.
func (v *View) place(e *entry, dc ident.DataCentre, address string) {
	if address != "" && address != e.Address {
		e.Address = address
		v.version++
	}
	if dc != "" && dc != e.DataCentre {
		e.DataCentre = dc
		v.reassign()
	}
}

// become moves e to a state and returns the change, if it is one.
func (v *View) become(e *entry, to State) []Change {
	from := e.State
	if from == to {
		return nil
	}
	e.State = to
	v.version++
	if from == Dead {
		v.dead--
	}
	if to == Dead {
		v.dead++
	}
	if owns(from) != owns(to) {
		v.reassign()
	}
	return []Change{{Process: e.Process, DataCentre: e.DataCentre, Address: e.Address, From: from, To: to}}
}

// owns reports whether a member of the state may own endpoints.
func owns(s State) bool { return s == Alive || s == Suspect }

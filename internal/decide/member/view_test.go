package member_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/member"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

// TestMain sets a fixed seed for the property-based tests.
func TestMain(m *testing.M) { rapidseed.Run(m, nil) }

const step = 100 * time.Millisecond

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// sim drives one view of entry-a in dc-1 with a manual clock.
type sim struct {
	t testing.TB
	*member.View
	now time.Time
	// heartbeating lists the processes that send a heartbeat at each step.
	heartbeating []ident.Process
	changes      []member.StateChange
	// due counts the heartbeats that Tick returned as due.
	due map[ident.InstanceID]int
}

func newSim(t testing.TB) *sim {
	v, err := member.NewView(member.Config{Self: process("entry-a", 5), DataCentre: "dc-1"}, startTime)
	if err != nil {
		t.Fatal(err)
	}
	return &sim{t: t, View: v, now: startTime, due: map[ident.InstanceID]int{}}
}

func process(id string, incarnation ident.Incarnation) ident.Process {
	return ident.Process{Instance: ident.InstanceID(id), Incarnation: incarnation}
}

func (s *sim) heartbeat(p ident.Process) {
	s.changes = append(s.changes, s.HandleHeartbeat(s.now, member.Heartbeat{Process: p, DataCentre: "dc-1"})...)
}

// advance moves the clock forward by d with a tick at each step.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		for _, p := range s.heartbeating {
			s.heartbeat(p)
		}
		due, changes := s.Tick(s.now)
		s.changes = append(s.changes, changes...)
		for _, id := range due {
			s.due[id]++
		}
	}
}

func entryRow(id string, incarnation ident.Incarnation) work.Instance {
	return work.Instance{ID: id, Kind: work.KindEntry, DataCentre: "dc-1", Incarnation: incarnation}
}

func endpointRow(id string) work.Instance {
	return work.Instance{ID: id, Kind: work.KindEndpoint, DataCentre: "dc-1", Service: "render", Slots: 8}
}

// TestSilentMemberStates guards against a silent member that becomes suspect or
// dead too early or too late. The number of missed heartbeats depends on the
// list, the link, an announced drain or exit (goodbye) and the data centre.
func TestSilentMemberStates(t *testing.T) {
	b := process("entry-b", 1)
	cases := map[string]struct {
		events        func(*sim)
		suspect, dead time.Duration // plain numbers of milliseconds, not nanoseconds
	}{
		"listed":                       {func(s *sim) { s.SetList(s.now, 1, []work.Instance{entryRow("entry-b", 1)}) }, 1500, 3000},
		"no list":                      {func(*sim) {}, 1500, 3000},
		"not in list":                  {func(s *sim) { s.SetList(s.now, 1, []work.Instance{entryRow("entry-c", 1)}) }, 1500, 2000},
		"link down":                    {func(s *sim) { s.HandleLinkDown(s.now, b) }, 0, 2000},
		"goodbye":                      {func(s *sim) { s.HandleGoodbye(s.now, b) }, 1500, 2000},
		"goodbye and link down":        {func(s *sim) { s.HandleGoodbye(s.now, b); s.HandleLinkDown(s.now, b) }, 0, 1500},
		"link of old incarnation down": {func(s *sim) { s.HandleLinkDown(s.now, process("entry-b", 0)) }, 1500, 3000},
		"other data centre":            {func(s *sim) { s.HandleHeartbeat(s.now, member.Heartbeat{Process: b, DataCentre: "dc-2"}) }, 6000, 12000},
		"heard after link down":        {func(s *sim) { s.HandleLinkDown(s.now, b); s.heartbeat(b) }, 1500, 3000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t)
			s.heartbeat(b)
			c.events(s)
			for after := time.Duration(0); after <= 13000; after += 100 {
				want := member.Alive
				if after >= c.suspect {
					want = member.Suspect
				}
				if after >= c.dead {
					want = member.Dead
				}
				is.Equal(s.State(b), want) // state after this many ms
				s.advance(step)
			}
		})
	}
}

// TestListDoesNotOverrideHeartbeats guards against an outdated list that
// removes or replaces a member whose heartbeats arrive, or that marks a dead
// member as alive.
func TestListDoesNotOverrideHeartbeats(t *testing.T) {
	is := is.New(t)
	s := newSim(t)
	b, c := process("entry-b", 2), process("entry-c", 3)
	s.heartbeating = []ident.Process{b}
	s.advance(time.Second)
	rows := []work.Instance{entryRow("entry-b", 9), entryRow("entry-c", 3)}
	_, newer := s.SetList(s.now, 4, rows)
	is.True(newer)
	s.advance(time.Second)
	is.Equal(s.State(b), member.Alive)
	is.Equal(s.State(c), member.Suspect) // only listed so far
	_, newer = s.SetList(s.now, 3, nil)
	is.True(!newer) // lower version
	is.Equal(len(s.List()), 2)
	s.SetList(s.now, 5, nil)
	s.advance(5 * time.Second)
	is.Equal(s.State(b), member.Alive)
	is.Equal(s.State(c), member.Dead)
	s.SetList(s.now, 6, rows)
	is.Equal(s.State(c), member.Dead) // same process again
	s.heartbeating = nil
	s.advance(2 * time.Second)
	is.Equal(s.State(b), member.Replaced) // silent, and the list has a newer incarnation
	is.Equal(s.State(process("entry-b", 9)), member.Suspect)
	is.Equal(s.ListVersion(), uint64(6))
}

// TestReplacedIncarnation guards against two incarnations of one instance that
// both count as members, and against a process that does not notice that it was
// replaced.
func TestReplacedIncarnation(t *testing.T) {
	is := is.New(t)
	s := newSim(t)
	old, newer := process("entry-b", 7), process("entry-b", 8)
	s.heartbeat(old)
	s.heartbeat(newer)
	is.Equal(s.changes, []member.StateChange{
		{Process: old, DataCentre: "dc-1", From: member.Unknown, To: member.Alive},
		{Process: old, DataCentre: "dc-1", From: member.Alive, To: member.Replaced},
		{Process: newer, DataCentre: "dc-1", From: member.Unknown, To: member.Alive},
	})
	s.heartbeat(old)
	s.HandleLinkDown(s.now, old)
	is.Equal(s.State(old), member.Replaced)
	is.Equal(s.State(newer), member.Alive)
	is.Equal(s.State(process("entry-b", 9)), member.Unknown)
	is.Equal(s.ReplacedBy(old), ident.Incarnation(8))
	is.Equal(s.ReplacedBy(newer), ident.Incarnation(0))
	is.Equal(s.ReplacedBy(process("entry-a", 4)), ident.Incarnation(5))

	for name, hb := range map[string]member.Heartbeat{
		"heartbeat of own instance": {Process: process("entry-a", 6)},
		"reported by peer":          {Process: newer, ReplacedBy: 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t)
			s.HandleHeartbeat(s.now, member.Heartbeat{Process: process("entry-a", 4)})
			s.HandleHeartbeat(s.now, member.Heartbeat{Process: newer, ReplacedBy: 5})
			is.True(!s.Replaced()) // neither reports a higher incarnation
			s.HandleHeartbeat(s.now, hb)
			is.True(s.Replaced())
			is.Equal(s.State(process("entry-a", 5)), member.Replaced)
		})
	}
}

// TestConfirmationAfterPause guards against a process that, after a pause,
// starts queued work before it could learn that it was replaced, never starts
// work again, or considers all other members dead.
func TestConfirmationAfterPause(t *testing.T) {
	b := process("entry-b", 1)
	const ms = time.Millisecond
	cases := map[string]struct {
		pause     time.Duration
		event     func(*sim)
		confirmed bool
	}{
		"short pause":                     {2900 * ms, func(*sim) {}, true},
		"before confirm wait ends":        {3100 * ms, func(s *sim) { s.advance(1900 * ms) }, false},
		"after confirm wait":              {3100 * ms, func(s *sim) { s.advance(2000 * ms) }, true},
		"heartbeat":                       {3100 * ms, func(s *sim) { s.advance(step); s.heartbeat(b) }, true},
		"heartbeat buffered during pause": {3100 * ms, func(s *sim) { s.heartbeat(b) }, false},
		"store answered":                  {3100 * ms, func(s *sim) { s.StoreAnswered(s.now) }, true},
		"heartbeat of old incarnation":    {3100 * ms, func(s *sim) { s.advance(step); s.heartbeat(process("entry-b", 0)) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t)
			s.heartbeat(b)
			s.advance(step)
			s.now = s.now.Add(c.pause)
			is.Equal(s.MayStartQueued(s.now), c.pause < 3*time.Second) // before the tick
			s.Tick(s.now)
			c.event(s)
			is.Equal(s.MayStartQueued(s.now), c.confirmed)
			is.True(s.State(b) != member.Dead)
		})
	}
}

// TestRecoveryAfterPartition guards against a dead member that gets no more
// heartbeats, so that the end of a partition goes unnoticed, and against
// endpoints that do not return to their owner afterwards.
func TestRecoveryAfterPartition(t *testing.T) {
	is := is.New(t)
	s := newSim(t)
	b := process("entry-b", 1)
	rows := []work.Instance{entryRow("entry-a", 5), entryRow("entry-b", 1)}
	for _, id := range []string{"w-1", "w-2", "w-3", "w-4"} {
		rows = append(rows, endpointRow(id))
	}
	s.SetList(s.now, 1, rows)
	s.heartbeating = []ident.Process{b}
	s.advance(10 * time.Second)
	is.True(s.due["entry-b"] >= 20 && s.due["entry-b"] <= 21) // 2 per second and one at the start
	before := slices.Clone(s.Owned("render"))
	is.Equal(len(before), 2)
	version := s.Version()
	s.heartbeating = nil
	s.advance(time.Hour)
	is.Equal(s.State(b), member.Dead)
	is.Equal(len(s.Owned("render")), 4)
	is.True(s.Version() > version)
	clear(s.due)
	s.advance(10 * time.Second)
	is.Equal(s.due["entry-b"], 5) // one per remote interval to a dead member
	s.heartbeat(b)
	is.Equal(s.State(b), member.Alive)
	is.Equal(s.Owned("render"), before)
}

// TestOwnersWhileDraining guards against a draining instance that keeps its
// endpoints, and against endpoints without an owner when all instances of their
// data centre are draining.
func TestOwnersWhileDraining(t *testing.T) {
	cases := map[string]struct {
		drain     func(*sim)
		own, peer int
	}{
		"no drain": {func(*sim) {}, 2, 2},
		"self":     {func(s *sim) { s.SetDraining() }, 0, 4},
		"peer heartbeat": {func(s *sim) {
			s.HandleHeartbeat(s.now, member.Heartbeat{Process: process("entry-b", 1), Draining: true})
		}, 4, 0},
		"goodbye":                 {func(s *sim) { s.HandleGoodbye(s.now, process("entry-b", 1)); s.heartbeat(process("entry-b", 1)) }, 4, 0},
		"leaving in list":         {func(s *sim) { s.SetList(s.now, 2, withLeaving(s.List(), "entry-b")) }, 4, 0},
		"all draining":            {func(s *sim) { s.SetDraining(); s.HandleGoodbye(s.now, process("entry-b", 1)) }, 2, 2},
		"restarted after goodbye": {func(s *sim) { s.HandleGoodbye(s.now, process("entry-b", 1)); s.heartbeat(process("entry-b", 2)) }, 2, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t)
			rows := []work.Instance{entryRow("entry-a", 5), entryRow("entry-b", 1)}
			s.SetList(s.now, 1, append(rows, endpointRow("w-1"), endpointRow("w-2"), endpointRow("w-3"), endpointRow("w-4")))
			s.heartbeat(process("entry-b", 1))
			c.drain(s)
			count := map[ident.InstanceID]int{}
			for _, id := range []ident.EndpointID{"w-1", "w-2", "w-3", "w-4"} {
				owner, ok := s.Owner(id, "dc-1")
				is.True(ok)
				count[owner]++
			}
			is.Equal(count["entry-a"], c.own)
			is.Equal(count["entry-b"], c.peer)
			is.Equal(len(s.Owned("render")), c.own)
			reader, ok := s.Reader("dc-1")
			is.True(ok)
			is.True(count[reader] > 0) // a draining instance is not the reader either
		})
	}
}

// withLeaving returns a copy of rows in which the instance id is leaving.
func withLeaving(rows []work.Instance, id string) []work.Instance {
	rows = slices.Clone(rows)
	for i := range rows {
		rows[i].Leaving = rows[i].Leaving || rows[i].ID == id
	}
	return rows
}

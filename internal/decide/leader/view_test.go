package leader_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
)

var baseTime = time.Unix(1_800_000_000, 0)

func process(i int) ident.Process {
	return ident.Process{Instance: ident.InstanceID(fmt.Sprint("n-", i)), Incarnation: ident.Incarnation(i + 1)}
}

func newView(t *testing.T, i int, dc ident.DataCentre, seniority leader.Seniority) *leader.View {
	t.Helper()
	v, err := leader.New(baseTime, leader.Config{Self: process(i), DataCentre: dc}, seniority)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestHeartbeatIntervalOfNewOwner guards against a heartbeat timeout on a new
// link to the owner because the first heartbeats were sent at the slow
// interval.
func TestHeartbeatIntervalOfNewOwner(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := baseTime.Add(time.Second)
	for i := 2; i < 4; i++ {
		v.HandleLinkUp(now, process(i), "a")
		v.HandleHeartbeat(now, process(i), leader.Heartbeat{Seniority: 60})
	}
	v.Tick(now)
	v.HandleLinkUp(now, process(0), "a")
	last, longest := now, time.Duration(0)
	for range 80 {
		now = now.Add(25 * time.Millisecond)
		if now.Sub(baseTime) == 1050*time.Millisecond {
			// The first heartbeat of the senior peer arrives after the first
			// Tick.
			v.HandleHeartbeat(now, process(0), leader.Heartbeat{Seniority: 50})
		}
		if now.Sub(baseTime)%(100*time.Millisecond) == 0 {
			for i := range 4 {
				if i != 1 {
					v.HandleHeartbeat(now, process(i), leader.Heartbeat{Seniority: leader.Seniority(50 + 5*i)})
				}
			}
		}
		due, _ := v.Tick(now)
		if slices.Contains(due, process(0)) {
			longest = max(longest, now.Sub(last))
			last = now
		}
	}
	owner, _ := v.Owner()
	is.Equal(owner, process(0))
	is.True(longest < leader.Config{}.Defaults().HeartbeatTimeout/2) // heartbeats to the owner use the short interval
}

// TestMostSeniorInstanceOwns guards against an owner that drains or is less
// senior while a more senior instance that does not drain is linked.
func TestMostSeniorInstanceOwns(t *testing.T) {
	cases := map[string]struct {
		heartbeats map[int]leader.Heartbeat
		drain      bool
		want       int
	}{
		"alone":            {map[int]leader.Heartbeat{}, false, 1},
		"senior peer":      {map[int]leader.Heartbeat{0: {Seniority: 50}}, false, 0},
		"junior peer":      {map[int]leader.Heartbeat{0: {Seniority: 150}}, false, 1},
		"senior drains":    {map[int]leader.Heartbeat{0: {Seniority: 50, Draining: true}}, false, 1},
		"self drains":      {map[int]leader.Heartbeat{0: {Seniority: 150}}, true, 0},
		"all drain":        {map[int]leader.Heartbeat{0: {Seniority: 150, Draining: true}}, true, 1},
		"equal, lowest id": {map[int]leader.Heartbeat{0: {Seniority: 100}}, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newView(t, 1, "a", 100)
			now := baseTime.Add(time.Second)
			for i, heartbeat := range c.heartbeats {
				v.HandleLinkUp(now, process(i), "a")
				v.HandleHeartbeat(now, process(i), heartbeat)
			}
			if c.drain {
				v.Drain()
			}
			v.Tick(now)
			owner, known := v.Owner()
			is.True(known)
			is.Equal(owner, process(c.want))
		})
	}
}

// TestTimedOutOwnerIsReplaced guards against following an owner whose
// heartbeats have stopped, and against timing out peers after a pause of this
// process itself.
func TestTimedOutOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := baseTime.Add(time.Second)
	v.HandleLinkUp(now, process(0), "a")
	v.HandleHeartbeat(now, process(0), leader.Heartbeat{Seniority: 50})
	v.Tick(now)
	now = now.Add(3 * time.Second) // a pause of this process
	_, timedOut := v.Tick(now)
	is.Equal(len(timedOut), 0)
	for range 30 {
		now = now.Add(25 * time.Millisecond)
		if _, timedOut = v.Tick(now); len(timedOut) > 0 {
			break
		}
	}
	is.Equal(timedOut, []ident.Process{process(0)})
	owner, _ := v.Owner()
	is.Equal(owner, process(1))
}

// TestIsolatedInstanceOwnsShare guards against an isolated instance that takes
// endpoints owned by the majority of the fleet, and against one that takes none
// of its own data centre.
func TestIsolatedInstanceOwnsShare(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := baseTime.Add(2 * time.Second)
	v.SetMembers(now, []leader.Member{{Instance: "n-0", DataCentre: "a"}, {Instance: "n-2", DataCentre: "b"}, {Instance: "n-3", DataCentre: "b"}})
	v.Tick(now)
	is.True(v.Isolated())
	mayOwn := v.OwnershipFilter(now)
	own, other := 0, 0
	for i := range 100 {
		id := ident.EndpointID(fmt.Sprint("e-", i))
		if mayOwn(id, "a") {
			own++
		}
		if mayOwn(id, "b") {
			other++
		}
	}
	is.Equal(other, 0)
	is.True(own > 25 && own < 75) // half of the data centre's instances are linked
	for i := range 4 {
		if i != 1 {
			v.HandleLinkUp(now, process(i), "a")
		}
	}
	v.Tick(now)
	is.True(v.Isolated()) // links come back one by one
	for range 50 {
		now = now.Add(25 * time.Millisecond)
		for i := range 4 {
			v.HandleHeartbeat(now, process(i), leader.Heartbeat{Seniority: 200})
		}
		v.Tick(now)
	}
	is.True(!v.Isolated())
	is.True(v.OwnershipFilter(now)("e-1", "b"))
}

// TestShareDoesNotGrowWithLinks guards against an isolated owner that takes
// endpoints of the other part when the partition ends, as the links to its
// members come back before the one to its owner.
func TestShareDoesNotGrowWithLinks(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := baseTime.Add(2 * time.Second)
	v.SetMembers(now, []leader.Member{{Instance: "n-0", DataCentre: "a"}, {Instance: "n-2", DataCentre: "b"}, {Instance: "n-3", DataCentre: "b"}, {Instance: "n-4", DataCentre: "b"}})
	v.HandleLinkUp(now, process(0), "a")
	v.HandleHeartbeat(now, process(0), leader.Heartbeat{Seniority: 200})
	v.Tick(now)
	is.True(v.OwnershipFilter(now)("e-1", "a")) // both instances there are in this part
	for i := 2; i < 4; i++ {
		v.HandleLinkUp(now, process(i), "b")
		is.True(!v.OwnershipFilter(now)("e-1", "b"))
		v.HandleHeartbeat(now, process(i), leader.Heartbeat{Seniority: 200, Owner: process(4), Followers: 3})
	}
	v.Tick(now)
	is.True(v.Isolated())
	for i := range 50 {
		is.True(!v.OwnershipFilter(now)(ident.EndpointID(fmt.Sprint("e-", i)), "b"))
	}
}

// TestUnknownFleet guards against an instance that knows no other one, since it
// started without the store, and takes all endpoints when it gets their list
// before that of the instances.
func TestUnknownFleet(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := baseTime.Add(2 * time.Second)
	v.Tick(now)
	is.True(v.Isolated())
	is.True(!v.OwnershipFilter(now)("e-1", "a"))
	v.SetMembers(now, []leader.Member{{Instance: "n-1", DataCentre: "a"}})
	for range 50 {
		now = now.Add(25 * time.Millisecond)
		v.Tick(now)
	}
	is.True(!v.Isolated()) // it is the only one
	is.True(v.OwnershipFilter(now)("e-1", "b"))
}

// TestRemovedMembersDoNotIsolate guards against an instance that stays isolated
// because it still counts instances which were removed for good.
func TestRemovedMembersDoNotIsolate(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := baseTime.Add(2 * time.Second)
	list := []leader.Member{{Instance: "n-0"}, {Instance: "n-2"}, {Instance: "n-3"}}
	v.SetMembers(now, list)
	v.Tick(now)
	is.True(v.Isolated())
	// Their entries in the store expire, and it no longer lists them.
	for range 100 {
		now = now.Add(25 * time.Millisecond)
		v.SetMembers(now, nil)
		v.Tick(now)
	}
	is.True(!v.Isolated())
}

// TestSettleTime guards against instances that start together and each make
// themselves owner, and against a restarted instance that waits for the whole
// settle time although it has heard from every listed instance.
func TestSettleTime(t *testing.T) {
	cases := map[string]struct {
		listed []leader.Member
		heard  int
		known  bool
	}{
		"no list":                    {nil, 0, false},
		"list without this instance": {[]leader.Member{{Instance: "n-0"}}, 1, false},
		"others not heard from":      {[]leader.Member{{Instance: "n-0"}, {Instance: "n-1"}}, 0, false},
		"all others heard from":      {[]leader.Member{{Instance: "n-0"}, {Instance: "n-1"}}, 1, true},
		"only this instance listed":  {[]leader.Member{{Instance: "n-1"}}, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newView(t, 1, "a", 100)
			now := baseTime.Add(50 * time.Millisecond)
			if c.listed != nil {
				v.SetMembers(now, c.listed)
			}
			for i := range c.heard {
				v.HandleLinkUp(now, process(i), "a")
				v.HandleHeartbeat(now, process(i), leader.Heartbeat{Seniority: 50})
			}
			v.Tick(now)
			_, known := v.Owner()
			is.Equal(known, c.known)
			v.Tick(baseTime.Add(time.Second))
			_, known = v.Owner()
			is.True(known)
		})
	}
}

// TestSmallInstanceDoesNotLead guards against an owner with too few processors
// for the load while a larger instance could lead.
func TestSmallInstanceDoesNotLead(t *testing.T) {
	tests := map[string]struct {
		processors [3]int64
		draining   int // index, or -1
		owner      int
	}{
		"alike: the most senior":     {[3]int64{400, 400, 400}, -1, 0},
		"the most senior is small":   {[3]int64{144, 800, 480}, -1, 1},
		"the large one is draining":  {[3]int64{144, 800, 480}, 1, 2},
		"nearly as large":            {[3]int64{700, 800, 480}, -1, 0},
		"all processors unknown":     {[3]int64{0, 0, 0}, -1, 0},
		"only one known":             {[3]int64{0, 400, 0}, -1, 1},
		"most junior is the largest": {[3]int64{144, 144, 800}, -1, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for self := range 3 {
				v, err := leader.New(baseTime, leader.Config{
					Self: process(self), DataCentre: "a", Strength: group.Strength{Processors: tt.processors[self]},
				}, leader.Seniority(100+self))
				is.NoErr(err)
				if self == tt.draining {
					v.Drain()
				}
				now := baseTime.Add(time.Second)
				for i := range 3 {
					if i != self {
						v.HandleLinkUp(now, process(i), "a")
						v.HandleHeartbeat(now, process(i), leader.Heartbeat{
							Seniority: leader.Seniority(100 + i), Processors: tt.processors[i], Draining: i == tt.draining,
						})
					}
				}
				v.Tick(now)
				got, _ := v.Owner()
				is.Equal(got, process(tt.owner))
			}
		})
	}
}

// TestLoneInstanceIsIsolated guards against an instance that loses its links to
// all others and takes over endpoints before it notices that it is in a
// minority.
func TestLoneInstanceIsIsolated(t *testing.T) {
	is := is.New(t)
	v := newView(t, 5, "a", 900)
	dcs := []ident.DataCentre{"a", "a", "b", "b", "c"}
	now := baseTime.Add(time.Second)
	var members []leader.Member
	for i, dc := range dcs {
		v.HandleLinkUp(now, process(i), dc)
		members = append(members, leader.Member{Instance: process(i).Instance, DataCentre: dc})
	}
	partitionedAt := now.Add(2 * time.Second)
	for ; now.Before(partitionedAt); now = now.Add(25 * time.Millisecond) {
		for i := range dcs {
			if i == 0 || now.Sub(baseTime)%(600*time.Millisecond) == 0 {
				v.HandleHeartbeat(now, process(i), leader.Heartbeat{Seniority: leader.Seniority(100 + i), Owner: process(0)})
			}
		}
		v.SetMembers(now, members)
		v.Tick(now)
	}
	owner, _ := v.Owner()
	is.Equal(owner, process(0))
	for owner != process(5) && now.Sub(partitionedAt) < 5*time.Second {
		v.Tick(now)
		owner, _ = v.Owner()
		now = now.Add(25 * time.Millisecond)
	}
	is.True(v.Isolated())
	is.True(now.Sub(partitionedAt) <= time.Second) // the heartbeat timeout, half of it, and a few ticks
	mayOwn := v.OwnershipFilter(now)
	own, others := 0, 0
	for i := range 300 {
		id := ident.EndpointID(fmt.Sprint("e-", i))
		if mayOwn(id, "a") {
			own++
		}
		if mayOwn(id, "b") || mayOwn(id, "c") {
			others++
		}
	}
	is.Equal(others, 0)
	is.True(own < 150) // one of three instances of its data centre
}

// TestSuccessorIsSilentToo guards against a takeover that waits for the
// successor, which was lost together with the owner, as when their data centre
// is cut off.
func TestSuccessorIsSilentToo(t *testing.T) {
	is := is.New(t)
	v := newView(t, 3, "b", 100)
	now := baseTime.Add(time.Second)
	seniority := func(i int) leader.Seniority { return leader.Seniority(50 + 20*i) }
	for i := range 8 {
		if i != 3 {
			v.HandleLinkUp(now, process(i), "a")
			v.HandleHeartbeat(now, process(i), leader.Heartbeat{Seniority: seniority(i), Owner: process(0), Followers: 8})
		}
	}
	v.Tick(now)
	owner, _ := v.Owner()
	is.Equal(owner, process(0))
	lost, answerAt := now, map[int]time.Time{}
	for owner != process(2) && now.Sub(lost) < 2*time.Second {
		now = now.Add(5 * time.Millisecond)
		for i, at := range answerAt {
			if !now.Before(at) {
				delete(answerAt, i)
				v.HandleHeartbeat(now, process(i), leader.Heartbeat{Seniority: seniority(i), Owner: process(2), Followers: 1})
			}
		}
		due, _ := v.Tick(now)
		for i := 2; i < 8; i++ { // n-0 and n-1 are silent
			if slices.Contains(due, process(i)) {
				answerAt[i] = now.Add(15 * time.Millisecond)
			}
		}
		owner, _ = v.Owner()
	}
	t.Logf("new owner after %v", now.Sub(lost))
	is.True(now.Sub(lost) <= leader.Config{}.Defaults().HeartbeatTimeout+150*time.Millisecond)
}

// TestTakeoverAfterPeerCheck guards against a takeover that is delayed although
// a majority of the fleet has answered the check of the peers, and against one
// that comes later than half of the heartbeat timeout if no majority answers.
// It checks no minimum time, so it does not detect a takeover that is too
// early.
func TestTakeoverAfterPeerCheck(t *testing.T) {
	tests := map[string]struct {
		answers int // how many of the four other linked peers answer
		within  time.Duration
	}{
		"all answer": {4, 50 * time.Millisecond},
		"a majority": {3, 50 * time.Millisecond},
		"a minority": {2, 300 * time.Millisecond},
		"nobody":     {0, 300 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newView(t, 1, "a", 200)
			now := baseTime.Add(time.Second)
			for i := range 6 {
				if i != 1 {
					v.HandleLinkUp(now, process(i), "a")
					v.HandleHeartbeat(now, process(i), leader.Heartbeat{Seniority: leader.Seniority(100 * (i + 1))})
				}
			}
			v.Tick(now)
			owner, _ := v.Owner()
			is.Equal(owner, process(0))
			v.HandleLinkDown(process(0))
			down := now
			for owner != process(1) && now.Sub(down) < time.Second {
				now = now.Add(25 * time.Millisecond)
				for i := range tt.answers {
					if v.CheckingPeers() {
						v.HandleHeartbeat(now, process(i+2), leader.Heartbeat{Seniority: leader.Seniority(100 * (i + 3)), Owner: process(0)})
					}
				}
				v.Tick(now)
				owner, _ = v.Owner()
			}
			is.Equal(owner, process(1))
			is.True(now.Sub(down) <= tt.within)
		})
	}
}

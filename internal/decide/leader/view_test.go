package leader_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
)

var epoch = time.Unix(1_800_000_000, 0)

func process(i int) ident.Process {
	return ident.Process{Instance: ident.InstanceID(fmt.Sprint("n-", i)), Incarnation: ident.Incarnation(i + 1)}
}

func newView(t *testing.T, i int, dc ident.DataCentre, seniority leader.Seniority) *leader.View {
	t.Helper()
	v, err := leader.New(epoch, leader.Config{Self: process(i), DataCentre: dc}, seniority)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestPulsesAfterLink guards against a new link to the owner that is taken for
// silent, since the first pulses were sent at the long interval.
func TestPulsesAfterLink(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := epoch.Add(time.Second)
	for i := 2; i < 4; i++ {
		v.Up(now, process(i), "a")
		v.Heard(now, process(i), leader.Pulse{Seniority: 60})
	}
	v.Tick(now)
	v.Up(now, process(0), "a")
	last, longest := now, time.Duration(0)
	for range 80 {
		now = now.Add(25 * time.Millisecond)
		if now.Sub(epoch) == 1050*time.Millisecond {
			// The first pulse of the senior peer arrives after the first Tick.
			v.Heard(now, process(0), leader.Pulse{Seniority: 50})
		}
		if now.Sub(epoch)%(100*time.Millisecond) == 0 {
			for i := range 4 {
				if i != 1 {
					v.Heard(now, process(i), leader.Pulse{Seniority: leader.Seniority(50 + 5*i)})
				}
			}
		}
		pulse, _ := v.Tick(now)
		if slices.Contains(pulse, process(0)) {
			longest = max(longest, now.Sub(last))
			last = now
		}
	}
	owner, _ := v.Owner()
	is.Equal(owner, process(0))
	is.True(longest < leader.Config{}.Defaults().Silence/2) // pulses to the owner are frequent
}

// TestOwner guards against an owner that is not the most senior instance that
// is heard and stays.
func TestOwner(t *testing.T) {
	cases := map[string]struct {
		pulses map[int]leader.Pulse
		drain  bool
		want   int
	}{
		"alone":            {map[int]leader.Pulse{}, false, 1},
		"senior peer":      {map[int]leader.Pulse{0: {Seniority: 50}}, false, 0},
		"junior peer":      {map[int]leader.Pulse{0: {Seniority: 150}}, false, 1},
		"senior drains":    {map[int]leader.Pulse{0: {Seniority: 50, Draining: true}}, false, 1},
		"self drains":      {map[int]leader.Pulse{0: {Seniority: 150}}, true, 0},
		"all drain":        {map[int]leader.Pulse{0: {Seniority: 150, Draining: true}}, true, 1},
		"equal, lowest id": {map[int]leader.Pulse{0: {Seniority: 100}}, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newView(t, 1, "a", 100)
			now := epoch.Add(time.Second)
			for i, p := range c.pulses {
				v.Up(now, process(i), "a")
				v.Heard(now, process(i), p)
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

// TestSilence guards against an owner that is followed though it is silent, and
// against taking others for dead after a pause of one's own.
func TestSilence(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := epoch.Add(time.Second)
	v.Up(now, process(0), "a")
	v.Heard(now, process(0), leader.Pulse{Seniority: 50})
	v.Tick(now)
	now = now.Add(3 * time.Second) // a pause of this process
	_, silent := v.Tick(now)
	is.Equal(len(silent), 0)
	for range 30 {
		now = now.Add(25 * time.Millisecond)
		if _, silent = v.Tick(now); len(silent) > 0 {
			break
		}
	}
	is.Equal(silent, []ident.Process{process(0)})
	owner, _ := v.Owner()
	is.Equal(owner, process(1))
}

// TestMine guards against an isolated instance that claims endpoints which the
// larger part of the fleet owns, and against one that claims none of its own.
func TestMine(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := epoch.Add(2 * time.Second)
	v.Listed(now, []leader.Member{{Instance: "n-0", DataCentre: "a"}, {Instance: "n-2", DataCentre: "b"}, {Instance: "n-3", DataCentre: "b"}})
	v.Tick(now)
	is.True(v.Isolated())
	mine := v.Mine(now)
	own, other := 0, 0
	for i := range 100 {
		id := ident.EndpointID(fmt.Sprint("e-", i))
		if mine(id, "a") {
			own++
		}
		if mine(id, "b") {
			other++
		}
	}
	is.Equal(other, 0)
	is.True(own > 25 && own < 75) // half of the data centre's instances are heard
	for i := range 4 {
		if i != 1 {
			v.Up(now, process(i), "a")
		}
	}
	v.Tick(now)
	is.True(v.Isolated()) // links come back one by one
	for range 50 {
		now = now.Add(25 * time.Millisecond)
		for i := range 4 {
			v.Heard(now, process(i), leader.Pulse{Seniority: 200})
		}
		v.Tick(now)
	}
	is.True(!v.Isolated())
	is.True(v.Mine(now)("e-1", "b"))
}

// TestForget guards against instances that are gone for good and still keep the
// others in a minority.
func TestForget(t *testing.T) {
	is := is.New(t)
	v := newView(t, 1, "a", 100)
	now := epoch.Add(2 * time.Second)
	list := []leader.Member{{Instance: "n-0"}, {Instance: "n-2"}, {Instance: "n-3"}}
	v.Listed(now, list)
	v.Tick(now)
	is.True(v.Isolated())
	// Their keys lapse in the store, which is read.
	for range 100 {
		now = now.Add(25 * time.Millisecond)
		v.Listed(now, nil)
		v.Tick(now)
	}
	is.True(!v.Isolated())
}

// TestSettle guards against instances that start together and all take
// themselves for the owner, and against a restart that waits though everybody is
// heard.
func TestSettle(t *testing.T) {
	cases := map[string]struct {
		listed []leader.Member
		heard  int
		known  bool
	}{
		"nothing read":          {nil, 0, false},
		"list without itself":   {[]leader.Member{{Instance: "n-0"}}, 1, false},
		"others not heard":      {[]leader.Member{{Instance: "n-0"}, {Instance: "n-1"}}, 0, false},
		"all heard":             {[]leader.Member{{Instance: "n-0"}, {Instance: "n-1"}}, 1, true},
		"alone and in the list": {[]leader.Member{{Instance: "n-1"}}, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newView(t, 1, "a", 100)
			now := epoch.Add(50 * time.Millisecond)
			if c.listed != nil {
				v.Listed(now, c.listed)
			}
			for i := range c.heard {
				v.Up(now, process(i), "a")
				v.Heard(now, process(i), leader.Pulse{Seniority: 50})
			}
			v.Tick(now)
			_, known := v.Owner()
			is.Equal(known, c.known)
			v.Tick(epoch.Add(time.Second))
			_, known = v.Owner()
			is.True(known)
		})
	}
}

// TestWeakInstance guards against an owner on an instance that cannot carry the
// load while a stronger one could.
func TestWeakInstance(t *testing.T) {
	tests := map[string]struct {
		processors [3]int64
		draining   int // index, or -1
		owner      int
	}{
		"alike: the most senior":       {[3]int64{400, 400, 400}, -1, 0},
		"the most senior is weak":      {[3]int64{144, 800, 480}, -1, 1},
		"the strong one is draining":   {[3]int64{144, 800, 480}, 1, 2},
		"nearly as strong":             {[3]int64{700, 800, 480}, -1, 0},
		"nothing known of processors":  {[3]int64{0, 0, 0}, -1, 0},
		"unknown next to a known one":  {[3]int64{0, 400, 0}, -1, 1},
		"all others weaker and senior": {[3]int64{144, 144, 800}, -1, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for self := range 3 {
				v, err := leader.New(epoch, leader.Config{
					Self: process(self), DataCentre: "a", Processors: tt.processors[self],
				}, leader.Seniority(100+self))
				is.NoErr(err)
				if self == tt.draining {
					v.Drain()
				}
				now := epoch.Add(time.Second)
				for i := range 3 {
					if i != self {
						v.Up(now, process(i), "a")
						v.Heard(now, process(i), leader.Pulse{
							Seniority: leader.Seniority(100 + i), Processors: tt.processors[i], Draining: i == tt.draining,
						})
					}
				}
				v.Tick(now)
				lead, _ := v.Owner()
				is.Equal(lead, process(tt.owner))
			}
		})
	}
}

// TestCutOffAlone guards against an instance that is cut off from all others and
// takes endpoints on behalf of peers that it has not noticed to be gone yet.
func TestCutOffAlone(t *testing.T) {
	is := is.New(t)
	v := newView(t, 5, "a", 900)
	dcs := []ident.DataCentre{"a", "a", "b", "b", "c"}
	now := epoch.Add(time.Second)
	var members []leader.Member
	for i, dc := range dcs {
		v.Up(now, process(i), dc)
		members = append(members, leader.Member{Instance: process(i).Instance, DataCentre: dc})
	}
	cut := now.Add(2 * time.Second)
	for ; now.Before(cut); now = now.Add(25 * time.Millisecond) {
		for i := range dcs {
			if i == 0 || now.Sub(epoch)%(600*time.Millisecond) == 0 {
				v.Heard(now, process(i), leader.Pulse{Seniority: leader.Seniority(100 + i), Owner: process(0)})
			}
		}
		v.Listed(now, members)
		v.Tick(now)
	}
	lead, _ := v.Owner()
	is.Equal(lead, process(0))
	for lead != process(5) && now.Sub(cut) < 5*time.Second {
		v.Tick(now)
		lead, _ = v.Owner()
		now = now.Add(25 * time.Millisecond)
	}
	is.True(v.Isolated())
	is.True(now.Sub(cut) <= time.Second) // the silence, half of it, and a few ticks
	share := v.Mine(now)
	mine, others := 0, 0
	for i := range 300 {
		id := ident.EndpointID(fmt.Sprint("e-", i))
		if share(id, "a") {
			mine++
		}
		if share(id, "b") || share(id, "c") {
			others++
		}
	}
	is.Equal(others, 0)
	is.True(mine < 150) // one of three instances of its data centre
}

// TestSuccession guards against a takeover that waits although a majority
// answers, and against one by an instance that only has lost its link to the
// owner's data centre.
func TestSuccession(t *testing.T) {
	tests := map[string]struct {
		answers int // of the four others
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
			now := epoch.Add(time.Second)
			for i := range 6 {
				if i != 1 {
					v.Up(now, process(i), "a")
					v.Heard(now, process(i), leader.Pulse{Seniority: leader.Seniority(100 * (i + 1))})
				}
			}
			v.Tick(now)
			lead, _ := v.Owner()
			is.Equal(lead, process(0))
			v.Down(process(0))
			down := now
			for lead != process(1) && now.Sub(down) < time.Second {
				now = now.Add(25 * time.Millisecond)
				for i := range tt.answers {
					if v.Asking() {
						v.Heard(now, process(i+2), leader.Pulse{Seniority: leader.Seniority(100 * (i + 3)), Owner: process(0)})
					}
				}
				v.Tick(now)
				lead, _ = v.Owner()
			}
			is.Equal(lead, process(1))
			is.True(now.Sub(down) <= tt.within)
		})
	}
}

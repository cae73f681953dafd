package group_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/group"
)

// TestLayout guards against a fleet with one owner that cannot carry its
// endpoints, and against a small fleet that is divided without need.
func TestLayout(t *testing.T) {
	const mbit = 1_000_000 / 8
	tests := map[string]struct {
		strongest group.Strength
		endpoints int
		members   int
		want      group.Layout
	}{
		"six instances":               {group.Strength{Processors: 400, LinkRate: 1000 * mbit}, 48, 19, group.Whole},
		"two hundred endpoints":       {group.Strength{Processors: 800, LinkRate: 200 * mbit}, 240, 19, group.Whole},
		"forty instances":             {group.Strength{Processors: 800, LinkRate: 200 * mbit}, 350, 43, group.ByDataCentre},
		"a quarter of them have left": {group.Strength{Processors: 800, LinkRate: 200 * mbit}, 263, 43, group.ByDataCentre},
		"hundreds of instances":       {group.Strength{Processors: 800, LinkRate: 200 * mbit}, 1100, 19, group.ByDataCentre},
		"weak instances":              {group.Strength{Processors: 120, LinkRate: 200 * mbit}, 120, 19, group.ByDataCentre},
		"a slow link":                 {group.Strength{Processors: 800, LinkRate: 1 * mbit}, 48, 19, group.ByDataCentre},
		"the link is unknown":         {group.Strength{Processors: 800}, 240, 43, group.Whole},
		"the processors are unknown":  {group.Strength{}, 350, 43, group.Whole},
		"too many links":              {group.Strength{Processors: 800}, 100, 147, group.ByDataCentre},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d group.Decider
			is.True(!d.Update(time.Unix(0, 0), group.Fleet{Members: tt.members})) // no endpoints yet
			fleet := group.Fleet{Members: tt.members, Endpoints: tt.endpoints, LargestOwner: tt.strongest.Endpoints()}
			changed := d.Update(time.Unix(0, 0), fleet) || d.Update(time.Unix(2, 0), fleet)
			is.True(changed)
			is.Equal(d.Layout(), tt.want)
		})
	}
}

// TestLayoutIsSteady guards against a fleet that divides because its strongest
// instance is missing for a while, as after a failure, and against one that
// does not divide when it is gone.
func TestLayoutIsSteady(t *testing.T) {
	is := is.New(t)
	var d group.Decider
	now := time.Unix(0, 0)
	whole := group.Fleet{Members: 43, Endpoints: 350, LargestOwner: 440}
	divided := group.Fleet{Members: 40, Endpoints: 350, LargestOwner: 79}
	d.Update(now, whole)
	for range 50 {
		now = now.Add(time.Second)
		is.True(!d.Update(now, divided))
	}
	is.True(!d.Update(now, whole))
	changed := false
	for range 70 {
		now = now.Add(time.Second)
		changed = d.Update(now, divided) || changed
	}
	is.True(changed)
	is.Equal(d.Layout(), group.ByDataCentre)
}

// TestCutOffEndpointsCount guards against a divided fleet that becomes whole while
// a data centre is cut off, whose endpoints leave the list, and divides again once
// they are back.
func TestCutOffEndpointsCount(t *testing.T) {
	is := is.New(t)
	var d group.Decider
	now := time.Unix(0, 0)
	fleet := group.Fleet{Members: 38, Endpoints: 350, LargestOwner: 250}
	d.Update(now, fleet)
	is.True(d.Update(now.Add(time.Second), fleet))
	fleet.Endpoints = 190
	for range 50 {
		now = now.Add(time.Second)
		is.True(!d.Update(now, fleet))
	}
	is.Equal(d.Layout(), group.ByDataCentre)
	for range 20 {
		now = now.Add(time.Second)
		d.Update(now, fleet)
	}
	is.Equal(d.Layout(), group.Whole) // they are gone for good
}

// TestNewInstanceStaysDivided guards against an instance that starts while a data
// centre is cut off and takes the fleet for whole, unlike its peers.
func TestNewInstanceStaysDivided(t *testing.T) {
	is := is.New(t)
	var d group.Decider
	fleet := group.Fleet{Members: 38, Endpoints: 190, LargestOwner: 250, PeersDivided: true}
	is.True(d.Update(time.Unix(0, 0), fleet))
	is.True(!d.Update(time.Unix(1, 0), fleet))
	is.True(!d.Update(time.Unix(10, 0), fleet))
	is.Equal(d.Layout(), group.ByDataCentre)
}

// TestFirstLayout guards against a new instance that divides a whole fleet for
// itself, since its list of members still lacks the strong ones: it then owns
// endpoints beside the owner of the fleet.
func TestFirstLayout(t *testing.T) {
	weak := group.Fleet{Members: 8, Endpoints: 350, LargestOwner: 79}
	strong := group.Fleet{Members: 8, Endpoints: 350, LargestOwner: 440}
	with := func(f group.Fleet, whole, divided bool) group.Fleet {
		f.PeersWhole, f.PeersDivided = whole, divided
		return f
	}
	tests := map[string]struct {
		fleet group.Fleet
		want  group.Layout
	}{
		"alone, only weak ones known":   {weak, group.Unknown},
		"peers are whole":               {with(weak, true, false), group.Whole},
		"peers are divided":             {with(weak, false, true), group.ByDataCentre},
		"peers differ":                  {with(weak, true, true), group.Unknown},
		"a strong one is known":         {strong, group.Whole},
		"divided though strong is here": {with(strong, false, true), group.ByDataCentre},
		"too many members":              {group.Fleet{Members: 147, Endpoints: 350, LargestOwner: 440, PeersWhole: true}, group.ByDataCentre},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d group.Decider
			d.Update(time.Unix(0, 0), tt.fleet)
			is.Equal(d.Layout(), tt.want)
		})
	}
}

// TestRestartOfAll guards against a fleet whose instances restart all at once and
// that serves no one for seconds, since each waits before it divides.
func TestRestartOfAll(t *testing.T) {
	is := is.New(t)
	var d group.Decider
	fleet := group.Fleet{Members: 38, Endpoints: 350, LargestOwner: 250}
	is.True(!d.Update(time.Unix(0, 0), fleet))
	is.True(!d.Update(time.Unix(0, 0).Add(250*time.Millisecond), fleet)) // strong members may be missing
	is.True(d.Update(time.Unix(0, 0).Add(350*time.Millisecond), fleet))
	is.Equal(d.Layout(), group.ByDataCentre)
}

// TestManyMembersDivideAtOnce guards against instances that start together and
// all link to each other before they divide.
func TestManyMembersDivideAtOnce(t *testing.T) {
	is := is.New(t)
	var d group.Decider
	now := time.Unix(0, 0)
	is.True(d.Update(now, group.Fleet{Members: 12, Endpoints: 10, LargestOwner: 440}))
	is.True(d.Update(now.Add(70*time.Millisecond), group.Fleet{Members: 147, Endpoints: 10, LargestOwner: 440}))
	is.Equal(d.Layout(), group.ByDataCentre)
}

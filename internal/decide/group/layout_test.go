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
		"six instances":              {group.Strength{Processors: 400, LinkRate: 1000 * mbit}, 48, 19, group.Whole},
		"forty instances":            {group.Strength{Processors: 800, LinkRate: 200 * mbit}, 350, 19, group.Whole},
		"a third more endpoints":     {group.Strength{Processors: 800, LinkRate: 200 * mbit}, 455, 43, group.Whole},
		"hundreds of instances":      {group.Strength{Processors: 800, LinkRate: 200 * mbit}, 1100, 19, group.ByDataCentre},
		"weak instances":             {group.Strength{Processors: 120, LinkRate: 200 * mbit}, 120, 19, group.ByDataCentre},
		"a slow link":                {group.Strength{Processors: 800, LinkRate: 1 * mbit}, 48, 19, group.ByDataCentre},
		"the link is unknown":        {group.Strength{Processors: 800}, 350, 43, group.Whole},
		"the processors are unknown": {group.Strength{}, 350, 43, group.Whole},
		"too many links":             {group.Strength{Processors: 800}, 100, 147, group.ByDataCentre},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d group.Decider
			is.True(!d.Update(time.Unix(0, 0), group.Fleet{Members: tt.members})) // no endpoints yet
			is.True(d.Update(time.Unix(0, 0), group.Fleet{Members: tt.members, Endpoints: tt.endpoints, LargestOwner: tt.strongest.Endpoints()}))
			is.Equal(d.Layout(), tt.want)
		})
	}
}

// TestLayoutIsSteady guards against a fleet that divides because its strongest
// instance is missing from the list for a moment.
func TestLayoutIsSteady(t *testing.T) {
	is := is.New(t)
	var d group.Decider
	now := time.Unix(0, 0)
	whole := group.Fleet{Members: 43, Endpoints: 350, LargestOwner: 440}
	divided := group.Fleet{Members: 40, Endpoints: 350, LargestOwner: 79}
	d.Update(now, whole)
	for range 19 {
		now = now.Add(100 * time.Millisecond)
		is.True(!d.Update(now, divided))
	}
	is.True(!d.Update(now, whole))
	is.True(!d.Update(now.Add(time.Second), divided))
	is.True(d.Update(now.Add(4*time.Second), divided))
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

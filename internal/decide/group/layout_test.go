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
		want      group.Layout
	}{
		"six instances":              {group.Strength{Processors: 400, LinkRate: 1000 * mbit}, 48, group.Whole},
		"forty instances":            {group.Strength{Processors: 800, LinkRate: 200 * mbit}, 350, group.Whole},
		"hundreds of instances":      {group.Strength{Processors: 800, LinkRate: 200 * mbit}, 1100, group.ByDataCentre},
		"weak instances":             {group.Strength{Processors: 120, LinkRate: 200 * mbit}, 120, group.ByDataCentre},
		"a slow link":                {group.Strength{Processors: 800, LinkRate: 1 * mbit}, 48, group.ByDataCentre},
		"the link is unknown":        {group.Strength{Processors: 800}, 350, group.Whole},
		"the processors are unknown": {group.Strength{}, 350, group.Whole},
		"no endpoints":               {group.Strength{Processors: 120}, 0, group.Whole},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d group.Decider
			is.True(d.Update(time.Unix(0, 0), tt.endpoints, tt.strongest.Endpoints()))
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
	d.Update(now, 350, 440)
	for range 19 {
		now = now.Add(100 * time.Millisecond)
		is.True(!d.Update(now, 350, 79))
	}
	is.True(!d.Update(now, 350, 440))
	is.True(!d.Update(now.Add(time.Second), 350, 79))
	is.True(d.Update(now.Add(4*time.Second), 350, 79))
	is.Equal(d.Layout(), group.ByDataCentre)
}

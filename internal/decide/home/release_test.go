package home_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
)

// TestTasksHeldUntilReleased guards against a task that is placed at a new owner
// while an earlier one, which goes on, may still start it.
func TestTasksHeldUntilReleased(t *testing.T) {
	cases := map[string]struct {
		resolve func(table *home.Table, now time.Time, placed uint64) []home.Action
		// unlinked is set if the earlier owner cannot be asked.
		unlinked bool
		held     bool
	}{
		"released": {resolve: func(table *home.Table, now time.Time, placed uint64) []home.Action {
			return table.HandleReleased(now, owner1, placed)
		}},
		"an earlier order is released": {held: true, resolve: func(table *home.Table, now time.Time, placed uint64) []home.Action {
			return table.HandleReleased(now, owner1, placed-1)
		}},
		"another process answers": {held: true, resolve: func(table *home.Table, now time.Time, placed uint64) []home.Action {
			return table.HandleReleased(now, owner2, placed)
		}},
		"link lost": {resolve: func(table *home.Table, now time.Time, _ uint64) []home.Action {
			return table.HandleLinkDown(now, owner1)
		}},
		"no answer": {resolve: func(table *home.Table, now time.Time, _ uint64) []home.Action {
			return table.Tick(now.Add(500 * time.Millisecond))
		}},
		"no answer yet": {held: true, resolve: func(table *home.Table, now time.Time, _ uint64) []home.Action {
			return table.Tick(now.Add(400 * time.Millisecond))
		}},
		"not linked": {unlinked: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := home.New(func(p ident.Process) bool { return p == owner1 && !c.unlinked })
			table.SetOwner(baseTime, owner1, true)
			first := ordersOf(table.Submit(baseTime, 1, spec(step(2)), settings, 10*time.Second))
			is.Equal(len(first), 1)
			actions := table.SetOwner(baseTime, owner2, true)
			if !c.unlinked {
				is.Equal(actions, []home.Action{home.RequestRelease{From: owner1}})
				actions = c.resolve(table, baseTime.Add(time.Millisecond), first[0].Placement)
			}
			placed := ordersOf(actions)
			is.Equal(len(placed) == 0, c.held)
			if !c.held {
				is.True(placed[0].MayHaveStarted) // it may have run before
			}
		})
	}
}

// TestTasksReleasedByOwnerPlacedAgain guards against tasks that nobody runs: the
// owner has dropped them because this home followed another one for a moment.
func TestTasksReleasedByOwnerPlacedAgain(t *testing.T) {
	is := is.New(t)
	table := newTable()
	first := ordersOf(table.Submit(baseTime, 1, spec(step(2)), settings, 10*time.Second))
	is.Equal(len(table.HandleReleased(baseTime, owner1, first[0].Placement-1)), 0)
	is.Equal(len(ordersOf(table.Tick(baseTime.Add(time.Second)))), 0)
	table.HandleReleased(baseTime, owner1, first[0].Placement)
	is.Equal(len(ordersOf(table.Tick(baseTime.Add(time.Second)))), 1)
}

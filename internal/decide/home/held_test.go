package home_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
)

// TestHeldTasksPlacedOnceAtReturningOwner guards against tasks that are placed
// twice at an owner which the home follows again before it has released them.
func TestHeldTasksPlacedOnceAtReturningOwner(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	a, b := ident.Process{Instance: "a", Incarnation: 1}, ident.Process{Instance: "b", Incarnation: 1}
	table := home.New(func(ident.Process) bool { return true })
	table.SetOwner(now, a, true)
	is.Equal(len(ordersOf(table.Submit(now, 1, spec(step(1)), home.RouteSettings{Service: "render"}, time.Minute))), 1)
	is.Equal(len(ordersOf(table.SetOwner(now, b, true))), 0) // held until a has released it
	is.Equal(len(ordersOf(table.SetOwner(now.Add(20*time.Millisecond), a, true))), 1)
	is.Equal(len(ordersOf(table.Tick(now.Add(40*time.Millisecond)))), 0)
}

// TestResubmittedJobHeldUntilReleased guards against a job that is submitted
// again at its home and placed at a new owner before the earlier one, which its
// first submission was placed at, has released it.
func TestResubmittedJobHeldUntilReleased(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	a, b := ident.Process{Instance: "a", Incarnation: 1}, ident.Process{Instance: "b", Incarnation: 1}
	table := home.New(func(ident.Process) bool { return true })
	table.SetOwner(now, a, true)
	table.Submit(now, 1, spec(step(1)), home.RouteSettings{Service: "render"}, time.Minute)
	table.RemoveRequest(now, "j", 1) // a may not have got the withdrawal yet
	table.SetOwner(now, b, true)
	actions := table.Submit(now.Add(10*time.Millisecond), 2, spec(step(1)), home.RouteSettings{Service: "render"}, time.Minute)
	is.Equal(len(ordersOf(actions)), 0)
}

package main

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
)

// inForceLimit is the time within which an accepted configuration is in force.
const inForceLimit = 15 * time.Second

// inForce waits until all instances but one report a revision, and never an
// older one afterwards.
func (p *processes) inForce(revision ident.Revision, but string) {
	p.t.Helper()
	start := time.Now()
	for id := range p.entries {
		if id != but {
			p.wait("the revision at "+id, func() bool { return p.status(id).Revision >= revision })
		}
	}
	if took := time.Since(start); took > inForceLimit {
		p.t.Errorf("revision %d was in force after %s", revision, took)
	}
}

// TestApplyRaces guards G8: an apply whose reply is lost is told apart, of two
// operators who apply at the same moment one wins and the other learns the
// winner's name and revision, and all instances have the newest revision
// within 15 s, also one that was frozen while it read the store for its data
// centre. None reports an older revision afterwards.
func TestApplyRaces(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := startProcesses(t)
	p.apply(p.fileOf(1))
	p.set(p.store, "lose-replies", 1)
	out, err := p.applyFile(p.fileOf(2), "lost")
	if err != nil {
		t.Fatalf("apply with a lost reply: %v\n%s", err, out)
	}
	p.inForce(2, "")

	frozen := "entry-1"
	if p.status("entry-2").Reader {
		frozen = "entry-2"
	}
	p.freeze(frozen)
	plans := map[string]*operator.Plan{}
	appliers := map[string]*operator.Applier{}
	results := map[string]chan error{}
	for i, name := range []string{"first", "second"} {
		file, err := readFile(p.fileOf(3 + i))
		is.NoErr(err)
		a, err := connectStore(p.store)
		is.NoErr(err)
		a.Clock, a.NewID = clock.System{}, newApplyID
		plans[name], err = a.Plan(ctx, file, name)
		is.NoErr(err)
		appliers[name], results[name] = a, make(chan error, 1)
	}
	for name := range plans {
		go func() { results[name] <- appliers[name].Apply(ctx, plans[name]) }()
	}
	first, second := <-results["first"], <-results["second"]
	is.True((first == nil) != (second == nil)) // exactly one wins
	winner, lost := "first", fault.From(second)
	if first != nil {
		winner, lost = "second", fault.From(first)
	}
	is.Equal(lost.Kind, fault.ApplyConflict)
	want := fault.From(config.Conflict(plans[winner].Next))
	is.Equal(lost.Detail, want.Detail) // names the winner and the revision
	p.inForce(3, frozen)
	p.thaw(frozen)
	p.inForce(3, "")
	p.serves(frozen)
	for id := range p.entries {
		is.Equal(p.status(id).Revision, ident.Revision(3))
	}
}

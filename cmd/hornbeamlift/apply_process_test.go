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

// maxInForceDelay is the longest time until all instances have put an accepted
// configuration in force.
const maxInForceDelay = 15 * time.Second

// waitInForce waits until all instances except one report the revision or a
// newer one. It fails the test if that takes longer than maxInForceDelay. An
// empty id excepts no instance.
func (p *processFleet) waitInForce(revision ident.Revision, except string) {
	p.t.Helper()
	start := time.Now()
	for id := range p.instances {
		if id != except {
			p.waitFor("the revision at "+id, func() bool { return p.status(id).Revision >= revision })
		}
	}
	if took := time.Since(start); took > maxInForceDelay {
		p.t.Errorf("revision %d was in force after %s", revision, took)
	}
}

// TestApplyRaces guards against an apply that is reported as failed because the
// store's reply was lost, and against lost updates when two operators apply at
// the same time: one must win, and the other must get the winner's name and
// revision. All instances must have the newest revision within 15 s and report
// no older one afterwards. This includes the instance that reads the store for
// its data centre, which is paused during the second apply.
func TestApplyRaces(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := startProcessFleet(t)
	p.applyAndWait(p.configFile(1))
	p.setSwitch(p.storeAddress, "lose-replies", 1)
	out, err := p.applyFile(p.configFile(2), "lost")
	if err != nil {
		t.Fatalf("apply with a lost reply: %v\n%s", err, out)
	}
	p.waitInForce(2, "")

	paused := "entry-1"
	if p.status("entry-2").Reader {
		paused = "entry-2"
	}
	p.pause(paused)
	plans := map[string]*operator.Plan{}
	appliers := map[string]*operator.Applier{}
	results := map[string]chan error{}
	for i, name := range []string{"first", "second"} {
		file, err := readFile(p.configFile(3 + i))
		is.NoErr(err)
		a, err := newApplier(p.storeAddress)
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
	winner, conflict := "first", fault.From(second)
	if first != nil {
		winner, conflict = "second", fault.From(first)
	}
	is.Equal(conflict.Kind, fault.ApplyConflict)
	want := fault.From(config.Conflict(plans[winner].Next))
	is.Equal(conflict.Detail, want.Detail) // names the winner and the revision
	p.waitInForce(3, paused)
	p.resume(paused)
	p.waitInForce(3, "")
	p.checkServing(paused)
	for id := range p.instances {
		is.Equal(p.status(id).Revision, ident.Revision(3))
	}
}

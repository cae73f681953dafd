package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
)

// TestStoreDown guards against a store outage that stops the fleet. All
// instances must keep completing jobs, and an apply must fail with
// store-unavailable. A new instance, and a restarted one that is alone in its
// data centre, must get the configuration and the instance list from their
// peers and complete jobs.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	p := startProcessFleet(t)
	p.applyAndWait(p.configFile(1))
	p.setSwitch(p.storeAddress, "down", true)
	out, err := p.applyFile(p.configFile(2), "test")
	is.True(err != nil)
	is.True(strings.Contains(out, "store-unavailable"))
	for id := range p.instances {
		p.checkServing(id)
	}
	peer := "--peers=entry-2=" + p.listedInstance("entry-2").Address
	p.startInstance(work.Instance{ID: "entry-4", DataCentre: "penang-1", Address: fleet.Address()}, peer)
	p.waitFor("the new instance to be ready", func() bool { return p.ready("entry-4") })
	p.checkServing("entry-4")
	old := p.instances["entry-3"].cmd
	is.NoErr(old.Process.Kill())
	_ = old.Wait()
	p.startInstance(p.listedInstance("entry-3"), peer)
	p.waitFor("the only instance of its data centre to be ready", func() bool { return p.ready("entry-3") })
	p.checkServing("entry-3")
	for id := range p.instances {
		p.waitFor(id+" to report the revision", func() bool { return p.status(id).Revision == 1 })
	}
}

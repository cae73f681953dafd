package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
)

// TestStoreDown guards against a store outage that stops the fleet: all
// instances go on, an apply fails as store-unavailable, and a fresh instance,
// as well as one that is the only one of its data centre, takes configuration
// and list from its peers and serves.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t)
	p.apply(p.fileOf(1))
	p.set(p.store, "down", true)
	out, err := p.applyFile(p.fileOf(2), "test")
	is.True(err != nil)
	is.True(strings.Contains(out, "store-unavailable"))
	for id := range p.entries {
		p.serves(id)
	}
	peer := "--peers=entry-2=" + p.row("entry-2").Address
	p.serve(work.Instance{ID: "entry-4", DataCentre: "penang-1", Address: fleet.Address()}, peer)
	p.wait("a fresh instance to be ready", func() bool { return p.ready("entry-4") })
	p.serves("entry-4")
	old := p.entries["entry-3"].cmd
	is.NoErr(old.Process.Kill())
	_ = old.Wait()
	p.serve(p.row("entry-3"), peer)
	p.wait("the only instance of its data centre to be ready", func() bool { return p.ready("entry-3") })
	p.serves("entry-3")
	for id := range p.entries {
		p.wait(id+" to report the revision", func() bool { return p.status(id).Revision == 1 })
	}
}

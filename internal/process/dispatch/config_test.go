package dispatch

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/route"
)

// startConfigured starts a fleet with version 1 in force.
func startConfigured(t *testing.T, shape simShape) *simFleet {
	f := newSimFleet(t, 1, shape, io.Discard)
	t.Cleanup(f.close)
	f.store.put(1)
	time.Sleep(5 * time.Second)
	for _, in := range f.instances {
		if in.version() != 1 {
			t.Fatalf("%s has version %d", in.id, in.version())
		}
	}
	return f
}

// expectVersion checks that a version is in force on all instances.
func (f *simFleet) expectVersion(is *is.I, version uint64) {
	is.Helper()
	for _, in := range f.instances {
		is.Equal(in.version(), version)
	}
}

// setMode sets how the store treats the instances of a data centre.
func (f *simFleet) setMode(dc ident.DataCentre, mode storeMode) {
	for _, in := range f.instances {
		if in.dc == dc {
			f.store.setMode(in.id, mode)
		}
	}
}

// TestWatchesThatHearNothing guards against a change that no instance takes
// while the watches of the store return no changes.
func TestWatchesThatHearNothing(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 2, perDC: 2})
		f.store.setDeaf(time.Now().Add(time.Minute))
		f.store.put(2)
		time.Sleep(configBound)
		f.expectVersion(is, 2)
	})
}

// TestChangeLeftOutByWatch guards against a change that no instance takes since
// a watch has returned a later change of another key without it.
func TestChangeLeftOutByWatch(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 1, perDC: 1})
		f.store.put(2)
		f.store.hideLatest()
		f.store.put(0)
		time.Sleep(configBound)
		is.Equal(f.instances[0].version(), uint64(2))
	})
}

// TestStoreRefusesDataCentre guards against instances of a divided fleet that
// ask nobody outside their data centre for the configuration while the store
// turns the whole data centre away.
func TestStoreRefusesDataCentre(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 2, perDC: 3, divided: true})
		f.setMode("dc0", storeIsSilent)
		time.Sleep(stability)
		f.store.put(2)
		time.Sleep(dividedConfigBound)
		f.expectVersion(is, 2)
	})
}

// TestRelaysThatAreNoLongerListed guards against a data centre that the store
// turns away, and that asks nobody outside of it since the store had dropped the
// keys of all others, which it turned away before.
func TestRelaysThatAreNoLongerListed(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 2, perDC: 2, divided: true})
		f.setMode("dc1", storeRefuses)
		time.Sleep(simMemberTTL + 3*time.Second)
		f.setMode("dc0", storeRefuses)
		f.setMode("dc1", storeServes)
		time.Sleep(stability)
		f.store.put(2)
		time.Sleep(dividedConfigBound)
		f.expectVersion(is, 2)
	})
}

// TestOwnerBehindHomes guards against an owner that starts tasks of a newer
// configuration for other instances, and itself answers as an older one says.
func TestOwnerBehindHomes(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 2, perDC: 2})
		o := f.instance(f.instances[0].owner())
		f.store.setMode(o.id, storeRefuses)
		time.Sleep(time.Second)
		f.store.put(2)
		time.Sleep(20*time.Millisecond + configSkew)
		f.expectVersion(is, 2)
	})
}

// TestOwnerAsksPeerThatIsCutOff guards against an owner that the store turns
// away, and that is behind its homes for too long since the one that it asks has
// just been cut off.
func TestOwnerAsksPeerThatIsCutOff(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 2, perDC: 2})
		o := f.instance(f.instances[0].owner())
		f.store.setMode(o.id, storeRefuses)
		time.Sleep(time.Second)
		for version := uint64(2); version < 60; version++ {
			home := f.instances[int(version)%len(f.instances)]
			f.store.put(version)
			time.Sleep(10 * time.Millisecond)
			f.network.cut(o.id, home.id)
			time.Sleep(10*time.Millisecond + configSkew)
			is.Equal(o.version(), version)
			f.network.heal(o.id, home.id)
			time.Sleep(time.Duration(500+f.rand.IntN(120)) * time.Millisecond)
		}
	})
}

// TestStaleInstanceDeniesNoRoute guards against an instance that answers that a
// route does not exist although it cannot know: neither the store nor a peer has
// told it lately that its configuration is the newest.
func TestStaleInstanceDeniesNoRoute(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 1, perDC: 1})
		one := f.instances[0]
		is.True(one.deniesRoute(2))
		f.store.setMode(one.id, storeRefuses)
		f.store.put(2)
		time.Sleep(configBound)
		is.True(!one.deniesRoute(2))
		_, err := one.process.jobs.Match(simHost, simPath(2))
		is.Equal(fault.KindOf(err), fault.ConfigMissing)
		_, err = one.process.jobs.Match(simHost, simPath(1))
		is.NoErr(err) // what it has is served
		f.store.setMode(one.id, storeServes)
		time.Sleep(time.Second)
		is.True(!one.deniesRoute(2))
		is.True(one.deniesRoute(3))
	})
}

// TestReadSlowerThanTimeout guards against an instance that never reads a
// configuration which takes longer than the time-out of a call, and so begins
// again and again.
func TestReadSlowerThanTimeout(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 1, perDC: 1})
		f.store.setReadTime(1500 * time.Millisecond)
		f.store.setMode(f.instances[0].id, storeRefuses)
		f.store.put(2)
		time.Sleep(time.Second)
		f.store.forgetHistory()
		f.store.setMode(f.instances[0].id, storeServes)
		time.Sleep(stability + configBound)
		is.Equal(f.instances[0].version(), uint64(2))
	})
}

// TestUndecodableConfigOfPeer guards against an instance that asks its peers
// again and again for a configuration that it cannot decode.
func TestUndecodableConfigOfPeer(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 1, perDC: 3})
		one := f.instances[2]
		f.store.setMode(one.id, storeRefuses)
		time.Sleep(time.Second)
		parses := 0
		one.process.ports.ParseConfig = func([]byte) (*route.Table, error) {
			parses++
			return nil, fault.New(fault.ConfigInvalid, fault.RanNo)
		}
		received := one.process.mesh.Stats().Traffic.In.Messages.Load
		before := received()
		f.store.put(2)
		time.Sleep(5 * time.Second)
		is.Equal(parses, 1)
		is.Equal(one.version(), uint64(1))
		is.True(received()-before < 20) // and not two each 75 ms
	})
}

// TestStartWhileStoreRefuses guards against an instance that was started while
// the store turns it away, and that serves an older version for good once the
// only peer that dialled it is gone.
func TestStartWhileStoreRefuses(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 2, perDC: 2})
		one, sibling, others := f.instances[0], f.instances[2], []*simInstance{f.instances[1], f.instances[3]}
		one.kill()
		f.store.setMode(one.id, storeRefuses)
		for _, other := range others {
			f.network.cut(one.id, other.id)
		}
		one.start()
		time.Sleep(time.Second)
		is.Equal(one.version(), uint64(1)) // from its sibling
		f.store.revoke(one.id)
		time.Sleep(3 * time.Second) // the others forget it
		for _, other := range others {
			f.network.heal(one.id, other.id)
		}
		sibling.kill()
		time.Sleep(stability)
		f.store.put(2)
		time.Sleep(configBound)
		is.Equal(one.version(), uint64(2))
	})
}

// TestEvacuationReachesRefusedOwner guards against an owner that goes on
// starting tasks in a data centre that the operator empties, since the store
// turns the owner away, and that never starts any there again.
func TestEvacuationReachesRefusedOwner(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		f := startConfigured(t, simShape{dcs: 2, perDC: 2})
		o := f.instance(f.instances[0].owner())
		f.store.setMode(o.id, storeIsSilent)
		time.Sleep(stability)
		f.store.evacuate("dc1", false)
		time.Sleep(20*time.Millisecond + configSkew)
		is.Equal(o.process.evacuations.list(), []ident.DataCentre{"dc1"})
		f.store.evacuate("dc1", true)
		time.Sleep(20*time.Millisecond + configSkew)
		is.Equal(len(o.process.evacuations.list()), 0)
	})
}

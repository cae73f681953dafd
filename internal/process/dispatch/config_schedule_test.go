package dispatch

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"testing"
	"time"
)

var (
	configSeed  = flag.Uint64("config.seed", 0, "play this seed of the schedules only")
	configSeeds = flag.Int("config.seeds", 12, "number of seeds of the schedules")
	configFirst = flag.Int("config.first", 1, "first seed of the schedules")
)

// The bounds of the schedules are those of the smallest site that the users
// have stated, and of the smallest one that may be divided.
const (
	configBound        = 2 * time.Second
	dividedConfigBound = 3 * time.Second
	// configSkew is how much later than an instance whose tasks it starts an
	// owner may take a version.
	configSkew = 250 * time.Millisecond
	// stability is how long an instance must have been without trouble.
	stability = 3 * time.Second
)

// TestConfigSchedules guards against instances that serve an older version of
// the configuration, or know an older state of the evacuations, for longer than
// they may, although the store or a peer could have told them, and against
// versions that go back, under random faults of the store, links and processes.
func TestConfigSchedules(t *testing.T) {
	simulate(t, func(t *testing.T) {
		if *configSeed > 0 {
			playConfigSchedule(t, *configSeed, os.Stderr)
			return
		}
		for seed := *configFirst; seed < *configFirst+*configSeeds; seed++ {
			playConfigSchedule(t, uint64(seed), io.Discard)
		}
	})
}

// playConfigSchedule plays one schedule and reports its first failures.
func playConfigSchedule(t *testing.T, seed uint64, log io.Writer) {
	shape := simShape{dcs: 3, perDC: 2, divided: seed%4 == 3, changing: seed%4 == 1}
	f := newSimFleet(t, seed, shape, log)
	defer f.close()
	bound := configBound
	if shape.divided || shape.changing {
		bound = dividedConfigBound
	}
	c := &configCheck{
		fleet: f, seed: seed, bound: bound, begin: time.Now(), seen: map[*simInstance]uint64{}, lastTrouble: map[[2]*simInstance]time.Time{},
	}
	plan := &configPlan{fleet: f, shape: shape, version: 1}
	f.store.put(1)
	time.Sleep(4 * time.Second)
	for end := time.Now().Add(24 * time.Second); time.Now().Before(end) && !c.failed; {
		plan.step()
		c.observe(t)
		time.Sleep(25 * time.Millisecond)
	}
}

// trouble is a fault that lasts until a time.
type trouble struct {
	until time.Time
	end   func()
}

// configPlan draws changes of the configuration and faults.
type configPlan struct {
	fleet      *simFleet
	shape      simShape
	version    uint64
	nextChange time.Time
	nextFault  time.Time
	troubles   []trouble
}

func (p *configPlan) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.fleet.rand.Int64N(int64(high-low)))
}

// step makes the changes and begins and ends the faults that are due.
func (p *configPlan) step() {
	now := time.Now()
	if !now.Before(p.nextChange) {
		p.version += 1 + p.fleet.rand.Uint64N(4)
		p.fleet.store.put(p.version)
		p.nextChange = now.Add(p.between(200*time.Millisecond, 4*time.Second))
		if p.fleet.rand.IntN(6) == 0 {
			p.fleet.store.hideLatest()
			p.note("version %d is left out of watches", p.version)
		}
		if p.fleet.rand.IntN(3) == 0 {
			dc := p.fleet.instances[p.fleet.rand.IntN(len(p.fleet.instances))].dc
			p.fleet.store.evacuate(dc, p.fleet.rand.IntN(2) == 0)
			p.note("the evacuation of %s changes", dc)
		}
	}
	if !now.Before(p.nextFault) {
		if p.shape.changing && p.fleet.rand.IntN(3) == 0 {
			n := []int{wholeEndpoints, dividedEndpoints}[p.fleet.rand.IntN(2)] * p.shape.dcs
			p.note("%d endpoints are listed", n)
			p.fleet.store.setListed(n)
		}
		p.fault()
		p.nextFault = now.Add(p.between(300*time.Millisecond, 3*time.Second))
	}
	var left []trouble
	for _, tr := range p.troubles {
		if now.Before(tr.until) {
			left = append(left, tr)
			continue
		}
		tr.end()
	}
	p.troubles = left
}

func (p *configPlan) note(format string, args ...any) {
	_, _ = fmt.Fprintf(p.fleet.log, "%s schedule: %s\n", time.Now().Format("05.000"), fmt.Sprintf(format, args...))
}

func (p *configPlan) during(d time.Duration, end func()) {
	p.troubles = append(p.troubles, trouble{time.Now().Add(d), end})
}

// fault begins one random fault.
func (p *configPlan) fault() {
	f, r := p.fleet, p.fleet.rand
	d := p.between(500*time.Millisecond, 9*time.Second)
	switch r.IntN(9) {
	case 0: // the store turns single instances away
		for _, in := range f.instances {
			if r.IntN(3) == 0 {
				p.refuse(in, d)
			}
		}
	case 1: // the store turns a data centre away
		dc := f.instances[r.IntN(len(f.instances))].dc
		for _, in := range f.instances {
			if in.dc == dc {
				p.refuse(in, d)
			}
		}
	case 2: // watches hear nothing, and the history is dropped afterwards
		p.note("watches hear nothing for %v", d)
		f.store.setDeaf(time.Now().Add(d))
		p.during(d, f.store.forgetHistory)
	case 3: // the history is dropped
		p.note("the history is dropped")
		f.store.forgetHistory()
	case 4: // links are cut
		p.cut(d)
	case 5: // answers of the store are late and overtake each other
		most := p.between(20*time.Millisecond, 400*time.Millisecond)
		p.note("answers to some take up to %v for %v", most, d)
		for _, in := range f.instances {
			if r.IntN(2) == 0 {
				f.store.setDelay(in.id, most)
				p.during(d, func() { f.store.setDelay(in.id, 0) })
			}
		}
	case 6: // connections are reset
		one := f.instances[r.IntN(len(f.instances))]
		p.note("connections of %s are reset, and all watches are cut", one.id)
		f.store.cut()
		for _, other := range f.instances {
			f.network.reset(one.id, other.id)
		}
	case 7: // a configuration that cannot be decoded comes between two others
		p.note("an invalid configuration is written")
		f.store.putInvalid()
		p.nextChange = time.Now().Add(p.between(0, 300*time.Millisecond))
	case 8: // a process is killed
		in := f.instances[r.IntN(len(f.instances))]
		if in.process == nil {
			return
		}
		p.note("%s is killed", in.id)
		in.kill()
		p.during(p.between(100*time.Millisecond, 2*time.Second), in.start)
	}
}

// refuse makes the store turn an instance away, and sometimes remove its key.
func (p *configPlan) refuse(in *simInstance, d time.Duration) {
	s, r := p.fleet.store, p.fleet.rand
	mode := storeMode(1 + r.IntN(int(storeModes)-1))
	p.note("the store turns %s away for %v, mode %d", in.id, d, mode)
	s.setMode(in.id, mode)
	if r.IntN(3) == 0 {
		s.revoke(in.id)
	}
	p.during(d, func() { s.setMode(in.id, storeServes) })
}

// cut cuts an instance off from some or all others.
func (p *configPlan) cut(d time.Duration) {
	f, r := p.fleet, p.fleet.rand
	one, all := f.instances[r.IntN(len(f.instances))], r.IntN(2) == 0
	for _, other := range f.instances {
		if other == one || (!all && r.IntN(2) == 0) {
			continue
		}
		p.note("%s and %s are cut off from each other for %v", one.id, other.id, d)
		f.network.cut(one.id, other.id)
		p.during(d, func() { f.network.heal(one.id, other.id) })
	}
}

// configCheck observes the versions in force.
type configCheck struct {
	fleet *simFleet
	seed  uint64
	bound time.Duration
	begin time.Time
	// seen holds the version in force of each process at the last observation.
	seen map[*simInstance]uint64
	// history holds the versions at each observation.
	history []configSample
	// lastTrouble is when an instance was last not served by the store (both
	// elements equal), or was last cut off from another one, or down.
	lastTrouble map[[2]*simInstance]time.Time
	failed      bool
}

// fail reports a failure, but only the first of a seed.
func (c *configCheck) fail(t *testing.T, format string, args ...any) {
	if !c.failed {
		t.Errorf("seed %d, %v: %s", c.seed, time.Since(c.begin).Round(time.Millisecond), fmt.Sprintf(format, args...))
	}
	c.failed = true
}

// configSample holds the version that each instance has, and the owner that it
// follows.
type configSample struct {
	at       time.Time
	versions map[*simInstance]uint64
	owners   map[*simInstance]*simInstance
}

func (c *configCheck) observe(t *testing.T) {
	now := time.Now()
	sample := configSample{at: now, versions: map[*simInstance]uint64{}, owners: map[*simInstance]*simInstance{}}
	for _, in := range c.fleet.instances {
		v := in.version()
		sample.versions[in], sample.owners[in] = v, c.fleet.instance(in.owner())
		if in.process != nil && v < c.seen[in] && now.Sub(in.started) > stability {
			c.fail(t, "%s goes back from version %d to %d", in.id, c.seen[in], v)
		}
		c.seen[in] = v
		if in.process == nil || !c.fleet.store.serves(in.id) {
			c.lastTrouble[[2]*simInstance{in, in}] = now
		}
		for _, other := range c.fleet.instances {
			if other != in && (c.fleet.network.isCut(in.id, other.id) || in.process == nil || other.process == nil) {
				c.lastTrouble[[2]*simInstance{in, other}] = now
			}
		}
	}
	c.history = append(c.history, sample)
	for _, in := range c.fleet.instances {
		c.checkDenied(t, now, in)
		c.checkInTime(t, now, in)
		c.checkOwner(t, now, in)
	}
}

// calm reports whether two instances, or one and the store, have reached each
// other for long enough.
func (c *configCheck) calm(now time.Time, a, b *simInstance) bool {
	return now.Sub(c.lastTrouble[[2]*simInstance{a, b}]) > stability && now.Sub(a.started) > stability && now.Sub(b.started) > stability
}

// source returns an instance that the store serves and that in reaches, in
// itself if possible, or nil.
func (c *configCheck) source(now time.Time, in *simInstance) *simInstance {
	if c.calm(now, in, in) {
		return in
	}
	for _, other := range c.fleet.instances {
		if other != in && c.calm(now, in, other) && c.calm(now, other, other) {
			return other
		}
	}
	return nil
}

// checkDenied checks that no instance, in whatever trouble, says that a route
// does not exist which was confirmed before the bound.
func (c *configCheck) checkDenied(t *testing.T, now time.Time, in *simInstance) {
	want := c.fleet.store.newest(now.Add(-configBound))
	if in.process != nil && want > in.version() && in.deniesRoute(want) {
		c.fail(t, "%s has version %d and denies the route of %d, confirmed more than %v before", in.id, in.version(), want, configBound)
	}
}

// checkInTime checks that an instance has the versions that were confirmed
// before the bound, unless neither the store nor a peer could tell it, or it
// has no version at all, so that it answers nobody.
func (c *configCheck) checkInTime(t *testing.T, now time.Time, in *simInstance) {
	if in.process == nil || in.version() == 0 {
		return
	}
	source := c.source(now, in)
	if source == nil {
		return
	}
	list := in.process.evacuations.list()
	for dc, wanted := range c.fleet.store.evacuated(now.Add(-c.bound)) {
		if slices.Contains(list, dc) != wanted {
			c.fail(t, "%s has the evacuations %v, and %s has been set to %v for more than %v; source %s", in.id, list, dc, wanted, c.bound, source.id)
		}
	}
	if want := c.fleet.store.newest(now.Add(-c.bound)); in.version() < want {
		c.fail(t, "%s serves version %d, and %d was confirmed more than %v before; source %s", in.id, in.version(), want, c.bound, source.id)
	}
}

// checkOwner checks that the owner that an instance places its tasks at, and has
// for configSkew, has the version of that instance. Its starts show that version
// to the endpoints.
func (c *configCheck) checkOwner(t *testing.T, now time.Time, in *simInstance) {
	o := c.history[len(c.history)-1].owners[in]
	if o == nil || o == in || o.process == nil || o.version() == 0 || !c.calm(now, in, o) || now.Sub(c.fleet.network.lastReset(in.id, o.id)) < stability {
		return
	}
	for i := len(c.history) - 1; i >= 0; i-- {
		if s := c.history[i]; now.Sub(s.at) > configSkew {
			if s.owners[in] == o && o.version() < s.versions[in] && s.versions[in] <= in.version() {
				c.fail(t, "the owner %s serves version %d, and %s has placed tasks of %d there for more than %v",
					o.id, o.version(), in.id, s.versions[in], configSkew)
			}
			return
		}
	}
}

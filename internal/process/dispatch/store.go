package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// storeRetry is the pause after a call to the store that failed.
const storeRetry = 200 * time.Millisecond

// runConfig follows the configuration in the store.
func (p *Process) runConfig(ctx context.Context) error {
	var revision StoreRevision
	link := dependency{log: p.log.WithField("dependency", "configuration in the store")}
	for ctx.Err() == nil {
		var content []byte
		var err error
		if revision == 0 {
			call, cancel := context.WithTimeout(ctx, p.set.StoreTimeout)
			content, revision, err = p.ports.Store.Config(call)
			cancel()
		} else {
			var next StoreRevision
			content, next, err = p.ports.Store.WatchConfig(ctx, revision, p.set.WatchWait)
			if err == nil {
				revision = max(revision, next)
			}
		}
		link.report(err)
		switch {
		case fault.KindOf(err) == fault.StoreConflict:
			revision = 0
		case err != nil:
			p.count.storeFailures.Inc()
			p.sleep(storeRetry)
		case content != nil:
			p.adoptConfig(content, "store")
		case revision == 0:
			p.sleep(storeRetry)
		}
	}
	return nil
}

// adoptConfig puts a configuration in force unless a newer one is.
func (p *Process) adoptConfig(content []byte, source string) {
	table, err := p.ports.ParseConfig(content)
	if err != nil {
		p.log.WithError(err).WithField("source", source).Error("configuration cannot be read")
		return
	}
	next := &configInForce{table: table, content: slices.Clone(content), at: p.set.Clock.Now()}
	for {
		old := p.config.Load()
		if old != nil && old.table.Version >= table.Version {
			return
		}
		if p.config.CompareAndSwap(old, next) {
			break
		}
	}
	p.log.WithFields(logrus.Fields{"version": table.Version, "routes": table.Routes(), "source": source}).Info("configuration in force")
}

// runMember keeps this instance's key in the store and reads the others'.
func (p *Process) runMember(ctx context.Context) error {
	var lease LeaseID
	link := dependency{log: p.log.WithField("dependency", "members in the store")}
	own := Member{Process: p.self, DataCentre: p.set.DataCentre, Address: p.set.PeerAddress}
	for round := 0; ctx.Err() == nil; round++ {
		call, cancel := context.WithTimeout(ctx, p.set.StoreTimeout)
		err := p.join(call, own, &lease)
		cancel()
		link.report(err)
		pause := p.set.MemberInterval
		if round < firstRounds {
			pause = firstPause
		}
		if err != nil {
			p.count.storeFailures.Inc()
			pause = storeRetry
		}
		p.sleep(pause)
	}
	if lease != 0 {
		call, cancel := context.WithTimeout(context.Background(), storeRetry)
		defer cancel()
		if err := p.ports.Store.Release(call, lease); err != nil {
			p.log.WithError(err).Info("key in the store is left to its lease")
		}
	}
	return nil
}

const (
	// firstRounds is the number of reads after the start that follow each other
	// after firstPause, since instances that start together enter themselves at
	// the same time.
	firstRounds = 3
	firstPause  = 70 * time.Millisecond
)

// join renews this instance's key, writes it again when it is gone, and reads
// the members.
func (p *Process) join(ctx context.Context, own Member, lease *LeaseID) error {
	fresh := false
	if *lease != 0 {
		alive, err := p.ports.Store.Keep(ctx, *lease)
		if err != nil {
			return err
		}
		if !alive {
			*lease = 0
		}
	}
	if *lease == 0 {
		id, err := p.ports.Store.Lease(ctx, p.set.MemberTTL)
		if err != nil {
			return err
		}
		*lease, fresh = id, true
	}
	list, err := p.ports.Store.Members(ctx)
	if err != nil {
		return err
	}
	entered := slices.ContainsFunc(list, func(m Member) bool { return m.Process == own.Process })
	if fresh || !entered {
		ok, err := p.ports.Store.Join(ctx, own, *lease)
		if err != nil {
			return err
		}
		if !ok {
			*lease = 0
		}
	}
	p.post(func(now time.Time) { p.joined(now, list) })
	return nil
}

// joined takes the members that the store lists. Linked instances that it does
// not list stay targets, since keys can be lost.
func (p *Process) joined(now time.Time, list []Member) {
	members := make([]leader.Member, len(list))
	for i, m := range list {
		members[i] = leader.Member{Instance: m.Process.Instance, DataCentre: m.DataCentre}
	}
	p.core.Listed(now, members)
	fleet := map[ident.InstanceID]Member{}
	for id, m := range p.fleet {
		if _, linked := p.mesh.Connected(id); linked {
			fleet[id] = m
		}
	}
	for _, m := range list {
		if m.Process.Instance != p.self.Instance {
			fleet[m.Process.Instance] = m
		}
	}
	p.fleet = fleet
	p.dial()
}

// runList reads the list of endpoints while this instance owns them, or while
// the owner's list is old.
func (p *Process) runList(ctx context.Context) error {
	link := dependency{log: p.log.WithField("dependency", "list of endpoints in the store")}
	for ctx.Err() == nil {
		if !p.wanted() {
			p.pause(p.set.ListInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, p.set.StoreTimeout)
		list, err := p.ports.Store.Endpoints(call)
		cancel()
		link.report(err)
		if err != nil {
			p.count.storeFailures.Inc()
			p.sleep(storeRetry)
			continue
		}
		p.post(func(now time.Time) { p.listed(now, list) })
		p.pause(p.set.ListInterval)
	}
	return nil
}

// pause waits for d, or until this instance owns the endpoints, since a new
// owner needs a list that is newer than its predecessor's orders.
func (p *Process) pause(d time.Duration) {
	done := make(chan struct{})
	timer := p.set.Clock.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-done:
	case <-p.owning:
	case <-p.ctx.Done():
	}
}

// wanted asks loop whether the list should be read.
func (p *Process) wanted() (wanted bool) {
	p.jobs.ask(func(time.Time) { wanted = p.core.WantsList() })
	return wanted
}

// listed takes a list that was read from the store.
func (p *Process) listed(now time.Time, list []owner.Endpoint) {
	actions, changed := p.core.SetList(now, list)
	if changed {
		p.log.WithField("endpoints", len(list)).Info("list of endpoints has changed")
	}
	p.act(now, actions)
}

// dependency logs when an outside system is lost and regained.
type dependency struct {
	log  *logrus.Entry
	lost bool
}

func (d *dependency) report(err error) {
	if err != nil && !d.lost {
		d.log.WithError(err).Warn("dependency lost")
	}
	if err == nil && d.lost {
		d.log.Info("dependency regained")
	}
	d.lost = err != nil
}

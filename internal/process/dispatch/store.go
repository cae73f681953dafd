package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// storeRetryDelay is the wait after a failed call to the store. It also bounds
// the call that revokes the lease when the process ends.
const storeRetryDelay = 200 * time.Millisecond

// runMembership keeps this instance's key in the store and reads the members at
// each MemberInterval. It revokes the lease of the key when ctx ends.
func (p *Process) runMembership(ctx context.Context) error {
	var lease LeaseID
	var cache memberCache
	ignored := ignoredEntries{log: p.log.WithField("list", "members")}
	dep := dependency{log: p.log.WithField("dependency", "members in the store")}
	own := Member{Process: p.self, DataCentre: p.settings.DataCentre, Address: p.settings.PeerAddress, Strength: p.settings.Leader.Strength}
	for round := 0; ctx.Err() == nil; round++ {
		call, cancel := context.WithTimeout(ctx, p.settings.StoreTimeout)
		err := p.renewMembership(call, own, &lease, &cache, &ignored)
		cancel()
		dep.report(err)
		interval := p.settings.MemberInterval
		if round < initialRounds {
			interval = initialInterval
		}
		if err != nil {
			p.counters.storeFailures.Inc()
			interval = storeRetryDelay
		}
		p.sleep(interval)
	}
	if lease != 0 {
		call, cancel := context.WithTimeout(context.Background(), storeRetryDelay)
		defer cancel()
		if err := p.ports.Store.RevokeLease(call, lease); err != nil {
			p.log.WithError(err).Info("cannot revoke the lease of the member key, the key stays until the lease expires")
		}
	}
	return nil
}

const (
	// The first initialRounds reads use initialInterval instead of
	// MemberInterval. Instances that start together register at the same time,
	// so an early read can miss some of them.
	initialRounds   = 3
	initialInterval = 70 * time.Millisecond
)

// renewMembership renews the lease of this instance's key and reads the
// members. It requests a new lease when the old one has expired, and writes the
// key again when the lease is new or the key is missing.
func (p *Process) renewMembership(ctx context.Context, own Member, lease *LeaseID, cache *memberCache, ignored *ignoredEntries) error {
	newLease := false
	if *lease != 0 {
		alive, err := p.ports.Store.RenewLease(ctx, *lease)
		if err != nil {
			return err
		}
		if !alive {
			*lease = 0
		}
	}
	if *lease == 0 {
		id, err := p.ports.Store.GrantLease(ctx, p.settings.MemberTTL)
		if err != nil {
			return err
		}
		*lease, newLease = id, true
	}
	update, err := p.ports.Store.Members(ctx, cache.revision)
	if fault.KindOf(err) == fault.StoreConflict {
		*cache = memberCache{}
		update, err = p.ports.Store.Members(ctx, cache.revision)
	}
	if err != nil {
		return err
	}
	for _, row := range update.Rows {
		ignored.report(string(row.Instance), row.Invalid)
	}
	list := cache.apply(update)
	registered := slices.ContainsFunc(list, func(m Member) bool { return m.Process == own.Process })
	if newLease || !registered {
		ok, err := p.ports.Store.Register(ctx, own, *lease)
		if err != nil {
			return err
		}
		if !ok {
			*lease = 0
		}
	}
	p.post(func(now time.Time) { p.handleMembers(now, list) })
	return nil
}

// handleMembers updates linkTargets from the members that the store lists.
// Linked instances that are not listed stay targets, since the key of a running
// instance can expire.
func (p *Process) handleMembers(now time.Time, list []Member) {
	members := make([]leader.Member, len(list))
	for i, m := range list {
		members[i] = leader.Member{Instance: m.Process.Instance, DataCentre: m.DataCentre, Strength: m.Strength}
	}
	p.core.SetMembers(now, members)
	p.members = list
	p.rememberMembers(now, list)
	p.selectTargets()
}

// selectTargets updates linkTargets to the members of this instance's group and
// the relays.
func (p *Process) selectTargets() {
	targets := map[ident.InstanceID]Member{}
	for id, m := range p.linkTargets {
		if _, linked := p.mesh.ConnectedProcess(id); linked {
			targets[id] = m
		}
	}
	for _, m := range p.members {
		if m.Process.Instance != p.self.Instance && p.core.MayLink(m.DataCentre) {
			targets[m.Process.Instance] = m
		}
	}
	maps.DeleteFunc(targets, func(_ ident.InstanceID, m Member) bool { return !p.core.MayLink(m.DataCentre) })
	maps.Copy(targets, p.configSync.relays)
	p.linkTargets = targets
	p.updateTargets()
}

// runEndpointList reads the list of endpoints from the store at each
// ListInterval while the core needs it; see Core.NeedsEndpoints.
func (p *Process) runEndpointList(ctx context.Context) error {
	var cache endpointCache
	dep := dependency{log: p.log.WithField("dependency", "list of endpoints in the store")}
	ignored := ignoredEntries{log: p.log.WithField("list", "endpoints")}
	for ctx.Err() == nil {
		if !p.endpointListNeeded() {
			cache = endpointCache{}
			p.waitForListRequest(p.settings.ListInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, p.settings.StoreTimeout)
		update, err := p.ports.Store.Endpoints(call, cache.revision)
		cancel()
		if fault.KindOf(err) == fault.StoreConflict {
			cache = endpointCache{}
			continue
		}
		dep.report(err)
		if err != nil {
			p.counters.storeFailures.Inc()
			p.sleep(storeRetryDelay)
			continue
		}
		for _, row := range update.Rows {
			ignored.report(string(row.ID), row.Invalid)
		}
		list := cache.apply(update)
		p.post(func(now time.Time) { p.handleEndpointList(now, list) })
		p.waitForListRequest(p.settings.ListInterval)
	}
	return nil
}

// waitForListRequest waits for d, or until the list is needed at once: a task
// that the previous owner may have started is started again only after a new
// owner has read a newer list and polled all its endpoints, and an owner that
// cannot read the list asks peers for it.
func (p *Process) waitForListRequest(d time.Duration) {
	done := make(chan struct{})
	timer := p.settings.Clock.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-done:
	case <-p.readListNow:
	case <-p.ctx.Done():
	}
}

// requestListRead wakes runEndpointList.
func (p *Process) requestListRead() {
	select {
	case p.readListNow <- struct{}{}:
	default:
	}
}

// endpointListNeeded reports whether the core needs the list of endpoints to be
// read.
func (p *Process) endpointListNeeded() (endpointListNeeded bool) {
	p.jobs.runOnLoop(func(now time.Time) { endpointListNeeded = p.core.NeedsEndpoints(now) })
	return endpointListNeeded
}

// handleEndpointList passes a list of endpoints that was read from the store to
// the core.
func (p *Process) handleEndpointList(now time.Time, list []owner.Endpoint) {
	actions, changed := p.core.UpdateEndpoints(now, list)
	if changed {
		p.log.WithField("endpoints", len(list)).Info("list of endpoints has changed")
	}
	p.applyActions(now, actions)
}

// dependency logs when an external system becomes unavailable and when it is
// available again.
type dependency struct {
	log  *logrus.Entry
	down bool
}

// report records the result of a call and logs a change. Package logread
// matches both messages.
func (d *dependency) report(err error) {
	if err != nil && !d.down {
		d.log.WithError(err).Warn("dependency lost")
	}
	if err == nil && d.down {
		d.log.Info("dependency regained")
	}
	d.down = err != nil
}

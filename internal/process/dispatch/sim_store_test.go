package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// storeMode is how the store treats the calls of an instance.
type storeMode int

const (
	storeServes storeMode = iota
	storeRefuses
	storeIsSilent
	storeModes
)

// simChange is a change of a key that the operator writes. Version is zero for
// keys other than the configuration.
type simChange struct {
	revision StoreRevision
	version  uint64
	at       time.Time
	// unseen keeps the change out of the answers of watches.
	unseen bool
	// invalid makes the content one that cannot be decoded.
	invalid bool
	// evacuation is set for a change of an evacuation.
	evacuation *Evacuation
}

// simStore is the platform's store as the process sees it through its ports.
type simStore struct {
	mu       sync.Mutex
	revision StoreRevision
	changes  []simChange
	// oldest is the revision up to which the history is forgotten.
	oldest StoreRevision
	// deafUntil is until when watches hear nothing.
	deafUntil time.Time
	modes     map[ident.InstanceID]storeMode
	members   map[ident.InstanceID]simMember
	// endpoints holds all endpoints, of which the first ones are listed.
	endpoints []EndpointRow
	listed    int
	// readTime is how long a read of all that the operator has written takes.
	readTime time.Duration
	// delays holds the longest delay of the answers to an instance.
	delays map[ident.InstanceID]time.Duration
	// cutWatches counts the times at which the store has cut all watches.
	cutWatches int
}

type simMember struct {
	Member
	expires time.Time
}

const (
	simStoreLatency = 2 * time.Millisecond
	simMemberTTL    = 5 * time.Second
)

func newSimStore(endpoints int, dcs []ident.DataCentre) *simStore {
	s := &simStore{revision: 1, delays: map[ident.InstanceID]time.Duration{}, modes: map[ident.InstanceID]storeMode{}, members: map[ident.InstanceID]simMember{}}
	for i := range endpoints {
		id := ident.EndpointID(fmt.Sprintf("e%d", i))
		s.endpoints = append(s.endpoints, EndpointRow{ID: id, Endpoint: owner.Endpoint{
			ID: id, Service: "render", Address: "127.0.0.1:1", DataCentre: dcs[i%len(dcs)], Incarnation: 1,
		}})
	}
	s.listed = endpoints
	return s
}

// setListed changes how many endpoints are listed.
func (s *simStore) setListed(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = n
}

func (s *simStore) endpointUpdate(ctx context.Context, id ident.InstanceID) (EndpointUpdate, error) {
	if err := s.arrive(ctx, id); err != nil {
		return EndpointUpdate{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return EndpointUpdate{Whole: true, Rows: s.endpoints[:s.listed], Revision: 1}, nil
}

// put writes the next version of the configuration, or another key of the
// operator if version is zero.
func (s *simStore) put(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, simChange{revision: s.revision, version: version, at: time.Now()})
}

// evacuate writes the request to empty a data centre, or removes it.
func (s *simStore) evacuate(dc ident.DataCentre, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, simChange{
		revision: s.revision, at: time.Now(), evacuation: &Evacuation{DataCentre: dc, Ended: ended, Revision: s.revision},
	})
}

// putInvalid writes a configuration that cannot be decoded.
func (s *simStore) putInvalid() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, simChange{revision: s.revision, at: time.Now(), invalid: true})
}

// setDelay delays the answers to an instance by a random time up to d, so that
// they overtake each other.
func (s *simStore) setDelay(id ident.InstanceID, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays[id] = d
}

// leave delays the answer to an instance.
func (s *simStore) leave(id ident.InstanceID) {
	s.mu.Lock()
	d := s.delays[id]
	s.mu.Unlock()
	if d > 0 {
		time.Sleep(rand.N(d))
	}
}

// cut ends all watches without an answer.
func (s *simStore) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutWatches++
}

func (s *simStore) cuts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutWatches
}

// forgetHistory drops the history of all changes so far.
func (s *simStore) forgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
}

// hideLatest keeps the latest change out of the answers of watches.
func (s *simStore) hideLatest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.changes); n > 0 {
		s.changes[n-1].unseen = true
	}
}

func (s *simStore) setDeaf(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deafUntil = until
}

func (s *simStore) setMode(id ident.InstanceID, mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[id] = mode
}

func (s *simStore) serves(id ident.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modes[id] == storeServes
}

// revoke removes the key of an instance.
func (s *simStore) revoke(id ident.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members, id)
}

// newest returns the newest version that was written at or before a time.
func (s *simStore) newest(at time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var version uint64
	for _, c := range s.changes {
		if !c.at.After(at) {
			version = max(version, c.version)
		}
	}
	return version
}

// evacuated returns, for the data centres whose evacuation has not changed since
// a time, whether they must be empty.
func (s *simStore) evacuated(since time.Time) map[ident.DataCentre]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled := map[ident.DataCentre]bool{}
	for _, c := range s.changes {
		switch {
		case c.evacuation == nil:
		case c.at.After(since):
			delete(settled, c.evacuation.DataCentre)
		default:
			settled[c.evacuation.DataCentre] = !c.evacuation.Ended
		}
	}
	return settled
}

// simSilence is how long the store's client waits for the first of an answer.
const simSilence = time.Second

// arrive delays a call of an instance and fails it as the store's mode says.
func (s *simStore) arrive(ctx context.Context, id ident.InstanceID) error {
	return s.arriveWait(ctx, id, 0)
}

// arriveWait is arrive for a call that the store may answer after a wait.
func (s *simStore) arriveWait(ctx context.Context, id ident.InstanceID, wait time.Duration) error {
	time.Sleep(simStoreLatency)
	s.mu.Lock()
	mode := s.modes[id]
	s.mu.Unlock()
	switch mode {
	case storeRefuses:
		return fault.New(fault.StoreUnavailable, fault.RanNo).WithDetail("unexpected status from the store: 503")
	case storeIsSilent:
		select {
		case <-ctx.Done():
		case <-time.After(wait + simSilence):
		}
		return fault.New(fault.StoreUnavailable, fault.RanUnknown).WithDetail("no answer")
	}
	return nil
}

// transfer takes as long as a read of all that the operator has written.
func (s *simStore) transfer(ctx context.Context) error {
	s.mu.Lock()
	d := s.readTime
	s.mu.Unlock()
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.StoreUnavailable, fault.RanUnknown)
	}
}

func (s *simStore) setReadTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readTime = d
}

func configContent(version uint64) []byte { return []byte(fmt.Sprintf("v%d", version)) }

func (s *simStore) operator(ctx context.Context, id ident.InstanceID) (OperatorUpdate, error) {
	if err := s.arrive(ctx, id); err != nil {
		return OperatorUpdate{}, err
	}
	if err := s.transfer(ctx); err != nil {
		return OperatorUpdate{}, err
	}
	defer s.leave(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	update := OperatorUpdate{Whole: true, Revision: s.revision}
	for _, c := range s.changes {
		c.apply(&update)
	}
	return update, nil
}

// apply adds the change to an answer.
func (c *simChange) apply(u *OperatorUpdate) {
	switch {
	case c.evacuation != nil:
		u.Evacuations = slices.DeleteFunc(u.Evacuations, func(e Evacuation) bool { return e.DataCentre == c.evacuation.DataCentre })
		if !u.Whole || !c.evacuation.Ended {
			u.Evacuations = append(u.Evacuations, *c.evacuation)
		}
	case c.invalid:
		u.Config = []byte("?")
	case c.version > 0:
		u.Config = configContent(c.version)
	}
}

// watchOperator answers like platform.Store: with the changes after a revision,
// and with the revision of the last one of them to continue from.
func (s *simStore) watchOperator(ctx context.Context, id ident.InstanceID, after StoreRevision, wait time.Duration) (OperatorUpdate, error) {
	if err := s.arriveWait(ctx, id, wait); err != nil {
		return OperatorUpdate{}, err
	}
	defer s.leave(id)
	cuts := s.cuts()
	for deadline := time.Now().Add(wait); ; time.Sleep(2 * time.Millisecond) {
		if s.cuts() != cuts {
			return OperatorUpdate{}, fault.New(fault.StoreUnavailable, fault.RanUnknown).WithDetail("the watch was cut")
		}
		if !s.serves(id) {
			if err := s.arriveWait(ctx, id, time.Until(deadline)); err != nil {
				return OperatorUpdate{}, err
			}
		}
		update, err := s.changesAfter(after)
		if err != nil || update.Revision > after || !time.Now().Before(deadline) {
			return update, err
		}
		if ctx.Err() != nil {
			return OperatorUpdate{}, fault.Wrap(ctx.Err(), fault.StoreUnavailable, fault.RanUnknown)
		}
	}
}

func (s *simStore) changesAfter(after StoreRevision) (OperatorUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := OperatorUpdate{Revision: after}
	if time.Now().Before(s.deafUntil) {
		return update, nil
	}
	if after < s.oldest {
		return update, fault.New(fault.StoreConflict, fault.RanNo)
	}
	for _, c := range s.changes {
		if c.revision <= after || c.unseen {
			continue
		}
		update.Revision = c.revision
		c.apply(&update)
	}
	return update, nil
}

func (s *simStore) memberUpdate(ctx context.Context, id ident.InstanceID) (MemberUpdate, error) {
	if err := s.arrive(ctx, id); err != nil {
		return MemberUpdate{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	update := MemberUpdate{Whole: true, Revision: s.revision}
	for _, m := range s.members {
		if time.Now().Before(m.expires) {
			update.Rows = append(update.Rows, MemberRow{Instance: m.Process.Instance, Member: m.Member})
		}
	}
	return update, nil
}

// renew extends the lease of an instance's key.
func (s *simStore) renew(ctx context.Context, id ident.InstanceID) (bool, error) {
	if err := s.arrive(ctx, id); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if ok {
		m.expires = time.Now().Add(simMemberTTL)
		s.members[id] = m
	}
	return ok, nil
}

func (s *simStore) register(ctx context.Context, m Member) (bool, error) {
	if err := s.arrive(ctx, m.Process.Instance); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[m.Process.Instance] = simMember{Member: m, expires: time.Now().Add(simMemberTTL)}
	return true, nil
}

// ports returns the store as an instance reaches it.
func (s *simStore) ports(id ident.InstanceID) Store {
	return Store{
		Operator: func(ctx context.Context) (OperatorUpdate, error) { return s.operator(ctx, id) },
		WatchOperator: func(ctx context.Context, after StoreRevision, wait time.Duration) (OperatorUpdate, error) {
			return s.watchOperator(ctx, id, after, wait)
		},
		Endpoints: func(ctx context.Context, _ StoreRevision) (EndpointUpdate, error) {
			return s.endpointUpdate(ctx, id)
		},
		Members: func(ctx context.Context, _ StoreRevision) (MemberUpdate, error) { return s.memberUpdate(ctx, id) },
		GrantLease: func(ctx context.Context, _ time.Duration) (LeaseID, error) {
			return 1, s.arrive(ctx, id)
		},
		RenewLease:  func(ctx context.Context, _ LeaseID) (bool, error) { return s.renew(ctx, id) },
		Register:    func(ctx context.Context, m Member, _ LeaseID) (bool, error) { return s.register(ctx, m) },
		RevokeLease: func(context.Context, LeaseID) error { return nil },
	}
}

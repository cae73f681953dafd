package platform

import (
	"context"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// StoreSettings configures a Store.
type StoreSettings struct {
	// ListLag is the delay until a change of the instance list becomes visible.
	// The first list is visible at once.
	ListLag time.Duration
	Clock   clock.Clock
}

// Defaults returns s with its unset fields set to their defaults.
func (s StoreSettings) Defaults() StoreSettings {
	if s.Clock == nil {
		s.Clock = clock.System{}
	}
	return s
}

// Store is a simulated store of the platform, with the instance list.
type Store struct {
	clock clock.Clock
	mux   *http.ServeMux

	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	leases   map[string]*lease
	lastID   int
	// changed is closed and replaced when an entry changes, or an outage starts
	// or ends, to wake up the watches.
	changed chan struct{}
	calls   map[string]int
	// lists holds the visible instance list, followed by the versions that
	// become visible later.
	lists   []listVersion
	listLag time.Duration
	// down is true during an outage.
	down bool
	// delay is the delay of each reply.
	delay time.Duration
	// repliesToLose is the number of further writes that get no reply.
	repliesToLose int
}

type entry struct {
	data     []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	timer     clock.Timer
}

type listVersion struct {
	visibleFrom time.Time
	instances   []work.Instance
}

// NewStore returns an empty store.
func NewStore(settings StoreSettings) *Store {
	settings = settings.Defaults()
	s := &Store{
		clock:   settings.Clock,
		mux:     http.NewServeMux(),
		entries: map[string]entry{},
		leases:  map[string]*lease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
		listLag: settings.ListLag,
	}
	s.routes()
	return s
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler { return s.mux }

// Run serves on the address until ctx is cancelled.
func (s *Store) Run(ctx context.Context, address string) error {
	l, err := listen(ctx, address)
	if err != nil {
		return err
	}
	return s.Serve(ctx, l)
}

// Serve serves on the listener until ctx is cancelled.
func (s *Store) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, &http.Server{Handler: s.mux}, l)
}

// Calls returns the number of calls by kind: get, put, delete, watch,
// grant-lease, keep-lease (the renewal of a lease), revoke-lease, list. Calls
// during an outage are included.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// SetInstances replaces the instance list. The new list becomes visible after
// the list lag.
func (s *Store) SetInstances(list []work.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	visibleFrom := now.Add(s.listLag)
	if len(s.lists) == 0 {
		visibleFrom = now
	}
	s.lists = append(s.lists, listVersion{visibleFrom: visibleFrom, instances: append([]work.Instance(nil), list...)})
}

// SetListLag sets the delay until later changes of the instance list become
// visible.
func (s *Store) SetListLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag = d
}

// SetDown starts or ends an outage. During an outage the store closes the
// connection of each waiting watch and of each request that arrives, without a
// reply. Writes that arrive have no effect, but leases still expire.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeWatches()
}

// SetDelay delays each later reply by d. A write takes effect before the delay.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseReplies makes the store lose the replies to the next n writes: each takes
// effect, but its connection is closed without a reply. Writes are puts,
// deletions, and the calls that grant, renew or revoke a lease. Those that fail
// are not counted.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToLose = n
}

// instances returns the latest instance list that is visible.
func (s *Store) instances() []work.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for len(s.lists) > 1 && !s.lists[1].visibleFrom.After(now) {
		s.lists = s.lists[1:]
	}
	if len(s.lists) == 0 {
		return nil
	}
	return s.lists[0].instances
}

// get returns the entry of the key, and a channel that is closed at the next
// change.
func (s *Store) get(key string) (e entry, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.entries[key], s.changed
}

// put sets the key. It returns the HTTP status and the revision for the reply.
func (s *Store) put(key string, data []byte, ifRevision *uint64, leaseID string) (int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	old := s.entries[key].revision
	if ifRevision != nil && *ifRevision != old {
		return http.StatusPreconditionFailed, old
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return http.StatusNotFound, old
	}
	s.revision++
	s.entries[key] = entry{data: data, revision: s.revision, lease: leaseID}
	s.wakeWatches()
	return http.StatusOK, s.revision
}

// remove deletes the key. It returns the HTTP status and the revision for the
// reply.
func (s *Store) remove(key string, ifRevision *uint64) (int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	old := s.entries[key].revision
	if ifRevision != nil && *ifRevision != old {
		return http.StatusPreconditionFailed, old
	}
	if old == 0 {
		return http.StatusNoContent, 0
	}
	s.revision++
	delete(s.entries, key)
	s.wakeWatches()
	return http.StatusNoContent, s.revision
}

// grant creates a lease and returns its id.
func (s *Store) grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id := "lease-" + strconv.Itoa(s.lastID)
	s.leases[id] = &lease{}
	s.setExpiry(id, ttl)
	return id
}

// renew renews a lease. It returns false if the lease does not exist.
func (s *Store) renew(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	s.setExpiry(id, l.ttl)
	return true
}

// revoke ends a lease. It returns false if the lease does not exist.
func (s *Store) revoke(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.leases[id] == nil {
		return false
	}
	s.removeLease(id)
	return true
}

// setExpiry makes a lease expire after ttl.
func (s *Store) setExpiry(id string, ttl time.Duration) {
	l := s.leases[id]
	l.ttl = ttl
	l.expiresAt = s.clock.Now().Add(ttl)
	l.timer = s.clock.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
	})
}

// expireLeases removes the leases that have expired. Each access calls it,
// because a timer may fire late.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !l.expiresAt.After(now) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and the keys attached to it.
func (s *Store) removeLease(id string) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.revision++
			delete(s.entries, key)
		}
	}
	s.wakeWatches()
}

// wakeWatches wakes up all waiting watches.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

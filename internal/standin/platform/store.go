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
	// ListLag is how long a change of the instance list stays hidden. The
	// first list is shown at once.
	ListLag time.Duration
	Clock   clock.Clock
}

// Defaults returns s with each unset field set.
func (s StoreSettings) Defaults() StoreSettings {
	if s.Clock == nil {
		s.Clock = clock.System{}
	}
	return s
}

// Store is a stand-in for the platform's key-value store and instance list.
type Store struct {
	clock clock.Clock
	mux   *http.ServeMux

	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	leases   map[string]*lease
	lastID   int
	// changed is closed and replaced at each change of the store or of a
	// switch, to wake the watches.
	changed chan struct{}
	calls   map[string]int
	lists   []listVersion
	lag     time.Duration
	down    bool
	delay   time.Duration
	lose    int
}

type entry struct {
	data     []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl   time.Duration
	ends  time.Time
	timer clock.Timer
}

type listVersion struct {
	shown     time.Time
	instances []work.Instance
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
		lag:     settings.ListLag,
	}
	s.routes()
	return s
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler { return s.mux }

// Run serves on the address until ctx ends.
func (s *Store) Run(ctx context.Context, address string) error {
	l, err := listen(ctx, address)
	if err != nil {
		return err
	}
	return s.Serve(ctx, l)
}

// Serve serves on the listener until ctx ends.
func (s *Store) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, &http.Server{Handler: s.mux}, l)
}

// Calls returns the number of calls by kind: get, put, delete, watch,
// grant-lease, keep-lease, revoke-lease, list. Calls during an outage count
// too.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// SetInstances replaces the instance list, which is shown after the list lag.
func (s *Store) SetInstances(list []work.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	shown := now.Add(s.lag)
	if len(s.lists) == 0 {
		shown = now
	}
	s.lists = append(s.lists, listVersion{shown: shown, instances: append([]work.Instance(nil), list...)})
}

// SetListLag sets how long later changes of the instance list stay hidden.
func (s *Store) SetListLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetDown starts or ends an outage. During an outage each connection is cut as
// soon as a request arrives on it, waiting watches included, and nothing takes
// effect but the lapse of leases.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetDelay holds each later reply back for d. A write takes effect before the
// delay.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseReplies makes the next n writes take effect without a reply: their
// connection is cut instead. Writes that fail are not counted.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// instances returns the newest list that may be shown.
func (s *Store) instances() []work.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for len(s.lists) > 1 && !s.lists[1].shown.After(now) {
		s.lists = s.lists[1:]
	}
	if len(s.lists) == 0 {
		return nil
	}
	return s.lists[0].instances
}

// get returns the entry of the key and a channel that is closed at the next
// change.
func (s *Store) get(key string) (e entry, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	return s.entries[key], s.changed
}

// put sets the key and returns the status and the revision that answer it.
func (s *Store) put(key string, data []byte, ifRevision *uint64, leaseID string) (int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	old := s.entries[key].revision
	if ifRevision != nil && *ifRevision != old {
		return http.StatusPreconditionFailed, old
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return http.StatusNotFound, old
	}
	s.revision++
	s.entries[key] = entry{data: data, revision: s.revision, lease: leaseID}
	s.wake()
	return http.StatusOK, s.revision
}

// remove deletes the key and returns the status and the revision that answer
// it.
func (s *Store) remove(key string, ifRevision *uint64) (int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	old := s.entries[key].revision
	if ifRevision != nil && *ifRevision != old {
		return http.StatusPreconditionFailed, old
	}
	if old == 0 {
		return http.StatusNoContent, 0
	}
	s.revision++
	delete(s.entries, key)
	s.wake()
	return http.StatusNoContent, s.revision
}

// grant returns the id of a new lease.
func (s *Store) grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id := "lease-" + strconv.Itoa(s.lastID)
	s.leases[id] = &lease{}
	s.extend(id, ttl)
	return id
}

// keep renews a lease and reports whether it still existed.
func (s *Store) keep(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	s.extend(id, l.ttl)
	return true
}

// revoke ends a lease and reports whether it still existed.
func (s *Store) revoke(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.leases[id] == nil {
		return false
	}
	s.end(id)
	return true
}

func (s *Store) extend(id string, ttl time.Duration) {
	l := s.leases[id]
	l.ttl = ttl
	l.ends = s.clock.Now().Add(ttl)
	l.timer = s.clock.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lapse()
	})
}

// lapse ends the leases whose time is over. Each access calls it, because a
// timer may fire late.
func (s *Store) lapse() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !l.ends.After(now) {
			s.end(id)
		}
	}
}

// end removes a lease and the keys that are attached to it.
func (s *Store) end(id string) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.revision++
			delete(s.entries, key)
		}
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

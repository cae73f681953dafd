package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeDelay is how long the store takes to answer.
const storeDelay = 4 * time.Millisecond

// item is a key of the store, or its removal.
type item struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	endAt time.Time
}

// store is the platform's store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]*lease
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// put writes a key without a lease, as the operator and the workers do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(item{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	s.announce()
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.drop(key)
	s.announce()
}

// set writes an item at the present revision. The caller holds the lock.
func (s *store) set(it item) {
	it.Rev, it.Created = s.rev, s.rev
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	s.history = append(s.history, it)
}

// drop removes a key at the present revision. The caller holds the lock.
func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Removed: true})
	}
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have run out. The caller holds the lock.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.endAt) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys. The caller holds the lock.
func (s *store) end(id uint64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
	s.announce()
}

// list returns the items with a prefix in the order of their keys.
func (s *store) list(prefix string) ([]item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var found []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return found, s.rev
}

// watch waits for changes of keys with a prefix after a revision.
func (s *store) watch(prefix string, after uint64, wait time.Duration) ([]item, uint64) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		s.expire()
		var events []item
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return events, rev
		}
		select {
		case <-changed:
		case <-deadline:
			return []item{}, rev
		}
	}
}

// storePath is the way of one instance to the store. While it is busy, the store
// turns the instance away.
type storePath struct {
	store    *store
	address  string
	busy     atomic.Bool
	server   *http.Server
	listener net.Listener
}

func newStorePath(s *store) (*storePath, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storePath{store: s, address: listener.Addr().String(), listener: listener}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// ServeHTTP answers a call of an instance.
func (p *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if p.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/hornbeamlift/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && path == "kv-range":
		items, rev := p.store.list(query.Get("prefix"))
		reply(w, map[string]any{"items": items, "has_more": false, "current_rev": rev})
	case r.Method == http.MethodGet && path == "kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		events, rev := p.store.watch(query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		reply(w, map[string]any{"events": events, "current_rev": rev})
	case r.Method == http.MethodPost && path == "kv-txn":
		p.transact(w, r)
	default:
		p.serveLease(w, r, path)
	}
}

// transact writes and removes keys. The instances of the cases expect nothing.
func (p *storePath) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Set    []item   `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, it := range body.Set {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, it := range body.Set {
		s.set(it)
	}
	for _, key := range body.Remove {
		s.drop(key)
	}
	s.announce()
	reply(w, map[string]uint64{"rev": s.rev})
}

// serveLease grants, renews and ends leases.
func (p *storePath) serveLease(w http.ResponseWriter, r *http.Request, path string) {
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	name, last, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseUint(last, 10, 64)
	l := s.leases[id]
	switch {
	case name == "kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.rev++
		s.leases[s.rev] = &lease{ttl: ttl, endAt: time.Now().Add(ttl)}
		reply(w, map[string]int64{"lease": int64(s.rev), "ttl_ms": body.TTL})
	case l == nil:
		w.WriteHeader(http.StatusNotFound)
	case name == "kv-keep":
		l.endAt = time.Now().Add(l.ttl)
		reply(w, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	case name == "kv-lease-end":
		s.end(id)
		reply(w, map[string]int64{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, body any) { replyWith(w, http.StatusOK, body) }

func replyWith(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

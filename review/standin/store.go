package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store. A removed one stays for the watches.
type item struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store. It keeps the whole
// history of the keys' last changes.
type store struct {
	mu     sync.Mutex
	items  map[string]item
	rev    uint64
	leases map[uint64]*lease
	last   uint64
	change chan struct{}
	addr   string
}

func newStore() (*store, error) {
	s := &store{items: map[string]item{}, rev: 100, leases: map[uint64]*lease{}, change: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hornbeamlift/kv-key", s.key)
	mux.HandleFunc("GET /hornbeamlift/kv-range", s.list)
	mux.HandleFunc("GET /hornbeamlift/kv-watch", s.watch)
	mux.HandleFunc("POST /hornbeamlift/kv-txn", s.txn)
	mux.HandleFunc("POST /hornbeamlift/kv-lease", s.grant)
	mux.HandleFunc("POST /hornbeamlift/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /hornbeamlift/kv-lease-end/{id}", s.end)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// set writes a key; the lock is held.
func (s *store) set(key, value string, lease uint64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok && !old.Removed {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.wake()
}

func (s *store) drop(key string) {
	if old, ok := s.items[key]; !ok || old.Removed {
		return
	}
	s.rev++
	s.items[key] = item{Key: key, Rev: s.rev, Removed: true}
	s.wake()
}

func (s *store) wake() {
	close(s.change)
	s.change = make(chan struct{})
}

// put and remove write as the operator and the workers do.
func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, base64.StdEncoding.EncodeToString(data), 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id && !it.Removed {
			s.drop(key)
		}
	}
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) current(prefix string, after uint64, removed bool) []item {
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && it.Rev > after && (removed || !it.Removed) {
			list = append(list, it)
		}
	}
	return list
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok || it.Removed {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "rev": it.Rev, "created": it.Created, "lease": it.Lease, "current_rev": s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.current(r.URL.Query().Get("prefix"), 0, false)
	sort.Slice(all, func(i, k int) bool { return all[i].Key < all[k].Key })
	after := r.URL.Query().Get("after")
	for len(all) > 0 && all[0].Key <= after {
		all = all[1:]
	}
	more := len(all) > 500
	if more {
		all = all[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": all, "has_more": more, "current_rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events, rev, change := s.current(r.URL.Query().Get("prefix"), after, true), s.rev, s.change
		s.mu.Unlock()
		sort.Slice(events, func(i, k int) bool { return events[i].Rev < events[k].Rev })
		done := len(events) > 0
		if !done {
			select {
			case <-change:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
		return
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Expect []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expect"`
		Set []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var differ []item
	for _, e := range b.Expect {
		it := s.items[e.Key]
		if it.Removed {
			it = item{Key: e.Key}
		}
		if it.Rev != e.Rev {
			differ = append(differ, it)
		}
	}
	if len(differ) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": differ})
		return
	}
	for _, u := range b.Set {
		if strings.HasPrefix(u.Key, "op/") || strings.HasPrefix(u.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if u.Lease != 0 && s.leases[u.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, u := range b.Set {
		s.set(u.Key, u.Value, u.Lease)
	}
	for _, key := range b.Remove {
		s.drop(key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := min(max(b.TTL, 1000), 600_000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last] = &lease{ttl: time.Duration(ttl) * time.Millisecond, ends: time.Now().Add(time.Duration(ttl) * time.Millisecond)}
	reply(w, http.StatusOK, map[string]any{"lease": s.last, "ttl_ms": ttl})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

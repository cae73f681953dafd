package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is how long an answer of the store takes: 4 ms there, and 1.4 ms
	// each way from another zone.
	storeLatency = 4*time.Millisecond + 2*1400*time.Microsecond
	// watchStep is the interval at which a waiting watch looks for changes.
	watchStep = 2 * time.Millisecond
)

// item is a key with its value, or the removal of a key.
type item struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's key-value store.
type store struct {
	mu        sync.Mutex
	rev       uint64
	items     map[string]item
	history   []item
	leases    map[uint64]*storeLease
	lastLease uint64
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[uint64]*storeLease{}}
}

// put writes a key without a lease, as the operator and the workers do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, base64.StdEncoding.EncodeToString(data), 0)
}

func (s *store) set(key, value string, lease uint64) {
	s.rev++
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Removed: true})
}

// endLease ends a lease and removes its keys.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.delete(key)
		}
	}
}

// expireLeases ends the leases that have expired.
func (s *store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// ServeHTTP answers a call to the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	name, ok := strings.CutPrefix(r.URL.Path, "/hornbeamlift/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if name == "kv-watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	name, id, _ := strings.Cut(name, "/")
	switch name {
	case "kv-key":
		if it, ok := s.items[r.URL.Query().Get("key")]; ok {
			reply(w, http.StatusOK, it)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case "kv-range":
		s.list(w, r)
	case "kv-txn":
		s.transact(w, r)
	case "kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.lastLease++
		s.leases[s.lastLease] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": body.TTL})
	case "kv-keep", "kv-lease-end":
		n, _ := strconv.ParseUint(id, 10, 64)
		l := s.leases[n]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if name == "kv-keep" {
			l.expires = time.Now().Add(l.ttl)
		} else {
			s.endLease(n)
		}
		reply(w, http.StatusOK, map[string]any{"lease": n})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Key < items[k].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.rev})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range body.Expect {
		if s.items[e.Key].Rev != e.Rev {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, kv := range body.Set {
		if kv.Lease != 0 && s.leases[kv.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, kv := range body.Set {
		s.set(kv.Key, kv.Value, kv.Lease)
	}
	for _, key := range body.Remove {
		s.delete(key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

// watch answers as soon as there is a change after the given revision.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		events, current := s.eventsAfter(q.Get("prefix"), after)
		if len(events) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		}
		time.Sleep(watchStep)
	}
}

func (s *store) eventsAfter(prefix string, after uint64) (events []item, current uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	events = []item{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
	for _, it := range s.history[first:] {
		if strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.rev
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

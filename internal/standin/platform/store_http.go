package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
)

const (
	// maxValue is the store's limit for one value.
	maxValue = 1 << 20
	// maxWait bounds the time that a watch waits.
	maxWait = 10 * time.Minute
)

func (s *Store) routes() {
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.serveGet)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.call("put", s.servePut))
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.call("delete", s.serveDelete))
	s.mux.HandleFunc("POST /v1/leases", s.call("grant-lease", s.serveGrant))
	s.mux.HandleFunc("PUT /v1/leases/{id}", s.call("keep-lease", s.serveKeep))
	s.mux.HandleFunc("DELETE /v1/leases/{id}", s.call("revoke-lease", s.serveRevoke))
	s.mux.HandleFunc("GET /v1/instances", s.call("list", s.serveInstances))

	s.mux.HandleFunc("PUT /stand-in/instances", s.serveSetInstances)
	s.mux.HandleFunc("PUT /stand-in/list-lag-ms", millisSwitch(s.SetListLag))
	s.mux.HandleFunc("PUT /stand-in/down", boolSwitch(s.SetDown))
	s.mux.HandleFunc("PUT /stand-in/delay-ms", millisSwitch(s.SetDelay))
	s.mux.HandleFunc("PUT /stand-in/lose-replies", intSwitch(s.LoseReplies))
	s.mux.HandleFunc("GET /stand-in/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Calls())
	})
}

// answer is what a call replies with.
type answer struct {
	status   int
	revision uint64
	body     []byte
	// wrote is true when the call changed the store.
	wrote bool
}

// call wraps a handler with the count of calls and the switches.
func (s *Store) call(kind string, handle func(r *http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.enter(kind)
		s.reply(w, r, handle(r))
	}
}

// enter counts a call, and cuts it during an outage.
func (s *Store) enter(kind string) {
	s.mu.Lock()
	s.calls[kind]++
	down := s.down
	s.mu.Unlock()
	if down {
		cutConnection()
	}
}

// reply sends the answer, late or never as the switches say.
func (s *Store) reply(w http.ResponseWriter, r *http.Request, a answer) {
	s.mu.Lock()
	delay := s.delay
	lost := s.down
	if a.wrote && s.lose > 0 {
		s.lose--
		lost = true
	}
	s.mu.Unlock()
	if lost {
		cutConnection()
	}
	if delay > 0 {
		passed, stop := after(s.clock, delay)
		defer stop()
		select {
		case <-passed:
		case <-r.Context().Done():
		}
	}
	w.Header().Set("ETag", strconv.FormatUint(a.revision, 10))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// serveGet serves both a read and a watch. A watch ends when the key's revision
// differs from the one named, so that a deletion (revision 0) ends it too.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	text := r.URL.Query().Get("after")
	if text == "" {
		s.enter("get")
		e, _ := s.get(key)
		s.reply(w, r, entryAnswer(e))
		return
	}
	s.enter("watch")
	known, err := strconv.ParseUint(text, 10, 64)
	waitMS, err2 := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	if err != nil || err2 != nil || waitMS < 0 {
		s.reply(w, r, answer{status: http.StatusBadRequest})
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	s.reply(w, r, s.watch(r, key, known, wait))
}

func (s *Store) watch(r *http.Request, key string, known uint64, wait time.Duration) answer {
	passed, stop := after(s.clock, wait)
	defer stop()
	for {
		e, changed := s.get(key)
		if e.revision != known {
			return entryAnswer(e)
		}
		select {
		case <-changed:
			s.mu.Lock()
			down := s.down
			s.mu.Unlock()
			if down {
				cutConnection()
			}
		case <-passed:
			return answer{status: http.StatusNotModified, revision: known}
		case <-r.Context().Done():
			cutConnection()
		}
	}
}

func entryAnswer(e entry) answer {
	if e.revision == 0 {
		return answer{status: http.StatusNotFound}
	}
	return answer{status: http.StatusOK, revision: e.revision, body: e.data}
}

func (s *Store) servePut(r *http.Request) answer {
	ifRevision, ok := readIfMatch(r)
	if !ok {
		return answer{status: http.StatusBadRequest}
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		cutConnection()
	}
	if len(data) > maxValue {
		return answer{status: http.StatusRequestEntityTooLarge}
	}
	status, revision := s.put(r.PathValue("key"), data, ifRevision, r.Header.Get("Lease"))
	return answer{status: status, revision: revision, wrote: status == http.StatusOK}
}

func (s *Store) serveDelete(r *http.Request) answer {
	ifRevision, ok := readIfMatch(r)
	if !ok {
		return answer{status: http.StatusBadRequest}
	}
	status, revision := s.remove(r.PathValue("key"), ifRevision)
	return answer{status: status, revision: revision, wrote: status == http.StatusNoContent}
}

// readIfMatch returns the revision that the request names, or nil for an
// unconditional write.
func readIfMatch(r *http.Request) (revision *uint64, ok bool) {
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	if text == "" {
		return nil, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return &n, err == nil
}

type leaseBody struct {
	ID  string `json:"id,omitempty"`
	TTL int64  `json:"ttl-ms"`
}

func (s *Store) serveGrant(r *http.Request) answer {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue))
	if err != nil {
		cutConnection()
	}
	var body leaseBody
	if json.Unmarshal(data, &body) != nil || body.TTL <= 0 {
		return answer{status: http.StatusBadRequest}
	}
	body.ID = s.grant(time.Duration(body.TTL) * time.Millisecond)
	reply, err := json.Marshal(body)
	if err != nil {
		return answer{status: http.StatusInternalServerError}
	}
	return answer{status: http.StatusOK, body: reply, wrote: true}
}

func (s *Store) serveKeep(r *http.Request) answer {
	return leaseAnswer(s.keep(r.PathValue("id")))
}

func (s *Store) serveRevoke(r *http.Request) answer {
	return leaseAnswer(s.revoke(r.PathValue("id")))
}

func leaseAnswer(found bool) answer {
	if !found {
		return answer{status: http.StatusNotFound}
	}
	return answer{status: http.StatusNoContent, wrote: true}
}

func (s *Store) serveInstances(r *http.Request) answer {
	body, err := platform.EncodeInstances(s.instances())
	if err != nil {
		return answer{status: http.StatusInternalServerError}
	}
	revision := xxhash.Sum64(body)
	if r.Header.Get("If-None-Match") == strconv.FormatUint(revision, 10) {
		return answer{status: http.StatusNotModified, revision: revision}
	}
	return answer{status: http.StatusOK, revision: revision, body: body}
}

func (s *Store) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var raw json.RawMessage
	if !readSwitch(w, r, &raw) {
		return
	}
	list, err := platform.DecodeInstances(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInstances(list)
}

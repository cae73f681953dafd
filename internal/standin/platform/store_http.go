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
	// maxValue is the maximum size of a value in bytes. It also limits the body
	// of a lease request.
	maxValue = 1 << 20
	// maxWait is the longest wait of a watch.
	maxWait = 10 * time.Minute
)

func (s *Store) routes() {
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.serveGet)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.handler("put", s.servePut))
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.handler("delete", s.serveDelete))
	s.mux.HandleFunc("POST /v1/leases", s.handler("grant-lease", s.serveGrant))
	s.mux.HandleFunc("PUT /v1/leases/{id}", s.handler("keep-lease", s.serveRenew))
	s.mux.HandleFunc("DELETE /v1/leases/{id}", s.handler("revoke-lease", s.serveRevoke))
	s.mux.HandleFunc("GET /v1/instances", s.handler("list", s.serveInstances))

	s.mux.HandleFunc("PUT /stand-in/instances", s.serveSetInstances)
	s.mux.HandleFunc("PUT /stand-in/list-lag-ms", millisSwitch(s.SetListLag))
	s.mux.HandleFunc("PUT /stand-in/down", boolSwitch(s.SetDown))
	s.mux.HandleFunc("PUT /stand-in/delay-ms", millisSwitch(s.SetDelay))
	s.mux.HandleFunc("PUT /stand-in/lose-replies", intSwitch(s.LoseReplies))
	s.mux.HandleFunc("GET /stand-in/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Calls())
	})
}

// response is what the store replies to a call.
type response struct {
	status   int
	revision uint64
	body     []byte
	// wrote is true if the call was a successful write.
	wrote bool
}

// handler returns a handler that counts the call, applies the switches and
// replies with the response that handle returns.
func (s *Store) handler(kind string, handle func(r *http.Request) response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.beginCall(kind)
		s.reply(w, r, handle(r))
	}
}

// beginCall counts a call, and aborts it during an outage.
func (s *Store) beginCall(kind string) {
	s.mu.Lock()
	s.calls[kind]++
	down := s.down
	s.mu.Unlock()
	if down {
		abortConnection()
	}
}

// reply sends the response after the delay that is set, or aborts the
// connection if the store is down or the reply is to be lost.
func (s *Store) reply(w http.ResponseWriter, r *http.Request, resp response) {
	s.mu.Lock()
	delay := s.delay
	lost := s.down
	if resp.wrote && s.repliesToLose > 0 {
		s.repliesToLose--
		lost = true
	}
	s.mu.Unlock()
	if lost {
		abortConnection()
	}
	if delay > 0 {
		passed, stop := after(s.clock, delay)
		defer stop()
		select {
		case <-passed:
		case <-r.Context().Done():
		}
	}
	w.Header().Set("ETag", strconv.FormatUint(resp.revision, 10))
	w.WriteHeader(resp.status)
	w.Write(resp.body)
}

// serveGet serves reads and watches. A watch ends when the key's revision
// differs from the one in the parameter "after". A deletion ends it too, since
// the revision is then 0. If wait-ms milliseconds pass before, it ends with
// status 304.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	text := r.URL.Query().Get("after")
	if text == "" {
		s.beginCall("get")
		e, _ := s.get(key)
		s.reply(w, r, entryResponse(e))
		return
	}
	s.beginCall("watch")
	knownRevision, err := strconv.ParseUint(text, 10, 64)
	waitMS, waitErr := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	if err != nil || waitErr != nil || waitMS < 0 {
		s.reply(w, r, response{status: http.StatusBadRequest})
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	s.reply(w, r, s.watch(r, key, knownRevision, wait))
}

// watch waits until the key's revision differs from knownRevision, at most for
// wait.
func (s *Store) watch(r *http.Request, key string, knownRevision uint64, wait time.Duration) response {
	passed, stop := after(s.clock, wait)
	defer stop()
	for {
		e, changed := s.get(key)
		if e.revision != knownRevision {
			return entryResponse(e)
		}
		select {
		case <-changed:
			s.mu.Lock()
			down := s.down
			s.mu.Unlock()
			if down {
				abortConnection()
			}
		case <-passed:
			return response{status: http.StatusNotModified, revision: knownRevision}
		case <-r.Context().Done():
			abortConnection()
		}
	}
}

func entryResponse(e entry) response {
	if e.revision == 0 {
		return response{status: http.StatusNotFound}
	}
	return response{status: http.StatusOK, revision: e.revision, body: e.data}
}

func (s *Store) servePut(r *http.Request) response {
	ifRevision, ok := readIfMatch(r)
	if !ok {
		return response{status: http.StatusBadRequest}
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		abortConnection()
	}
	if len(data) > maxValue {
		return response{status: http.StatusRequestEntityTooLarge}
	}
	status, revision := s.put(r.PathValue("key"), data, ifRevision, r.Header.Get("Lease"))
	return response{status: status, revision: revision, wrote: status == http.StatusOK}
}

func (s *Store) serveDelete(r *http.Request) response {
	ifRevision, ok := readIfMatch(r)
	if !ok {
		return response{status: http.StatusBadRequest}
	}
	status, revision := s.remove(r.PathValue("key"), ifRevision)
	return response{status: status, revision: revision, wrote: status == http.StatusNoContent}
}

// readIfMatch returns the revision in the header If-Match, or nil for an
// unconditional write. ok is false if the header is malformed.
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

func (s *Store) serveGrant(r *http.Request) response {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue))
	if err != nil {
		abortConnection()
	}
	var body leaseBody
	if json.Unmarshal(data, &body) != nil || body.TTL <= 0 {
		return response{status: http.StatusBadRequest}
	}
	body.ID = s.grant(time.Duration(body.TTL) * time.Millisecond)
	reply, err := json.Marshal(body)
	if err != nil {
		return response{status: http.StatusInternalServerError}
	}
	return response{status: http.StatusOK, body: reply, wrote: true}
}

func (s *Store) serveRenew(r *http.Request) response {
	return leaseResponse(s.renew(r.PathValue("id")))
}

func (s *Store) serveRevoke(r *http.Request) response {
	return leaseResponse(s.revoke(r.PathValue("id")))
}

func leaseResponse(found bool) response {
	if !found {
		return response{status: http.StatusNotFound}
	}
	return response{status: http.StatusNoContent, wrote: true}
}

func (s *Store) serveInstances(r *http.Request) response {
	body, err := platform.EncodeInstances(s.instances())
	if err != nil {
		return response{status: http.StatusInternalServerError}
	}
	revision := xxhash.Sum64(body)
	if r.Header.Get("If-None-Match") == strconv.FormatUint(revision, 10) {
		return response{status: http.StatusNotModified, revision: revision}
	}
	return response{status: http.StatusOK, revision: revision, body: body}
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

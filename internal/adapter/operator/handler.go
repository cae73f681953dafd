// Package operator implements the interface for operators: metrics, liveness,
// readiness and status over HTTP, and applying a configuration.
package operator

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Limits of the HTTP server. Requests have no body, and responses are short.
const (
	maxHeaderBytes = 16 << 10
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Handler serves the HTTP API for operators.
type Handler struct {
	// Ready returns nil if the instance accepts submissions. Otherwise its
	// error, such as fault.Draining or fault.ConfigMissing, becomes the body of
	// the 503 response.
	Ready func() error
	// Status returns the value that /v1/status encodes as JSON. Its keys are in
	// kebab case.
	Status  func() any
	Metrics *metrics.Set
	// Token is the bearer token that /v1/status requires. If it is empty,
	// /v1/status requires no token.
	Token string
}

// Server returns a server for address, which has the form "IP:port", with a
// header size limit and timeouts. The server is not started.
func (h *Handler) Server(address string) *http.Server {
	return &http.Server{
		Addr:           address,
		Handler:        h.mux(),
		MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
	}
}

// ServeHTTP serves one request. It builds the request multiplexer anew on each
// call; Server builds it once.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux().ServeHTTP(w, r) }

func (h *Handler) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { writeText(w, "live\n") })
	mux.HandleFunc("GET /ready", h.ready)
	mux.HandleFunc("GET /metrics", h.metrics)
	mux.HandleFunc("GET /v1/status", h.status)
	return mux
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		writeFault(w, http.StatusServiceUnavailable, fault.From(err))
		return
	}
	writeText(w, "ready\n")
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	var buf bytes.Buffer
	h.Metrics.WritePrometheus(&buf)
	writeText(w, buf.String())
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	if !h.authorized(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeFault(w, http.StatusUnauthorized, fault.New(fault.Unauthorized, fault.RanNo).WithDetail("a valid bearer token is required"))
		return
	}
	data, err := json.Marshal(h.Status())
	if err != nil {
		writeFault(w, http.StatusInternalServerError, fault.Wrap(err, fault.Internal, fault.RanNo))
		return
	}
	writeJSON(w, http.StatusOK, data)
}

// authorized reports whether the request has the required bearer token. It
// compares hashes in constant time, so that the duration reveals neither the
// content nor the length of the token.
func (h *Handler) authorized(r *http.Request) bool {
	if h.Token == "" {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	gotHash, wantHash := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(h.Token))
	return subtle.ConstantTimeCompare(gotHash[:], wantHash[:]) == 1 && ok
}

func writeFault(w http.ResponseWriter, status int, e *fault.Error) {
	var reply struct {
		Error struct {
			Kind   fault.Kind `json:"kind"`
			Detail string     `json:"detail,omitempty"`
			Ran    fault.Ran  `json:"ran"`
		} `json:"error"`
	}
	reply.Error.Kind, reply.Error.Detail, reply.Error.Ran = e.Kind, e.Detail, e.Ran
	data, err := json.Marshal(reply)
	if err != nil {
		data = []byte("{}")
	}
	writeJSON(w, status, data)
}

func writeJSON(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write([]byte(text))
}

// Package caller implements the HTTP API for callers: the server, and a client
// for the command line and tests. A submission is either a request, which has
// one task, or a job, which has one or more.
package caller

import (
	"context"
	"net/http"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Headers of the caller API.
const (
	// HeaderNextID carries an id that the caller may use for its next
	// submission.
	HeaderNextID = "Hornbeamlift-Next-Id"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Hornbeamlift-Key"
)

// Limits of the HTTP server.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	// idleTimeout exceeds the 60 s for which load balancers commonly keep idle
	// connections, so that the load balancer closes them first.
	idleTimeout = 2 * time.Minute
	// writeMargin is added to the maximum deadline, so that there is time left
	// to send the answer.
	writeMargin = time.Minute
)

// Request is one submission, a request or a job, received from a caller.
type Request struct {
	// Submission has a zero id unless the caller sent one; HasID is then true.
	Submission work.Submission
	HasID      bool
	// Key is the caller's idempotency key, or empty.
	Key string
	// Digest is a hash of the content. It detects a resubmission of the same id
	// with different content.
	Digest uint64
}

// Handler serves the HTTP API for callers. Its function fields connect it to
// the instance. They should return errors of type *fault.Error; other errors
// are reported as fault.Internal.
type Handler struct {
	// IssueIDs returns n new ids.
	IssueIDs func(ctx context.Context, n int) ([]ident.SubmissionID, error)
	// Submit submits the request and waits for the answer. When the connection
	// closes, ctx is cancelled but the submission continues.
	Submit func(ctx context.Context, r Request) (work.Answer, error)
	// Fetch returns the current answer of a submission.
	Fetch func(ctx context.Context, id ident.SubmissionID) (work.Answer, error)
	// Cancel cancels a submission and returns its answer.
	Cancel func(ctx context.Context, id ident.SubmissionID) (work.Answer, error)
	// NextID returns an id for the HeaderNextID header of a reply, or the zero
	// id to omit the header. It may be nil.
	NextID func() ident.SubmissionID
	Clock  clock.Clock
	Limits Limits
}

// Server returns a server for address, which has the form "IP:port", with a
// header size limit and timeouts. The server is not started.
func (h *Handler) Server(address string) *http.Server {
	// ReadTimeout is not set, because it would cancel the context of requests
	// that wait longer for their answer. Limits.BodyTimeout limits the time to
	// read a body instead.
	return &http.Server{
		Addr:              address,
		Handler:           h.mux(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      h.Limits.MaxDeadline + writeMargin,
	}
}

// ServeHTTP serves one request. It builds the request multiplexer anew on each
// call; Server builds it once.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux().ServeHTTP(w, r) }

func (h *Handler) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/submission-ids", h.issueIDs)
	mux.HandleFunc("POST /v1/requests", func(w http.ResponseWriter, r *http.Request) { h.submit(w, r, false) })
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) { h.submit(w, r, true) })
	mux.HandleFunc("GET /v1/submissions/{id}", func(w http.ResponseWriter, r *http.Request) { h.handleByID(w, r, h.Fetch) })
	mux.HandleFunc("DELETE /v1/submissions/{id}", func(w http.ResponseWriter, r *http.Request) { h.handleByID(w, r, h.Cancel) })
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		h.writeError(w, fault.New(fault.NotFound, fault.RanNo).WithDetail("no such path or method"))
	})
	return mux
}

func (h *Handler) issueIDs(w http.ResponseWriter, r *http.Request) {
	body := h.newBodyDecoder(w, r, maxIDsBodyBytes)
	n, err := parseCount(body, h.Limits.MaxIDs)
	body.clearDeadline(err)
	if err != nil {
		h.writeError(w, err)
		return
	}
	ids, err := h.IssueIDs(r.Context(), n)
	if err != nil {
		h.writeError(w, err)
		return
	}
	reply := idsReply{IDs: make([]string, len(ids))}
	for i, id := range ids {
		reply.IDs[i] = id.String()
	}
	writeJSON(w, http.StatusOK, reply)
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request, job bool) {
	req, err := h.readSubmission(w, r, job)
	if err != nil {
		h.writeError(w, err)
		return
	}
	answer, err := h.Submit(r.Context(), req)
	if err == nil {
		err = checkAnswer(answer, req)
	}
	if err != nil {
		h.writeError(w, err)
		return
	}
	if h.NextID != nil {
		if id := h.NextID(); !id.IsZero() {
			w.Header().Set(HeaderNextID, id.String())
		}
	}
	writeJSON(w, http.StatusOK, newAnswerReply(answer))
}

func (h *Handler) readSubmission(w http.ResponseWriter, r *http.Request, job bool) (Request, error) {
	key, err := parseIdempotencyKey(r.Header[HeaderIdempotencyKey])
	if err != nil {
		return Request{}, err
	}
	limit := h.Limits.MaxRequestBytes
	if job {
		limit = h.Limits.MaxJobBytes
	}
	arrived := h.Clock.Now()
	body := h.newBodyDecoder(w, r, limit)
	p := parser{body: body, limits: h.Limits, job: job}
	parsed, err := p.parse()
	body.clearDeadline(err)
	if err != nil {
		return Request{}, err
	}
	req := parsed.request(arrived, job)
	req.Key = key
	return req, nil
}

// handleByID serves a request for the submission in the path with action, which
// fetches or cancels it.
func (h *Handler) handleByID(w http.ResponseWriter, r *http.Request, action func(context.Context, ident.SubmissionID) (work.Answer, error)) {
	id, err := ident.ParseSubmissionID(r.PathValue("id"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	answer, err := action(r.Context(), id)
	if err == nil {
		err = checkAnswer(answer, Request{Submission: work.Submission{ID: id}, HasID: true})
	}
	if err != nil {
		h.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, newAnswerReply(answer))
}

// checkAnswer returns a fault.Internal error if the answer belongs to another
// submission or is incomplete, so that a defect in the instance does not reach
// the caller as a result.
func checkAnswer(answer work.Answer, req Request) error {
	internalErr := fault.New(fault.Internal, fault.RanUnknown)
	s := req.Submission
	if req.HasID && req.Key == "" && answer.ID != s.ID {
		return internalErr.WithDetail("the answer belongs to another submission")
	}
	if answer.State != work.Complete {
		return nil
	}
	if len(answer.Failures) > 0 || len(s.Tasks) > 0 && len(answer.Outputs) != len(s.Tasks) {
		return internalErr.WithDetail("the answer is incomplete or contains failures")
	}
	return nil
}

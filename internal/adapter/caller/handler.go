// Package caller speaks HTTP with callers: the server side, and a client for
// the command line and tests.
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

// Headers of the caller protocol.
const (
	// HeaderNextID carries an id for the caller's next submission.
	HeaderNextID = "Hornbeamlift-Next-Id"
	// HeaderKey carries the caller's own idempotency key.
	HeaderKey = "Hornbeamlift-Key"
)

// Bounds of the HTTP server.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	// idleTimeout exceeds the 60 s that load balancers commonly keep idle
	// connections, so that the balancer closes them first.
	idleTimeout = 2 * time.Minute
	// writeMargin is added to the longest deadline to send the answer.
	writeMargin = time.Minute
)

// Request is one submission as it arrived.
type Request struct {
	// Submission has the zero id unless IDGiven is true.
	Submission work.Submission
	IDGiven    bool
	// Key is the caller's idempotency key, or empty.
	Key string
	// Digest identifies the content, so that another body under the same id
	// can be told apart.
	Digest uint64
}

// Handler serves callers. Its function fields connect it to the instance. Their
// failures should be *fault.Error; others are reported as fault.Internal.
type Handler struct {
	// IssueIDs returns n fresh ids.
	IssueIDs func(ctx context.Context, n int) ([]ident.SubmissionID, error)
	// Submit waits for the answer. The context ends with the connection; the
	// submission itself goes on.
	Submit func(ctx context.Context, r Request) (work.Answer, error)
	// Fetch returns the present answer of a submission.
	Fetch func(ctx context.Context, id ident.SubmissionID) (work.Answer, error)
	// Cancel ends a submission and returns its answer.
	Cancel func(ctx context.Context, id ident.SubmissionID) (work.Answer, error)
	// NextID returns an id for the header of an answer, or the zero id.
	NextID func() ident.SubmissionID
	Clock  clock.Clock
	Limits Limits
}

// Server returns a server on the address, "IP:port", with bounded headers and
// timeouts. The caller of this method starts and stops it.
func (h *Handler) Server(address string) *http.Server {
	// ReadTimeout stays unset, because it would end the context of requests
	// that wait longer for their answer; BodyTimeout bounds bodies instead.
	return &http.Server{
		Addr:              address,
		Handler:           h.mux(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      h.Limits.MaxDeadline + writeMargin,
	}
}

// ServeHTTP answers one request. Server is cheaper for many of them.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux().ServeHTTP(w, r) }

func (h *Handler) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/submission-ids", h.issueIDs)
	mux.HandleFunc("POST /v1/requests", func(w http.ResponseWriter, r *http.Request) { h.submit(w, r, false) })
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) { h.submit(w, r, true) })
	mux.HandleFunc("GET /v1/submissions/{id}", func(w http.ResponseWriter, r *http.Request) { h.lookUp(w, r, h.Fetch) })
	mux.HandleFunc("DELETE /v1/submissions/{id}", func(w http.ResponseWriter, r *http.Request) { h.lookUp(w, r, h.Cancel) })
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		h.refuse(w, fault.New(fault.NotFound, fault.RanNo).WithDetail("no such path or method"))
	})
	return mux
}

func (h *Handler) issueIDs(w http.ResponseWriter, r *http.Request) {
	body := h.openBody(w, r, maxIDsBodyBytes)
	n, err := parseCount(body, h.Limits.MaxIDs)
	body.close(err)
	if err != nil {
		h.refuse(w, err)
		return
	}
	ids, err := h.IssueIDs(r.Context(), n)
	if err != nil {
		h.refuse(w, err)
		return
	}
	reply := idsReply{IDs: make([]string, len(ids))}
	for i, id := range ids {
		reply.IDs[i] = id.String()
	}
	write(w, http.StatusOK, reply)
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request, job bool) {
	req, err := h.read(w, r, job)
	if err != nil {
		h.refuse(w, err)
		return
	}
	answer, err := h.Submit(r.Context(), req)
	if err == nil {
		err = checkAnswer(answer, req)
	}
	if err != nil {
		h.refuse(w, err)
		return
	}
	if h.NextID != nil {
		if id := h.NextID(); !id.IsZero() {
			w.Header().Set(HeaderNextID, id.String())
		}
	}
	write(w, http.StatusOK, newAnswerReply(answer))
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request, job bool) (Request, error) {
	key, err := parseKey(r.Header[HeaderKey])
	if err != nil {
		return Request{}, err
	}
	limit := h.Limits.MaxRequestBytes
	if job {
		limit = h.Limits.MaxJobBytes
	}
	arrived := h.Clock.Now()
	body := h.openBody(w, r, limit)
	p := parser{body: body, limits: h.Limits, job: job}
	form, err := p.parse()
	body.close(err)
	if err != nil {
		return Request{}, err
	}
	req := form.request(arrived, job)
	req.Key = key
	return req, nil
}

func (h *Handler) lookUp(w http.ResponseWriter, r *http.Request, call func(context.Context, ident.SubmissionID) (work.Answer, error)) {
	id, err := ident.ParseSubmissionID(r.PathValue("id"))
	if err != nil {
		h.refuse(w, err)
		return
	}
	answer, err := call(r.Context(), id)
	if err == nil {
		err = checkAnswer(answer, Request{Submission: work.Submission{ID: id}, IDGiven: true})
	}
	if err != nil {
		h.refuse(w, err)
		return
	}
	write(w, http.StatusOK, newAnswerReply(answer))
}

// checkAnswer refuses an answer that is another submission's or only partly
// there, so that a defect elsewhere does not reach a caller as a result.
func checkAnswer(answer work.Answer, req Request) error {
	defect := fault.New(fault.Internal, fault.RanUnknown)
	s := req.Submission
	if req.IDGiven && req.Key == "" && answer.ID != s.ID {
		return defect.WithDetail("the answer belongs to another submission")
	}
	if answer.State != work.Complete {
		return nil
	}
	if len(answer.Failures) > 0 || len(s.Tasks) > 0 && len(answer.Outputs) != len(s.Tasks) {
		return defect.WithDetail("the answer is not whole")
	}
	return nil
}

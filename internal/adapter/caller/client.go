package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

const (
	// maxAttempts is the number of times that a call is sent before its outcome
	// is reported as unknown.
	maxAttempts = 3
	// initialBackOff is the wait before the second attempt. It doubles with
	// each further attempt.
	initialBackOff = 100 * time.Millisecond
	// maxPrefetchedIDs limits the unused ids that the client keeps from the
	// HeaderNextID headers of replies.
	maxPrefetchedIDs = 64
	// prefetchedIDLifetime is half the time for which instances by default
	// accept an id, so that a prefetched id does not expire before its
	// submission has ended.
	prefetchedIDLifetime = 5 * time.Minute
	// maxReplyBytes limits the size of a reply. The client cuts off a longer
	// reply and reports it as invalid JSON. 1,300 outputs of 1 MB of escaped text
	// each would exceed the limit; Limits.MaxJobBytes restricts only the inputs.
	maxReplyBytes = 256 << 20
	// maxRetryAfterSeconds is the longest Retry-After that is reported.
	maxRetryAfterSeconds = 24 * 60 * 60
)

// Call is a submission to send.
type Call struct {
	// ID may be zero; the client then uses a prefetched or newly issued id.
	ID ident.SubmissionID
	// Key is an optional idempotency key.
	Key     string
	Service ident.Service
	Team    ident.Team
	// Deadline is relative to the arrival at the instance, which sees it in
	// whole milliseconds. Zero means the default deadline of the instance.
	Deadline time.Duration
	Tasks    []Task
}

// Task is one task of a call.
type Task struct {
	// Input must be valid UTF-8.
	Input []byte
	// Deadline is like Call.Deadline; zero means the deadline of the call.
	Deadline time.Duration
	// Size is the caller's estimate of the task's size; zero means unknown.
	Size float64
}

// Client sends submissions to instances. If the connection is lost, it retries
// the submission with the same id, so that no task can start twice. It is safe
// for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	clock clock.Clock

	mu         sync.Mutex
	prefetched []prefetchedID
}

type prefetchedID struct {
	id       ident.SubmissionID
	received time.Time
}

// NewClient returns a client of the instance or load balancer at address, which
// has the form "IP:port".
func NewClient(address string, c clock.Clock) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}, clock: c}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type submissionBody struct {
	ID         string     `json:"id"`
	Service    string     `json:"service"`
	Team       string     `json:"team"`
	DeadlineMS int64      `json:"deadline-ms,omitempty"`
	Input      *string    `json:"input,omitempty"`
	Size       float64    `json:"size,omitempty"`
	Tasks      []taskBody `json:"tasks,omitempty"`
}

type taskBody struct {
	Input      string  `json:"input"`
	DeadlineMS int64   `json:"deadline-ms,omitempty"`
	Size       float64 `json:"size,omitempty"`
}

// IDs requests n new submission ids. An error of the call has fault.RanNo,
// because issuing ids starts no tasks. If the reply has too few or too many ids
// or a malformed one, the error has kind fault.PeerProtocol and
// fault.RanUnknown.
func (c *Client) IDs(ctx context.Context, n int) ([]ident.SubmissionID, error) {
	data := []byte(`{"count":` + strconv.Itoa(n) + `}`)
	var reply idsReply
	if err := c.doWithRetries(ctx, operation{method: http.MethodPost, path: "/v1/submission-ids", body: data}, &reply); err != nil {
		e := *fault.From(err)
		e.Ran = fault.RanNo
		return nil, &e
	}
	if len(reply.IDs) != n {
		return nil, protocolError("the reply contains a different number of ids than requested")
	}
	ids := make([]ident.SubmissionID, n)
	for i, text := range reply.IDs {
		id, err := ident.ParseSubmissionID(text)
		if err != nil {
			return nil, protocolError("the reply contains a malformed id")
		}
		ids[i] = id
	}
	return ids, nil
}

// Request submits a call of one task and waits for its answer. If the
// submission may have run despite the error, the error is a *fault.Error with
// Ran unknown and its detail contains the submission id.
func (c *Client) Request(ctx context.Context, call Call) (work.Answer, error) {
	if len(call.Tasks) != 1 {
		return work.Answer{}, badField("tasks", "a request must have exactly one task")
	}
	return c.submit(ctx, "/v1/requests", call)
}

// Job submits a call of one or more tasks and waits for its answer, like
// Request.
func (c *Client) Job(ctx context.Context, call Call) (work.Answer, error) {
	return c.submit(ctx, "/v1/jobs", call)
}

// Fetch returns the current answer of a submission.
func (c *Client) Fetch(ctx context.Context, id ident.SubmissionID) (work.Answer, error) {
	return c.answer(ctx, operation{method: http.MethodGet, path: "/v1/submissions/" + id.String()}, id, 0)
}

// Cancel cancels a submission and returns its answer.
func (c *Client) Cancel(ctx context.Context, id ident.SubmissionID) (work.Answer, error) {
	return c.answer(ctx, operation{method: http.MethodDelete, path: "/v1/submissions/" + id.String()}, id, 0)
}

func (c *Client) submit(ctx context.Context, path string, call Call) (work.Answer, error) {
	if call.ID.IsZero() {
		id, err := c.acquireID(ctx)
		if err != nil {
			return work.Answer{}, err
		}
		call.ID = id
	}
	body := submissionBody{
		ID:         call.ID.String(),
		Service:    string(call.Service),
		Team:       string(call.Team),
		DeadlineMS: call.Deadline.Milliseconds(),
	}
	if path == "/v1/requests" {
		input := string(call.Tasks[0].Input)
		body.Input, body.Size = &input, call.Tasks[0].Size
	} else {
		for _, t := range call.Tasks {
			body.Tasks = append(body.Tasks, taskBody{string(t.Input), t.Deadline.Milliseconds(), t.Size})
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return work.Answer{}, badField("size", "must be a finite number")
	}
	op := operation{method: http.MethodPost, path: path, body: data, key: call.Key, isSubmission: true}
	id := call.ID
	if call.Key != "" {
		id = ident.SubmissionID{} // an earlier submission with the same key may be answered
	}
	answer, err := c.answer(ctx, op, id, len(call.Tasks))
	if e := fault.From(err); err != nil && e.Ran == fault.RanUnknown {
		return answer, e.WithDetail("submission " + call.ID.String() + ": " + e.Detail)
	}
	return answer, err
}

// answer sends an operation whose reply is an answer, and checks the answer
// against id and the number of tasks. It skips the check of a zero value.
func (c *Client) answer(ctx context.Context, op operation, id ident.SubmissionID, tasks int) (work.Answer, error) {
	var reply answerReply
	if err := c.doWithRetries(ctx, op, &reply); err != nil {
		return work.Answer{}, err
	}
	got, err := ident.ParseSubmissionID(reply.ID)
	if err != nil || !id.IsZero() && got != id {
		return work.Answer{}, protocolError("the answer belongs to another submission")
	}
	answer := work.Answer{ID: got, State: reply.State}
	for _, output := range reply.Outputs {
		answer.Outputs = append(answer.Outputs, []byte(output))
	}
	for _, f := range reply.Failures {
		e := fault.New(f.Kind, f.Ran).WithDetail(f.Detail)
		answer.Failures = append(answer.Failures, work.TaskFailure{Task: f.Task, Error: e})
	}
	complete := len(answer.Failures) == 0 && (tasks == 0 || len(answer.Outputs) == tasks)
	switch {
	case answer.State == work.Complete && complete:
	case answer.State == work.Failed || answer.State == work.Running:
		answer.Outputs = nil
	default:
		return work.Answer{}, protocolError("the answer is incomplete or has an unknown state")
	}
	return answer, nil
}

// acquireID returns a prefetched id that has not expired, or requests a new
// one.
func (c *Client) acquireID(ctx context.Context) (ident.SubmissionID, error) {
	c.mu.Lock()
	for len(c.prefetched) > 0 {
		last := c.prefetched[len(c.prefetched)-1]
		c.prefetched = c.prefetched[:len(c.prefetched)-1]
		if c.clock.Now().Sub(last.received) < prefetchedIDLifetime {
			c.mu.Unlock()
			return last.id, nil
		}
	}
	c.mu.Unlock()
	ids, err := c.IDs(ctx, 1)
	if err != nil {
		return ident.SubmissionID{}, err
	}
	return ids[0], nil
}

// storePrefetchedID stores the id from the HeaderNextID header of a reply for a
// later submission.
func (c *Client) storePrefetchedID(header http.Header) {
	id, err := ident.ParseSubmissionID(header.Get(HeaderNextID))
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.prefetched) < maxPrefetchedIDs {
		c.prefetched = append(c.prefetched, prefetchedID{id: id, received: c.clock.Now()})
	}
}

// operation is one call of the HTTP API.
type operation struct {
	method, path string
	body         []byte
	key          string
	isSubmission bool
}

// doWithRetries sends op until a complete reply arrives, at most maxAttempts
// times, and decodes the reply. Every operation is safe to repeat: a submission
// carries its id, and a repetition of the others has no further effect.
func (c *Client) doWithRetries(ctx context.Context, op operation, reply any) error {
	wait := initialBackOff
	for attempt := 1; ; attempt++ {
		status, header, data, err := c.send(ctx, op)
		if err == nil {
			return c.decode(op, status, header, data, reply)
		}
		if attempt == maxAttempts || ctx.Err() != nil || !c.sleep(ctx, wait) {
			return fault.Wrap(err, fault.HomeUnreachable, fault.RanUnknown).WithDetail("the connection was lost")
		}
		wait *= 2
	}
}

func (c *Client) send(ctx context.Context, op operation) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, op.method, c.base+op.path, bytes.NewReader(op.body))
	if err != nil {
		return 0, nil, nil, err
	}
	if op.key != "" {
		req.Header.Set(HeaderIdempotencyKey, op.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, resp.Header, data, err
}

func (c *Client) decode(op operation, status int, header http.Header, data []byte, reply any) error {
	if status == http.StatusOK {
		if op.isSubmission {
			c.storePrefetchedID(header)
		}
		if err := json.Unmarshal(data, reply); err != nil {
			return fault.Wrap(err, fault.PeerProtocol, fault.RanUnknown).WithDetail("the reply is not valid JSON")
		}
		return nil
	}
	var r errorReply
	if err := json.Unmarshal(data, &r); err != nil || r.Error.Kind == "" {
		return fault.New(fault.HomeUnreachable, fault.RanUnknown).WithDetail("status " + strconv.Itoa(status) + " without an error description")
	}
	e := fault.New(r.Error.Kind, r.Error.Ran).WithField(r.Error.Field).WithDetail(r.Error.Detail)
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		e = e.WithRetryAfter(time.Duration(min(max(seconds, 0), maxRetryAfterSeconds)) * time.Second)
	}
	return e
}

// sleep waits for d. It returns false if ctx is done first.
func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	done := make(chan struct{})
	timer := c.clock.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func protocolError(detail string) error {
	return fault.New(fault.PeerProtocol, fault.RanUnknown).WithDetail(detail)
}

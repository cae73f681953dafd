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
	// clientAttempts is how often a submission is sent before its outcome is
	// reported as unknown.
	clientAttempts = 3
	// clientBackOff is the wait before the second attempt; it doubles.
	clientBackOff = 100 * time.Millisecond
	// maxKeptIDs bounds the ids kept from the headers of answers.
	maxKeptIDs = 64
	// keptIDLife is half the instances' default retention, so that a kept id
	// does not expire before its submission has ended.
	keptIDLife = 5 * time.Minute
	// maxReplyBytes bounds a reply: 1,300 outputs of up to 1 MB escaped text
	// would exceed it, but such jobs exceed the job's body bound as well.
	maxReplyBytes = 256 << 20
)

// Call is a submission to send.
type Call struct {
	// ID may be zero; the client then takes one first.
	ID      ident.SubmissionID
	Key     string
	Service ident.Service
	Team    ident.Team
	// Deadline counts from the arrival of the call; zero takes the default of
	// the instance.
	Deadline time.Duration
	Tasks    []Task
}

// Task is one task of a call.
type Task struct {
	// Input must be Unicode text.
	Input    []byte
	Deadline time.Duration
	Size     float64
}

// Client sends submissions to instances. A submission whose connection is lost
// is sent again under the same id, which cannot start its tasks twice. It is
// safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	clock clock.Clock

	mu   sync.Mutex
	kept []keptID
}

type keptID struct {
	id       ident.SubmissionID
	received time.Time
}

// NewClient returns a client of the instance or load balancer at the address,
// "IP:port".
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

// IDs takes n ids. Its failure has Ran no, since ids start nothing.
func (c *Client) IDs(ctx context.Context, n int) ([]ident.SubmissionID, error) {
	data := []byte(`{"count":` + strconv.Itoa(n) + `}`)
	var reply idsReply
	if err := c.exchange(ctx, exchange{method: http.MethodPost, path: "/v1/submission-ids", body: data}, &reply); err != nil {
		e := *fault.From(err)
		e.Ran = fault.RanNo
		return nil, &e
	}
	if len(reply.IDs) != n {
		return nil, malformed("the reply holds another number of ids than asked for")
	}
	ids := make([]ident.SubmissionID, n)
	for i, text := range reply.IDs {
		id, err := ident.ParseSubmissionID(text)
		if err != nil {
			return nil, malformed("the reply holds a malformed id")
		}
		ids[i] = id
	}
	return ids, nil
}

// Request submits a call of one task and waits for its answer. The failure of
// a submission that may have run has Ran unknown, and its detail names the id.
func (c *Client) Request(ctx context.Context, call Call) (work.Answer, error) {
	if len(call.Tasks) != 1 {
		return work.Answer{}, badField("tasks", "a request has one task")
	}
	return c.submit(ctx, "/v1/requests", call)
}

// Job submits a call of one or more tasks and waits for its answer, like
// Request.
func (c *Client) Job(ctx context.Context, call Call) (work.Answer, error) {
	return c.submit(ctx, "/v1/jobs", call)
}

// Fetch returns the present answer of a submission.
func (c *Client) Fetch(ctx context.Context, id ident.SubmissionID) (work.Answer, error) {
	return c.answer(ctx, exchange{method: http.MethodGet, path: "/v1/submissions/" + id.String()}, id, 0)
}

// Cancel ends a submission and returns its answer.
func (c *Client) Cancel(ctx context.Context, id ident.SubmissionID) (work.Answer, error) {
	return c.answer(ctx, exchange{method: http.MethodDelete, path: "/v1/submissions/" + id.String()}, id, 0)
}

func (c *Client) submit(ctx context.Context, path string, call Call) (work.Answer, error) {
	if call.ID.IsZero() {
		id, err := c.takeID(ctx)
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
	x := exchange{method: http.MethodPost, path: path, body: data, key: call.Key, submits: true}
	id := call.ID
	if call.Key != "" {
		id = ident.SubmissionID{} // the answer may be that of the key's first submission
	}
	answer, err := c.answer(ctx, x, id, len(call.Tasks))
	if e := fault.From(err); err != nil && e.Ran == fault.RanUnknown {
		return answer, e.WithDetail("submission " + call.ID.String() + ": " + e.Detail)
	}
	return answer, err
}

// answer makes an exchange that returns an answer and checks it against the id
// and the number of tasks, unless these are zero.
func (c *Client) answer(ctx context.Context, x exchange, id ident.SubmissionID, tasks int) (work.Answer, error) {
	var reply answerReply
	if err := c.exchange(ctx, x, &reply); err != nil {
		return work.Answer{}, err
	}
	got, err := ident.ParseSubmissionID(reply.ID)
	if err != nil || !id.IsZero() && got != id {
		return work.Answer{}, malformed("the answer belongs to another submission")
	}
	answer := work.Answer{ID: got, State: reply.State}
	for _, output := range reply.Outputs {
		answer.Outputs = append(answer.Outputs, []byte(output))
	}
	for _, f := range reply.Failures {
		e := fault.New(f.Kind, f.Ran).WithDetail(f.Detail)
		answer.Failures = append(answer.Failures, work.TaskFailure{Task: f.Task, Error: e})
	}
	whole := len(answer.Failures) == 0 && (tasks == 0 || len(answer.Outputs) == tasks)
	switch {
	case answer.State == work.Complete && whole:
	case answer.State == work.Failed || answer.State == work.Running:
		answer.Outputs = nil
	default:
		return work.Answer{}, malformed("the answer is not whole")
	}
	return answer, nil
}

// takeID returns a kept id, or asks for one.
func (c *Client) takeID(ctx context.Context) (ident.SubmissionID, error) {
	c.mu.Lock()
	for len(c.kept) > 0 {
		last := c.kept[len(c.kept)-1]
		c.kept = c.kept[:len(c.kept)-1]
		if c.clock.Now().Sub(last.received) < keptIDLife {
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

// keepID keeps the id of an answer's header for the next submission.
func (c *Client) keepID(header http.Header) {
	id, err := ident.ParseSubmissionID(header.Get(HeaderNextID))
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.kept) < maxKeptIDs {
		c.kept = append(c.kept, keptID{id: id, received: c.clock.Now()})
	}
}

// exchange is one call over HTTP.
type exchange struct {
	method, path string
	body         []byte
	key          string
	submits      bool
}

// exchange sends until a whole reply arrives. All calls may be repeated: a
// submission carries its id, and the others change nothing further.
func (c *Client) exchange(ctx context.Context, x exchange, reply any) error {
	wait := clientBackOff
	for attempt := 1; ; attempt++ {
		status, header, data, err := c.send(ctx, x)
		if err == nil {
			return c.decode(x, status, header, data, reply)
		}
		if attempt == clientAttempts || ctx.Err() != nil || !c.sleep(ctx, wait) {
			return fault.Wrap(err, fault.HomeUnreachable, fault.RanUnknown).WithDetail("the connection was lost")
		}
		wait *= 2
	}
}

func (c *Client) send(ctx context.Context, x exchange) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, x.method, c.base+x.path, bytes.NewReader(x.body))
	if err != nil {
		return 0, nil, nil, err
	}
	if x.key != "" {
		req.Header.Set(HeaderKey, x.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, resp.Header, data, err
}

func (c *Client) decode(x exchange, status int, header http.Header, data []byte, reply any) error {
	if status == http.StatusOK {
		if x.submits {
			c.keepID(header)
		}
		if err := json.Unmarshal(data, reply); err != nil {
			return fault.Wrap(err, fault.PeerProtocol, fault.RanUnknown).WithDetail("the reply is not valid JSON")
		}
		return nil
	}
	var r refusalReply
	if err := json.Unmarshal(data, &r); err != nil || r.Error.Kind == "" {
		return fault.New(fault.HomeUnreachable, fault.RanUnknown).WithDetail("status " + strconv.Itoa(status) + " without a reason")
	}
	e := fault.New(r.Error.Kind, r.Error.Ran).WithField(r.Error.Field).WithDetail(r.Error.Detail)
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		e = e.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return e
}

// sleep waits and reports whether the context still lives.
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

func malformed(detail string) error {
	return fault.New(fault.PeerProtocol, fault.RanUnknown).WithDetail(detail)
}

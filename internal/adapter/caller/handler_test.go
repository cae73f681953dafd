package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

const idText = "penang-1.entry-1.19ae.1xg0.11"

func testID(sequence uint64) ident.SubmissionID {
	return ident.SubmissionID{DataCentre: "penang-1", Instance: "entry-1", Incarnation: 0x19ae, Issued: time.Second, Sequence: sequence}
}

// fixedClock always returns the same time, so that deadlines are exact.
type fixedClock struct{ clock.System }

var arrival = time.UnixMilli(1_700_000_000_000)

func (fixedClock) Now() time.Time { return arrival }

// newEchoHandler returns a handler that returns each input as the output, and
// the list of requests that it received.
func newEchoHandler() (*caller.Handler, *[]caller.Request) {
	var received []caller.Request
	h := &caller.Handler{Clock: fixedClock{}, Limits: caller.Limits{}.Defaults()}
	h.Limits.BodyTimeout = 0
	h.IssueIDs = func(_ context.Context, n int) ([]ident.SubmissionID, error) {
		ids := make([]ident.SubmissionID, n)
		for i := range ids {
			ids[i] = testID(uint64(i + 1))
		}
		return ids, nil
	}
	h.Submit = func(_ context.Context, r caller.Request) (work.Answer, error) {
		received = append(received, r)
		a := work.Answer{ID: r.Submission.ID, State: work.Complete}
		for _, t := range r.Submission.Tasks {
			a.Outputs = append(a.Outputs, t.Body)
		}
		return a, nil
	}
	h.Fetch = func(_ context.Context, id ident.SubmissionID) (work.Answer, error) {
		return work.Answer{ID: id, State: work.Running}, nil
	}
	h.Cancel = func(_ context.Context, id ident.SubmissionID) (work.Answer, error) {
		e := fault.New(fault.Cancelled, fault.RanYes).WithDetail("stopped")
		return work.Answer{ID: id, State: work.Failed, Failures: []work.TaskFailure{{Error: e}}}, nil
	}
	h.NextID = func() ident.SubmissionID { return testID(99) }
	return h, &received
}

// do sends a request to h and returns the recorded response.
func do(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

type errorReply struct {
	Error struct{ Kind, Field, Detail, Ran string }
}

// mustDecodeError returns the JSON error of a response, and fails the test if
// there is none.
func mustDecodeError(t *testing.T, w *httptest.ResponseRecorder) errorReply {
	t.Helper()
	var r errorReply
	if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil || r.Error.Kind == "" {
		t.Fatalf("status %d without a typed error: %s", w.Code, w.Body)
	}
	return r
}

// TestInvalidBody guards against an invalid body that is submitted, or whose
// error does not name the invalid field.
func TestInvalidBody(t *testing.T) {
	const request = `{"id":"` + idText + `","service":"press","team":"shop","input":"x","deadline-ms":5,"size":2}`
	const job = `{"service":"press","team":"shop","deadline-ms":50,"tasks":[{"input":"x"},{"input":"y","deadline-ms":5,"size":2}]}`
	tooManyTasks := `"tasks":[` + strings.Repeat(`{"input":""},`, 1300) + `{"input":""}]`
	tooLongInput := `"` + strings.Repeat("a", 1<<20+1) + `"`
	cases := map[string]struct{ path, old, new, field, kind string }{
		"unknown key":               {"requests", `"size"`, `"sise"`, "sise", "bad-field"},
		"key in another case":       {"requests", `"team"`, `"Team"`, "Team", "bad-field"},
		"tasks in a request":        {"requests", `"size":2`, `"tasks":[]`, "tasks", "bad-field"},
		"duplicate key":             {"requests", `"size":2`, `"size":2,"size":2`, "size", "bad-field"},
		"not an object":             {"requests", request, `[]`, "", "bad-field"},
		"empty body":                {"requests", request, ``, "", "bad-field"},
		"truncated":                 {"requests", `"size":2}`, `"size":2`, "", "bad-field"},
		"trailing data":             {"requests", `"size":2}`, `"size":2}{}`, "", "bad-field"},
		"malformed id":              {"requests", idText, `x`, "id", "bad-field"},
		"id not a string":           {"requests", `"` + idText + `"`, `7`, "id", "bad-field"},
		"missing service":           {"requests", `"service":"press",`, ``, "service", "bad-field"},
		"service not a name":        {"requests", `"press"`, `"Press!"`, "service", "bad-field"},
		"service is null":           {"requests", `"press"`, `null`, "service", "bad-field"},
		"missing team":              {"requests", `"team":"shop",`, ``, "team", "bad-field"},
		"empty team":                {"requests", `"shop"`, `""`, "team", "bad-field"},
		"missing input":             {"requests", `"input":"x",`, ``, "input", "bad-field"},
		"input not a string":        {"requests", `"x"`, `{}`, "input", "bad-field"},
		"input not UTF-8":           {"requests", `"x"`, "\"\xff\"", "input", "bad-field"},
		"input with lone surrogate": {"requests", `"x"`, `"\\\ud83d\u0041"`, "input", "bad-field"},
		"input too long":            {"requests", `"x"`, tooLongInput, "input", "too-large"},
		"body too long":             {"requests", request, request + strings.Repeat(" ", 4<<20), "", "too-large"},
		"deadline of zero":          {"requests", `"deadline-ms":5`, `"deadline-ms":0`, "deadline-ms", "bad-field"},
		"deadline above an hour":    {"requests", `"deadline-ms":5`, `"deadline-ms":3600001`, "deadline-ms", "bad-field"},
		"deadline with a fraction":  {"requests", `"deadline-ms":5`, `"deadline-ms":5.5`, "deadline-ms", "bad-field"},
		"deadline as text":          {"requests", `"deadline-ms":5`, `"deadline-ms":"5"`, "deadline-ms", "bad-field"},
		"deadline above 64 bits":    {"requests", `"deadline-ms":5`, `"deadline-ms":99999999999999999999`, "deadline-ms", "bad-field"},
		"negative size":             {"requests", `"size":2`, `"size":-2`, "size", "bad-field"},
		"infinite size":             {"requests", `"size":2`, `"size":1e999`, "size", "bad-field"},
		"missing tasks":             {"jobs", `,"tasks":[{"input":"x"},{"input":"y","deadline-ms":5,"size":2}]`, ``, "tasks", "bad-field"},
		"empty tasks":               {"jobs", `[{"input":"x"},{"input":"y","deadline-ms":5,"size":2}]`, `[]`, "tasks", "bad-field"},
		"tasks not an array":        {"jobs", `[{"input":"x"},{"input":"y","deadline-ms":5,"size":2}]`, `{}`, "tasks", "bad-field"},
		"too many tasks":            {"jobs", `"tasks":[{"input":"x"},{"input":"y","deadline-ms":5,"size":2}]`, tooManyTasks, "tasks", "too-large"},
		"task without input":        {"jobs", `{"input":"x"}`, `{"size":1}`, "tasks[0].input", "bad-field"},
		"unknown key in a task":     {"jobs", `"size":2`, `"sise":2`, "tasks[1].sise", "bad-field"},
		"task not an object":        {"jobs", `{"input":"x"}`, `"x"`, "tasks[0]", "bad-field"},
		"task deadline after job":   {"jobs", `"deadline-ms":5,`, `"deadline-ms":51,`, "tasks[1].deadline-ms", "bad-field"},
		"input in a job":            {"jobs", `"team":`, `"input":"x","team":`, "input", "bad-field"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := map[string]string{"requests": request, "jobs": job}[c.path]
			h, received := newEchoHandler()
			is.Equal(do(h, "POST", "/v1/"+c.path, body).Code, 200) // the unchanged body passes
			*received = nil
			changed := strings.Replace(body, c.old, c.new, 1)
			is.True(changed != body)
			w := do(h, "POST", "/v1/"+c.path, changed)
			r := mustDecodeError(t, w)
			is.Equal(w.Code, 400)
			is.Equal(r.Error.Field, c.field)
			is.Equal(r.Error.Kind, c.kind)
			is.Equal(r.Error.Ran, "no")
			is.Equal(len(*received), 0)
		})
	}
}

// TestInvalidIDCountKeyAndPath guards against invalid ids, counts, idempotency
// keys and paths that are accepted, or whose error does not name the field.
func TestInvalidIDCountKeyAndPath(t *testing.T) {
	cases := map[string]struct {
		method, path, body, field string
		status                    int
	}{
		"count of zero":            {"POST", "/v1/submission-ids", `{"count":0}`, "count", 400},
		"count too high":           {"POST", "/v1/submission-ids", `{"count":1001}`, "count", 400},
		"missing count":            {"POST", "/v1/submission-ids", `{}`, "count", 400},
		"unknown key":              {"POST", "/v1/submission-ids", `{"n":1}`, "n", 400},
		"malformed id":             {"GET", "/v1/submissions/7", "", "id", 400},
		"cancel with malformed id": {"DELETE", "/v1/submissions/7", "", "id", 400},
		"unknown path":             {"GET", "/v2/jobs", "", "", 404},
		"wrong method":             {"GET", "/v1/jobs", "", "", 404},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, _ := newEchoHandler()
			w := do(h, c.method, c.path, c.body)
			is.New(t).Equal(w.Code, c.status)
			is.New(t).Equal(mustDecodeError(t, w).Error.Field, c.field)
		})
	}
	for _, key := range [][]string{{""}, {"a b"}, {"a", "b"}, {strings.Repeat("k", 257)}, {"\x80"}} {
		h, received := newEchoHandler()
		w := httptest.NewRecorder()
		r := httptest.NewRequest("POST", "/v1/requests", strings.NewReader(`{"service":"s","team":"t","input":""}`))
		r.Header[caller.HeaderIdempotencyKey] = key
		h.ServeHTTP(w, r)
		is.New(t).Equal(mustDecodeError(t, w).Error.Field, caller.HeaderIdempotencyKey)
		is.New(t).Equal(len(*received), 0)
	}
}

// TestSubmissionFields guards against fields of the body that are missing in
// the submission, wrong default deadlines, and responses without their headers.
func TestSubmissionFields(t *testing.T) {
	is := is.New(t)
	h, received := newEchoHandler()
	w := do(h, "POST", "/v1/jobs", `{"team":"shop","tasks":[{"input":"<é\ud83d\ude00>"},{"size":1.5,"deadline-ms":7,"input":""}],"service":"press","id":"`+idText+`"}`)
	is.Equal(w.Code, 200)
	is.Equal(w.Body.String(), `{"id":"`+idText+`","state":"complete","outputs":["<é😀>",""]}`+"\n")
	is.Equal(w.Header().Get("Content-Length"), fmt.Sprint(w.Body.Len()))
	is.Equal(w.Header().Get(caller.HeaderNextID), testID(99).String())
	r := (*received)[0]
	is.True(r.HasID && r.Submission.Job)
	is.Equal(r.Submission.ID.String(), idText)
	is.Equal(r.Submission.Deadline, arrival.Add(time.Minute))
	is.Equal(r.Submission.Tasks[0].Deadline, arrival.Add(time.Minute))
	is.Equal(r.Submission.Tasks[1], work.Input{Body: []byte{}, Deadline: arrival.Add(7 * time.Millisecond), Size: 1.5})

	is.Equal(do(h, "GET", "/v1/submissions/"+idText, "").Body.String(), `{"id":"`+idText+`","state":"running"}`+"\n")
	is.Equal(do(h, "DELETE", "/v1/submissions/"+idText, "").Body.String(),
		`{"id":"`+idText+`","state":"failed","failures":[{"task":0,"kind":"cancelled","ran":"yes","detail":"stopped"}]}`+"\n")
}

// TestDigest guards against different digests of equal content, which would
// make the instance reject a resubmission, and equal digests of different
// content.
func TestDigest(t *testing.T) {
	is := is.New(t)
	h, received := newEchoHandler()
	digest := func(path, body string) uint64 {
		is.Helper()
		is.Equal(do(h, "POST", path, body).Code, 200)
		return (*received)[len(*received)-1].Digest
	}
	base := digest("/v1/requests", `{"service":"s","team":"t","input":"ab","deadline-ms":60000}`)
	is.Equal(base, digest("/v1/requests", ` {"input":"a\u0062", "team":"t","service":"s","id":"`+idText+`"}`))
	digests := map[uint64]bool{base: true}
	for _, body := range []string{
		`{"service":"st","team":"t","input":"ab"}`, `{"service":"s","team":"tt","input":"ab"}`,
		`{"service":"s","team":"t","input":"a"}`, `{"service":"s","team":"t","input":"ab","size":1}`,
		`{"service":"s","team":"t","input":"ab","deadline-ms":59999}`,
	} {
		digests[digest("/v1/requests", body)] = true
	}
	for _, tasks := range []string{`{"input":"ab"}`, `{"input":"a"},{"input":"b"}`, `{"input":""},{"input":"ab"}`} {
		digests[digest("/v1/jobs", `{"service":"s","team":"t","tasks":[`+tasks+`]}`)] = true
	}
	is.Equal(len(digests), 9)
	// between holds the bytes that the digest writes between two inputs with
	// deadlines of 1 ms, so that these jobs differ only in the lengths of their
	// inputs.
	between := `@B\u000f` + strings.Repeat(`\u0000`, 21)
	job := func(a, b string) uint64 {
		return digest("/v1/jobs", `{"service":"s","team":"t","deadline-ms":1,"tasks":[{"input":"`+a+`"},{"input":"`+b+`"}]}`)
	}
	is.True(job("x"+between+"y", "z") != job("x", "y"+between+"z"))
}

// TestErrorStatus guards against errors with the wrong HTTP status, a
// Retry-After that is rounded down, and a kind or Ran value that is lost.
func TestErrorStatus(t *testing.T) {
	cases := map[string]struct {
		err        error
		status     int
		retryAfter string
	}{
		"queue full":          {fault.New(fault.QueueFull, fault.RanNo).WithRetryAfter(1200 * time.Millisecond), 429, "2"},
		"draining":            {fault.New(fault.Draining, fault.RanNo), 503, "1"},
		"id conflict":         {fault.New(fault.IDConflict, fault.RanNo), 409, ""},
		"id unknown":          {fault.New(fault.IDUnknown, fault.RanNo), 400, ""},
		"id expired":          {fault.New(fault.IDExpired, fault.RanUnknown), 410, ""},
		"outcome unknown":     {fault.New(fault.OutcomeUnknown, fault.RanUnknown), 410, ""},
		"not found":           {fault.New(fault.NotFound, fault.RanNo), 404, ""},
		"home unreachable":    {fault.New(fault.HomeUnreachable, fault.RanUnknown).WithRetryAfter(time.Minute), 503, "60"},
		"deadline unmeetable": {fault.New(fault.DeadlineUnmeetable, fault.RanNo), 503, "1"},
		"claim unconfirmed":   {fault.New(fault.ClaimUnconfirmed, fault.RanUnknown), 503, "1"},
		"unknown team":        {fault.New(fault.UnknownTeam, fault.RanNo), 400, ""},
		"untyped error":       {context.Canceled, 503, "1"},
		"quota exhausted":     {fault.New(fault.QuotaExhausted, fault.RanNo).WithRetryAfter(time.Hour), 429, "3600"},
		"unplaceable":         {fault.New(fault.Unplaceable, fault.RanNo), 400, ""},
		"no configuration":    {fault.New(fault.ConfigMissing, fault.RanNo), 503, "1"},
		"cancelled":           {fault.New(fault.Cancelled, fault.RanNo), 409, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, _ := newEchoHandler()
			h.Submit = func(context.Context, caller.Request) (work.Answer, error) { return work.Answer{}, c.err }
			w := do(h, "POST", "/v1/requests", `{"service":"s","team":"t","input":""}`)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Retry-After"), c.retryAfter)
			is.Equal(mustDecodeError(t, w).Error.Kind, string(fault.KindOf(c.err)))
			is.Equal(mustDecodeError(t, w).Error.Ran, string(fault.From(c.err).Ran))
		})
	}
}

// TestIncompleteAnswer guards against responses with an answer that is partial,
// altered or belongs to another submission.
func TestIncompleteAnswer(t *testing.T) {
	id, _ := ident.ParseSubmissionID(idText)
	outputs := [][]byte{[]byte("a"), []byte("b")}
	failure := []work.TaskFailure{{Task: 1, Error: fault.New(fault.EndpointFailed, fault.RanYes)}}
	cases := map[string]struct {
		answer work.Answer
		status int
		state  string
	}{
		"complete":             {work.Answer{ID: id, State: work.Complete, Outputs: outputs}, 200, "complete"},
		"too few outputs":      {work.Answer{ID: id, State: work.Complete, Outputs: outputs[:1]}, 503, ""},
		"outputs and failures": {work.Answer{ID: id, State: work.Complete, Outputs: outputs, Failures: failure}, 503, ""},
		"other submission":     {work.Answer{ID: testID(7), State: work.Complete, Outputs: outputs}, 503, ""},
		"failed with outputs":  {work.Answer{ID: id, State: work.Failed, Outputs: outputs, Failures: failure}, 200, "failed"},
		"output not UTF-8":     {work.Answer{ID: id, State: work.Complete, Outputs: [][]byte{outputs[0], {0xff}}}, 200, "failed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, _ := newEchoHandler()
			h.Submit = func(context.Context, caller.Request) (work.Answer, error) { return c.answer, nil }
			w := do(h, "POST", "/v1/jobs", `{"service":"s","team":"t","id":"`+idText+`","tasks":[{"input":""},{"input":""}]}`)
			is.Equal(w.Code, c.status)
			var reply struct {
				State    string
				Outputs  []string
				Failures []struct{ Task int }
			}
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &reply))
			is.Equal(reply.State, c.state)
			if c.state == "complete" {
				is.Equal(reply.Outputs, []string{"a", "b"})
				return
			}
			is.Equal(len(reply.Outputs), 0)
			if c.state == "failed" {
				is.Equal(reply.Failures[0].Task, 1)
			}
		})
	}
}

// FuzzBody guards against panics, untyped errors, and accepted bodies that
// exceed a limit or whose digest changes when the parsed submission is encoded
// again.
func FuzzBody(f *testing.F) {
	f.Add(true, `{"service":"s","team":"t","tasks":[{"input":"\ud83d\ude00","size":1e3}]}`)
	f.Add(false, `{"service":"s","team":"t","input":"a","deadline-ms":1}`)
	f.Fuzz(func(t *testing.T, job bool, body string) {
		h, received := newEchoHandler()
		path := "/v1/requests"
		if job {
			path = "/v1/jobs"
		}
		w := do(h, "POST", path, body)
		if w.Code != 200 {
			if w.Code != 400 || mustDecodeError(t, w).Error.Ran != "no" || len(*received) != 0 {
				t.Fatalf("%d: %s", w.Code, w.Body)
			}
			return
		}
		s := (*received)[0].Submission
		encoded := map[string]any{"service": s.Service, "team": s.Team, "deadline-ms": s.Deadline.Sub(arrival).Milliseconds()}
		tasks := make([]map[string]any, len(s.Tasks))
		for i, task := range s.Tasks {
			if task.Deadline.After(s.Deadline) || !task.Deadline.After(arrival) || !(task.Size >= 0) {
				t.Fatalf("task outside its limits: %+v", task)
			}
			tasks[i] = map[string]any{"input": string(task.Body), "size": task.Size, "deadline-ms": task.Deadline.Sub(arrival).Milliseconds()}
		}
		encoded["tasks"] = tasks
		if !job {
			encoded["input"], encoded["size"] = tasks[0]["input"], tasks[0]["size"]
			delete(encoded, "tasks")
		}
		text, err := json.Marshal(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if w := do(h, "POST", path, string(text)); w.Code != 200 || (*received)[0].Digest != (*received)[1].Digest {
			t.Fatalf("encoded again as %s: status %d or a different digest", text, w.Code)
		}
	})
}

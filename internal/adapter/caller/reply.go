package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// leastRetryAfter holds where a refusal that may succeed later names no time.
const leastRetryAfter = time.Second

type idsReply struct {
	IDs []string `json:"ids"`
}

type answerReply struct {
	ID       string         `json:"id"`
	State    work.State     `json:"state"`
	Outputs  []string       `json:"outputs,omitempty"`
	Failures []failureReply `json:"failures,omitempty"`
}

type failureReply struct {
	Task   int        `json:"task"`
	Kind   fault.Kind `json:"kind"`
	Ran    fault.Ran  `json:"ran"`
	Detail string     `json:"detail,omitempty"`
}

type refusalReply struct {
	Error refusal `json:"error"`
}

type refusal struct {
	Kind   fault.Kind `json:"kind"`
	Field  string     `json:"field,omitempty"`
	Detail string     `json:"detail,omitempty"`
	Ran    fault.Ran  `json:"ran"`
}

// newAnswerReply never puts outputs beside failures. Output that is not
// Unicode text cannot be a JSON string; such an answer is failed as a whole
// instead of altered.
func newAnswerReply(a work.Answer) answerReply {
	reply := answerReply{ID: a.ID.String(), State: a.State}
	if a.State == work.Complete {
		reply.Outputs = make([]string, len(a.Outputs))
		for i, output := range a.Outputs {
			if !utf8.Valid(output) {
				failure := failureReply{Task: i, Kind: fault.EndpointFailed, Ran: fault.RanYes, Detail: "the output is not Unicode text"}
				reply.Failures = append(reply.Failures, failure)
			}
			reply.Outputs[i] = string(output)
		}
		if len(reply.Failures) > 0 {
			reply.State, reply.Outputs = work.Failed, nil
		}
		return reply
	}
	for _, f := range a.Failures {
		failure := failureReply{Task: f.Task, Kind: fault.Internal, Ran: fault.RanUnknown}
		if f.Error != nil {
			failure.Kind, failure.Ran, failure.Detail = f.Error.Kind, f.Error.Ran, f.Error.Detail
		}
		reply.Failures = append(reply.Failures, failure)
	}
	return reply
}

// refuse answers with the failure and the status of its kind.
func (h *Handler) refuse(w http.ResponseWriter, err error) {
	e := fault.From(err)
	status := statusOf(e.Kind)
	retry := e.RetryAfter
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		retry = max(retry, leastRetryAfter)
	}
	if retry > 0 {
		seconds := (retry + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	write(w, status, refusalReply{refusal{Kind: e.Kind, Field: e.Field, Detail: e.Detail, Ran: e.Ran}})
}

// statusOf returns 4xx where the same submission would fail again, 429 where a
// limit is reached, and 503 where it may succeed later.
func statusOf(kind fault.Kind) int {
	switch kind {
	case fault.BadField, fault.UnknownService, fault.UnknownTeam, fault.NotAllowed,
		fault.TooLarge, fault.IDUnknown, fault.Unplaceable:
		return http.StatusBadRequest
	case fault.NotFound:
		return http.StatusNotFound
	case fault.IDConflict, fault.Cancelled:
		return http.StatusConflict
	case fault.IDExpired, fault.OutcomeUnknown:
		return http.StatusGone
	case fault.QueueFull, fault.QuotaExhausted, fault.BudgetExhausted:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// write encodes the whole reply before the first byte goes out. With its
// length known, a caller can tell a reply that was cut off.
func write(w http.ResponseWriter, status int, reply any) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(reply); err != nil {
		buf.Reset()
		status = http.StatusServiceUnavailable
		buf.WriteString(`{"error":{"kind":"internal","ran":"unknown"}}` + "\n")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(buf.Len()))
	w.WriteHeader(status)
	_, _ = w.Write(buf.Bytes())
}

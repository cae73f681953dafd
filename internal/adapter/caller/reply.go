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

// minRetryAfter is the minimum Retry-After of a response with status 429 or
// 503, which the caller may retry.
const minRetryAfter = time.Second

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

type errorReply struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Kind   fault.Kind `json:"kind"`
	Field  string     `json:"field,omitempty"`
	Detail string     `json:"detail,omitempty"`
	Ran    fault.Ran  `json:"ran"`
}

// newAnswerReply converts an answer to its JSON form, which never contains both
// outputs and failures. An output that is not valid UTF-8 cannot be encoded as
// a JSON string without changing it, so the whole answer is reported as failed.
func newAnswerReply(a work.Answer) answerReply {
	reply := answerReply{ID: a.ID.String(), State: a.State}
	if a.State == work.Complete {
		reply.Outputs = make([]string, len(a.Outputs))
		for i, output := range a.Outputs {
			if !utf8.Valid(output) {
				failure := failureReply{Task: i, Kind: fault.EndpointFailed, Ran: fault.RanYes, Detail: "the output is not valid UTF-8"}
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

// writeError sends err as a JSON error with the HTTP status of its kind.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	status := httpStatus(e.Kind)
	retryAfter := e.RetryAfter
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		retryAfter = max(retryAfter, minRetryAfter)
	}
	if retryAfter > 0 {
		seconds := (retryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, status, errorReply{errorBody{Kind: e.Kind, Field: e.Field, Detail: e.Detail, Ran: e.Ran}})
}

// httpStatus returns the HTTP status for a kind of failure: 429 if a limit is
// reached, another 4xx status if the same submission would fail again, and 503
// if a retry may succeed.
func httpStatus(kind fault.Kind) int {
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

// writeJSON encodes the complete reply before it sends the first byte, so that
// it can set Content-Length, from which a caller detects a truncated reply.
func writeJSON(w http.ResponseWriter, status int, reply any) {
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

// Package fault defines the typed errors that the system reports. Each has the
// kind of the error and says whether any of the work ran.
package fault

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is a kind of error. It is written in kebab case, as callers see it.
type Kind string

// The kinds of error.
const (
	// BadField: a field of a request, or of the platform's list, is malformed
	// or out of range.
	BadField Kind = "bad-field"
	// UnknownService: no such service is configured, or no route matches the
	// request.
	UnknownService Kind = "unknown-service"
	// UnknownTeam: no team of that name is configured.
	UnknownTeam Kind = "unknown-team"
	// NotAllowed: the team may not use the service.
	NotAllowed Kind = "not-allowed"
	// TooLarge: a body, job, reply or stored value exceeds a fixed limit.
	TooLarge Kind = "too-large"
	// IDUnknown: the home instance did not issue this id.
	IDUnknown Kind = "id-unknown"
	// IDExpired: the id is older than the retention.
	IDExpired Kind = "id-expired"
	// IDConflict: the id was used before with another body.
	IDConflict Kind = "id-conflict"
	// NotFound: what was asked for does not exist: a submission, job, store
	// lease, path, file or log line.
	NotFound Kind = "not-found"
	// HomeUnreachable: the home instance is running but does not answer, or no
	// owner of the endpoints is known.
	HomeUnreachable Kind = "home-unreachable"
	// OutcomeUnknown: the work may or may not have run, and is never run again.
	OutcomeUnknown Kind = "outcome-unknown"
	// ClaimUnconfirmed: the store could not confirm the claim of a key.
	ClaimUnconfirmed Kind = "claim-unconfirmed"
	// Draining: the instance or endpoint is shutting down and takes no new
	// work.
	Draining Kind = "draining"
	// QueueFull: too many tasks of the service are already waiting.
	QueueFull Kind = "queue-full"
	// DeadlineUnmeetable: the answer is not expected before the deadline.
	DeadlineUnmeetable Kind = "deadline-unmeetable"
	// DeadlineExceeded: the deadline passed.
	DeadlineExceeded Kind = "deadline-exceeded"
	// Unplaceable: the work cannot run anywhere with the current endpoints and
	// limits, or needs a feature that is not supported.
	Unplaceable Kind = "unplaceable"
	// QuotaExhausted: a limit of the team or service is used up.
	QuotaExhausted Kind = "quota-exhausted"
	// Cancelled: the submission was cancelled, or its caller disconnected, or
	// the process stopped.
	Cancelled Kind = "cancelled"
	// AnswerDropped: the work ran, but its outputs were discarded to save
	// memory.
	AnswerDropped Kind = "answer-dropped"
	// EndpointFailed: the endpoint ran the task and reported a failure.
	EndpointFailed Kind = "endpoint-failed"
	// EndpointBusy: the endpoint refused the task because it had no free slot.
	EndpointBusy Kind = "endpoint-busy"
	// EndpointUnreachable: a call got no valid reply. Package httpcall returns
	// it for any address, and clients of other services replace the kind.
	EndpointUnreachable Kind = "endpoint-unreachable"
	// ConfigInvalid: the configuration file is not valid.
	ConfigInvalid Kind = "config-invalid"
	// ConfigMissing: the instance has no configuration yet, or one that may be
	// out of date and lacks what was asked for.
	ConfigMissing Kind = "config-missing"
	// ApplyConflict: another operator's change of the configuration came first.
	ApplyConflict Kind = "apply-conflict"
	// StoreUnavailable: the platform's store does not answer, or its answer is
	// not valid.
	StoreUnavailable Kind = "store-unavailable"
	// StoreConflict: a compare-and-swap found another revision, a watch asked
	// for history that the store no longer has, or a stored record cannot be
	// decoded.
	StoreConflict Kind = "store-conflict"
	// StoreUnknown: the reply to a write was lost, so the write may have been
	// made.
	StoreUnknown Kind = "store-unknown"
	// BudgetExhausted: the calling client's own call or retry budget is used
	// up.
	BudgetExhausted Kind = "budget-exhausted"
	// PeerProtocol: a peer violated the protocol.
	PeerProtocol Kind = "peer-protocol"
	// PeerRefused: a peer presented a wrong token or identity.
	PeerRefused Kind = "peer-refused"
	// Unauthorized: an operator's request had no valid token.
	Unauthorized Kind = "unauthorized"
	// SettingsInvalid: the settings of the process are not valid.
	SettingsInvalid Kind = "settings-invalid"
	// Internal: a bug or a local failure of the process itself.
	Internal Kind = "internal"
)

// Ran says whether any of the work ran.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a typed error.
type Error struct {
	Kind Kind
	// Ran says whether any of the work ran.
	Ran Ran
	// Field is the path of the faulty field, if any.
	Field string
	// Detail is an explanation for people.
	Detail string
	// RetryAfter is how long to wait before a retry, if a retry can help.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
	Cause error
}

// New returns an error of the kind.
func New(kind Kind, ran Ran) *Error { return &Error{Kind: kind, Ran: ran} }

// Wrap returns an error of the kind with a cause. The cause records a stack
// trace for the log.
func Wrap(cause error, kind Kind, ran Ran) *Error {
	return &Error{Kind: kind, Ran: ran, Cause: eris.Wrap(cause, string(kind))}
}

// WithField returns a copy with the path of the faulty field.
func (e *Error) WithField(field string) *Error {
	c := *e
	c.Field = field
	return &c
}

// WithDetail returns a copy with an explanation.
func (e *Error) WithDetail(detail string) *Error {
	c := *e
	c.Detail = detail
	return &c
}

// WithRetryAfter returns a copy with the time to wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the kind, followed by the field, the detail and the innermost
// cause where they are set.
func (e *Error) Error() string {
	s := string(e.Kind)
	if e.Field != "" {
		s += " (" + e.Field + ")"
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + eris.Cause(e.Cause).Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the first *Error in err's chain, Internal if there
// is none, and the empty kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}

// Has reports whether an *Error of the kind is anywhere in err's chain.
func Has(err error, kind Kind) bool {
	var e *Error
	for errors.As(err, &e) {
		if e.Kind == kind {
			return true
		}
		err = e.Cause
	}
	return false
}

// From returns the first *Error in err's chain. If there is none, it wraps err
// with kind Internal and RanUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, RanUnknown)
}

// Package fault holds the typed failures that the system reports. Each says
// what kind of failure it is and whether any of the work ran.
package fault

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Kind names a kind of failure, in kebab case, as callers see it.
type Kind string

// The kinds of failure.
const (
	// BadField: a field of the request is malformed or out of range.
	BadField Kind = "bad-field"
	// UnknownService: no service of that name is configured.
	UnknownService Kind = "unknown-service"
	// UnknownTeam: no team of that name is configured.
	UnknownTeam Kind = "unknown-team"
	// NotAllowed: the team may not use the service.
	NotAllowed Kind = "not-allowed"
	// TooLarge: the body or the job exceeds a fixed bound.
	TooLarge Kind = "too-large"
	// IDUnknown: the home never issued this id.
	IDUnknown Kind = "id-unknown"
	// IDExpired: the id is older than the retention.
	IDExpired Kind = "id-expired"
	// IDConflict: the id was used before with another body.
	IDConflict Kind = "id-conflict"
	// NotFound: nothing was submitted under the id.
	NotFound Kind = "not-found"
	// HomeUnreachable: the home instance lives but does not answer.
	HomeUnreachable Kind = "home-unreachable"
	// OutcomeUnknown: the work may or may not have run, and never runs again.
	OutcomeUnknown Kind = "outcome-unknown"
	// ClaimUnconfirmed: the store could not confirm the claim of a key.
	ClaimUnconfirmed Kind = "claim-unconfirmed"
	// Draining: the instance or endpoint is leaving.
	Draining Kind = "draining"
	// QueueFull: too many tasks of the service wait already.
	QueueFull Kind = "queue-full"
	// DeadlineUnmeetable: the deadline would pass before the answer.
	DeadlineUnmeetable Kind = "deadline-unmeetable"
	// DeadlineExceeded: the deadline passed.
	DeadlineExceeded Kind = "deadline-exceeded"
	// Unplaceable: the work can run nowhere.
	Unplaceable Kind = "unplaceable"
	// QuotaExhausted: a limit of the team or service leaves no room.
	QuotaExhausted Kind = "quota-exhausted"
	// Cancelled: the caller cancelled the submission.
	Cancelled Kind = "cancelled"
	// AnswerDropped: the work ran, but its outputs were given up to save memory.
	AnswerDropped Kind = "answer-dropped"
	// EndpointFailed: the endpoint ran the task and reported a failure.
	EndpointFailed Kind = "endpoint-failed"
	// EndpointBusy: the endpoint refused the task for want of a slot.
	EndpointBusy Kind = "endpoint-busy"
	// EndpointUnreachable: no connection to the endpoint could be used.
	EndpointUnreachable Kind = "endpoint-unreachable"
	// ConfigInvalid: the configuration file breaks a rule.
	ConfigInvalid Kind = "config-invalid"
	// ConfigMissing: no configuration is in force yet.
	ConfigMissing Kind = "config-missing"
	// ApplyConflict: another apply came first.
	ApplyConflict Kind = "apply-conflict"
	// StoreUnavailable: the platform's store does not answer.
	StoreUnavailable Kind = "store-unavailable"
	// StoreConflict: a compare-and-swap found another revision.
	StoreConflict Kind = "store-conflict"
	// StoreUnknown: a write's reply was lost.
	StoreUnknown Kind = "store-unknown"
	// BudgetExhausted: the caller's own call or retry budget is spent.
	BudgetExhausted Kind = "budget-exhausted"
	// PeerProtocol: a peer sent something that breaks the protocol.
	PeerProtocol Kind = "peer-protocol"
	// PeerRefused: a peer presented a wrong token or identity.
	PeerRefused Kind = "peer-refused"
	// Unauthorized: an operator call carried no valid token.
	Unauthorized Kind = "unauthorized"
	// SettingsInvalid: the settings of the process break a rule.
	SettingsInvalid Kind = "settings-invalid"
	// Internal: a defect or a local failure of the process itself.
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

// Error is a typed failure.
type Error struct {
	Kind Kind
	// Ran says whether any of the work ran.
	Ran Ran
	// Field is the path of the faulty field, if any.
	Field string
	// Detail explains the failure to a person.
	Detail string
	// RetryAfter is how long to wait before the next try, if one helps.
	RetryAfter time.Duration
	// Cause is the failure beneath, if any.
	Cause error
}

// New returns a failure of the kind.
func New(kind Kind, ran Ran) *Error { return &Error{Kind: kind, Ran: ran} }

// Wrap returns a failure of the kind with a cause, which keeps a stack trace
// for the log.
func Wrap(cause error, kind Kind, ran Ran) *Error {
	return &Error{Kind: kind, Ran: ran, Cause: eris.Wrap(cause, string(kind))}
}

// WithField returns a copy that names the faulty field.
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

// WithRetryAfter returns a copy that says when to try again.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the kind with what else is known.
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

// Unwrap returns the failure beneath.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the first typed failure in err's chain, Internal
// for other failures, and the empty kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}

// From returns the first typed failure in err's chain, or wraps err as
// Internal with an unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, RanUnknown)
}

package ident

import (
	"strconv"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// SubmissionID identifies a submission and contains its home, the process that
// issued the id. Only the home may start the submission's tasks.
type SubmissionID struct {
	DataCentre  DataCentre
	Instance    InstanceID
	Incarnation Incarnation
	// Issued is the time from the home's start to the issue of the id, in whole
	// milliseconds.
	Issued time.Duration
	// Sequence numbers the ids that the home has issued, from 1.
	Sequence uint64
}

// maxSubmissionIDLength is the maximum length of an id in bytes. It bounds the
// work of ParseSubmissionID.
const maxSubmissionIDLength = 256

// maxIssued is the largest value of Issued: the largest time.Duration, in
// nanoseconds.
const maxIssued = 1<<63 - 1

// Home returns the process that may start the submission's tasks.
func (id SubmissionID) Home() Process {
	return Process{Instance: id.Instance, Incarnation: id.Incarnation}
}

// IsZero reports whether id is the zero id, which identifies no submission.
func (id SubmissionID) IsZero() bool { return id == SubmissionID{} }

// String returns the id in the form that ParseSubmissionID reads.
func (id SubmissionID) String() string {
	return strings.Join([]string{
		string(id.DataCentre),
		string(id.Instance),
		strconv.FormatUint(uint64(id.Incarnation), 16),
		strconv.FormatInt(id.Issued.Milliseconds(), 36),
		strconv.FormatUint(id.Sequence, 36),
	}, ".")
}

// ParseSubmissionID parses an id in the form of String. The error has the kind
// fault.BadField and the field "id".
func ParseSubmissionID(s string) (SubmissionID, error) {
	if len(s) > maxSubmissionIDLength {
		return SubmissionID{}, badID("is longer than 256 bytes")
	}
	parts := strings.Split(s, ".")
	if len(parts) != 5 {
		return SubmissionID{}, badID("does not have five parts")
	}
	if !ValidName(parts[0]) || !ValidName(parts[1]) {
		return SubmissionID{}, badID("has a malformed data centre or instance name")
	}
	incarnation, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return SubmissionID{}, badID("has a malformed incarnation")
	}
	issued, err := strconv.ParseUint(parts[3], 36, 63)
	if err != nil || issued > maxIssued/uint64(time.Millisecond) {
		return SubmissionID{}, badID("has a malformed issue time")
	}
	sequence, err := strconv.ParseUint(parts[4], 36, 64)
	if err != nil || sequence == 0 {
		return SubmissionID{}, badID("has a malformed sequence number")
	}
	return SubmissionID{
		DataCentre:  DataCentre(parts[0]),
		Instance:    InstanceID(parts[1]),
		Incarnation: Incarnation(incarnation),
		Issued:      time.Duration(issued) * time.Millisecond,
		Sequence:    sequence,
	}, nil
}

// badID returns the error for a malformed id.
func badID(detail string) error {
	return fault.New(fault.BadField, fault.RanNo).WithField("id").WithDetail("submission id " + detail)
}

// ValidName reports whether s is a valid name of a data centre, instance,
// service or team: 1 to 64 characters from a-z, 0-9 and the hyphen, without a
// hyphen at either end.
func ValidName(s string) bool {
	if s == "" || len(s) > 64 || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, c := range []byte(s) {
		if c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

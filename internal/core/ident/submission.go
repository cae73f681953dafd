package ident

import (
	"strconv"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// SubmissionID names a submission and the process that is its home. Only that
// process may start the submission's tasks.
type SubmissionID struct {
	DataCentre  DataCentre
	Instance    InstanceID
	Incarnation Incarnation
	// Issued is the time since the home's start, in whole milliseconds.
	Issued time.Duration
	// Sequence counts the ids of the home, from 1.
	Sequence uint64
}

// maxSubmissionIDLength bounds what ParseSubmissionID looks at.
const maxSubmissionIDLength = 256

// maxIssued keeps Issued within the range of time.Duration.
const maxIssued = 1<<63 - 1

// Home returns the process that may start the submission's tasks.
func (id SubmissionID) Home() Process {
	return Process{Instance: id.Instance, Incarnation: id.Incarnation}
}

// IsZero reports whether id names no submission.
func (id SubmissionID) IsZero() bool { return id == SubmissionID{} }

// String returns the form that ParseSubmissionID reads.
func (id SubmissionID) String() string {
	return strings.Join([]string{
		string(id.DataCentre),
		string(id.Instance),
		strconv.FormatUint(uint64(id.Incarnation), 16),
		strconv.FormatInt(id.Issued.Milliseconds(), 36),
		strconv.FormatUint(id.Sequence, 36),
	}, ".")
}

// ParseSubmissionID reads an id in the form of String. Its failure has kind
// fault.BadField and names the field "id".
func ParseSubmissionID(s string) (SubmissionID, error) {
	if len(s) > maxSubmissionIDLength {
		return SubmissionID{}, badID("is longer than 256 bytes")
	}
	parts := strings.Split(s, ".")
	if len(parts) != 5 {
		return SubmissionID{}, badID("does not have five parts")
	}
	if !ValidName(parts[0]) || !ValidName(parts[1]) {
		return SubmissionID{}, badID("names no data centre or instance")
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

func badID(detail string) error {
	return fault.New(fault.BadField, fault.RanNo).WithField("id").WithDetail("submission id " + detail)
}

// ValidName reports whether s may name a data centre, instance, service or
// team: 1 to 64 characters out of a-z, 0-9 and the hyphen, and no hyphen at
// either end.
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

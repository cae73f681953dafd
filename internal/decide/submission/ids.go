package submission

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// markInterval is how often the issuer notes the highest sequence number. It
// is the resolution of the retention.
const markInterval = time.Second

// mark says that all sequence numbers up to sequence were issued by the time.
type mark struct {
	at       time.Time
	sequence uint64
}

// issuer issues submission ids and knows which of them are older than the
// retention. It goes by sequence numbers and not by the time in an id, since
// a caller could alter that time to get past the retention.
type issuer struct {
	process    ident.Process
	dataCentre ident.DataCentre
	started    time.Time
	retention  time.Duration
	issued     uint64
	expired    uint64
	marks      []mark
}

// issue returns n new ids.
func (s *issuer) issue(now time.Time, n int) []ident.SubmissionID {
	s.expire(now)
	ids := make([]ident.SubmissionID, n)
	for i := range ids {
		s.issued++
		ids[i] = ident.SubmissionID{
			DataCentre:  s.dataCentre,
			Instance:    s.process.Instance,
			Incarnation: s.process.Incarnation,
			Issued:      now.Sub(s.started).Truncate(time.Millisecond),
			Sequence:    s.issued,
		}
	}
	last := len(s.marks) - 1
	if last >= 0 && now.Sub(s.marks[last].at) < markInterval {
		s.marks[last].sequence = s.issued
	} else {
		s.marks = append(s.marks, mark{at: now, sequence: s.issued})
	}
	return ids
}

// expire forgets the marks older than the retention. A mark covers ids issued
// up to one interval after its time, so it is kept that much longer.
func (s *issuer) expire(now time.Time) {
	n := 0
	for n < len(s.marks) && now.Sub(s.marks[n].at) > s.retention+markInterval {
		s.expired = s.marks[n].sequence
		n++
	}
	if n > 0 {
		s.marks = append(s.marks[:0], s.marks[n:]...)
	}
}

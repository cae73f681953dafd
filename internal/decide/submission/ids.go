package submission

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// markInterval is how often the issuer records the highest sequence number. An
// id expires at most this long after its retention has passed, plus the time
// until the next call of expire.
const markInterval = time.Second

// sequenceMark records that all sequence numbers up to sequence were issued no
// later than markInterval after at.
type sequenceMark struct {
	at       time.Time
	sequence uint64
}

// issuer issues submission ids and tracks which of them are older than the
// retention. It uses sequence numbers and not the time in an id, since a caller
// could alter that time to use an id beyond the retention.
type issuer struct {
	process     ident.Process
	dataCentre  ident.DataCentre
	started     time.Time
	retention   time.Duration
	lastIssued  uint64
	lastExpired uint64
	marks       []sequenceMark
}

// issue returns n new ids.
func (s *issuer) issue(now time.Time, n int) []ident.SubmissionID {
	s.expire(now)
	ids := make([]ident.SubmissionID, n)
	for i := range ids {
		s.lastIssued++
		ids[i] = ident.SubmissionID{
			DataCentre:  s.dataCentre,
			Instance:    s.process.Instance,
			Incarnation: s.process.Incarnation,
			Issued:      now.Sub(s.started).Truncate(time.Millisecond),
			Sequence:    s.lastIssued,
		}
	}
	last := len(s.marks) - 1
	if last >= 0 && now.Sub(s.marks[last].at) < markInterval {
		s.marks[last].sequence = s.lastIssued
	} else {
		s.marks = append(s.marks, sequenceMark{at: now, sequence: s.lastIssued})
	}
	return ids
}

// expire removes the marks that are older than the retention. A mark covers ids
// issued up to markInterval after its time, so it is kept that much longer.
func (s *issuer) expire(now time.Time) {
	n := 0
	for n < len(s.marks) && now.Sub(s.marks[n].at) > s.retention+markInterval {
		s.lastExpired = s.marks[n].sequence
		n++
	}
	if n > 0 {
		s.marks = append(s.marks[:0], s.marks[n:]...)
	}
}

package submission

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// checkpointInterval is how often the issuer records the highest sequence
// number. It is the resolution of the retention.
const checkpointInterval = time.Second

// checkpoint records that all sequence numbers up to sequence were issued by
// the time at, or within checkpointInterval after it.
type checkpoint struct {
	at       time.Time
	sequence uint64
}

// issuer issues submission ids and tracks which of them are older than the
// retention. It uses sequence numbers and not the time in an id, since a caller
// could alter that time to get past the retention.
type issuer struct {
	process     ident.Process
	dataCentre  ident.DataCentre
	started     time.Time
	retention   time.Duration
	lastIssued  uint64
	lastExpired uint64
	checkpoints []checkpoint
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
	last := len(s.checkpoints) - 1
	if last >= 0 && now.Sub(s.checkpoints[last].at) < checkpointInterval {
		s.checkpoints[last].sequence = s.lastIssued
	} else {
		s.checkpoints = append(s.checkpoints, checkpoint{at: now, sequence: s.lastIssued})
	}
	return ids
}

// expire removes the checkpoints that are older than the retention. A
// checkpoint covers ids issued up to one interval after its time, so it is kept
// that much longer.
func (s *issuer) expire(now time.Time) {
	n := 0
	for n < len(s.checkpoints) && now.Sub(s.checkpoints[n].at) > s.retention+checkpointInterval {
		s.lastExpired = s.checkpoints[n].sequence
		n++
	}
	if n > 0 {
		s.checkpoints = append(s.checkpoints[:0], s.checkpoints[n:]...)
	}
}

package owner

import "time"

// patience learns how long calls to endpoints take, as this process sees it, and
// so how long an answer may take before it counts as lost.
type patience struct {
	mean      time.Duration
	deviation time.Duration
}

const (
	// meanShare and deviationShare are one over the share of the newest call in
	// the learned values, and deviations how many of these are waited for. They
	// follow the retransmission timer of TCP (RFC 6298), with more room for
	// tails, since a false alarm costs a connection.
	meanShare      = 8
	deviationShare = 4
	deviations     = 8
)

// learn takes the time of a call that was answered.
func (l *patience) learn(took time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = took, took/2
		return
	}
	l.deviation += ((took - l.mean).Abs() - l.deviation) / deviationShare
	l.mean += (took - l.mean) / meanShare
}

// limit returns how long an answer may take.
func (l *patience) limit(cfg *Config) time.Duration {
	if l.mean == 0 {
		return cfg.AnswerMax
	}
	return min(max(l.mean+deviations*l.deviation, cfg.AnswerMin), cfg.AnswerMax)
}

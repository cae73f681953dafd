package owner

import "time"

// answerTime learns how long calls to endpoints take, as this process sees it,
// and so how long an answer may take before it counts as lost.
type answerTime struct {
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
func (a *answerTime) learn(took time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = took, took/2
		return
	}
	a.deviation += ((took - a.mean).Abs() - a.deviation) / deviationShare
	a.mean += (took - a.mean) / meanShare
}

// limit returns how long an answer may take.
func (a *answerTime) limit(cfg *Config) time.Duration {
	if a.mean == 0 {
		return cfg.AnswerMax
	}
	return min(max(a.mean+deviations*a.deviation, cfg.AnswerMin), cfg.AnswerMax)
}

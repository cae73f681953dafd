package owner

import "time"

// latencyEstimator learns how long calls to endpoints take, as measured by this
// process, and derives the call timeout from that.
type latencyEstimator struct {
	mean      time.Duration
	deviation time.Duration
}

const (
	// meanDivisor and deviationDivisor are the inverse weights of the latest
	// call in the moving averages. timeoutDeviations is how many deviations the
	// timeout lies above the mean. They follow the retransmission timer of TCP
	// (RFC 6298), with a larger margin for tail latencies, since a false
	// timeout costs a connection.
	meanDivisor       = 8
	deviationDivisor  = 4
	timeoutDeviations = 8
)

// observe records the latency of an answered call.
func (l *latencyEstimator) observe(took time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = took, took/2
		return
	}
	l.deviation += ((took - l.mean).Abs() - l.deviation) / deviationDivisor
	l.mean += (took - l.mean) / meanDivisor
}

// timeout returns how long an answer may take. Late answers are no lost answers
// while the calls of this process are congested.
func (l *latencyEstimator) timeout(cfg *Config, congested bool) time.Duration {
	longest := cfg.MaxCallTimeout
	if congested {
		longest = cfg.CongestedCallTimeout
	}
	if l.mean == 0 {
		return longest
	}
	return min(max(l.mean+timeoutDeviations*l.deviation, cfg.MinCallTimeout), longest)
}

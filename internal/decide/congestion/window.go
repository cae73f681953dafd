// Package congestion bounds the calls that an owner has in flight, by their
// latency. It answers a load of starts beyond what the owner's link or
// processor carries: more starts in flight would then only wait in queues until
// they time out, and their repeats would fill the link further.
//
// A Window tells congestion from loss: calls that are not answered say nothing
// as long as others are answered fast, while a full link delays each of them. A
// Window is a deterministic state machine.
package congestion

import "time"

// Config holds the settings of a Window.
type Config struct {
	// Initial, Min and Max are sizes of the window, in calls.
	Initial, Min, Max float64
	// Queueing is the mean time in queues, beyond the least latency, from which
	// on the calls count as congested.
	Queueing time.Duration
	// BaseAge is how long the least latency that was measured is used.
	BaseAge time.Duration
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	set := func(f *float64, v float64) {
		if *f == 0 {
			*f = v
		}
	}
	set(&c.Initial, 256)
	set(&c.Min, 8)
	set(&c.Max, 4096)
	if c.Queueing == 0 {
		c.Queueing = 40 * time.Millisecond
	}
	if c.BaseAge == 0 {
		c.BaseAge = 10 * time.Second
	}
	return c
}

const (
	// meanShare is the weight of the latest call in the mean latency.
	meanShare = 1.0 / 16
	// growth is by how much an answered call enlarges the window: by a quarter
	// in the time of one round trip.
	growth = 0.25
	// fastPart is the part of Config.Queueing up to which answered calls count
	// as fast.
	fastPart = 4
	// minLosses is the number of calls in a row without an answer from which on
	// they count as late: an endpoint loses some answers, a full link all.
	minLosses = 16
	// resumeParts is the number of parts of the window of which one must be
	// free, so that held back calls are sent a few at a time.
	resumeParts = 4
	// maxDecrease is the smallest factor by which the window shrinks at a time.
	maxDecrease = 0.5
)

// Window is the number of calls that may be in flight.
type Window struct {
	cfg  Config
	size float64
	// answered is the mean latency of answered calls, zero before the first one,
	// and mean that of all calls that count; see isLoss.
	answered time.Duration
	mean     time.Duration
	// lossesInRow is the number of calls that were given up since the last
	// answer.
	lossesInRow int
	// base and previousBase are the least latencies of the current and of the
	// previous period of Config.BaseAge.
	base, previousBase time.Duration
	baseSince          time.Time
	// shrinkAfter is when the window may shrink again: a call that was sent
	// before it shrank says nothing about the new size.
	shrinkAfter time.Time
}

// New returns a window of the initial size.
func New(cfg Config) *Window {
	cfg = cfg.Defaults()
	return &Window{cfg: cfg, size: cfg.Initial}
}

// Free returns how many more calls may be sent.
func (w *Window) Free(inFlight int) int { return max(0, int(w.size)-inFlight) }

// Resumable reports whether so much of the window is free again that calls
// which it held back should be sent.
func (w *Window) Resumable(inFlight int) bool {
	return resumeParts*w.Free(inFlight) >= int(w.size)
}

// Observe records the latency of a call that was answered, or the time after
// which it was given up, with the number of calls that are still in flight.
func (w *Window) Observe(now time.Time, latency time.Duration, answered bool, inFlight int) {
	if answered {
		w.lossesInRow = 0
		w.observeBase(now, latency)
		w.answered = average(w.answered, latency)
	} else if w.lossesInRow++; w.isLoss() {
		return
	}
	w.mean = average(w.mean, latency)
	switch {
	case w.Congested():
		w.shrink(now)
	case answered && 2*float64(inFlight+1) >= w.size:
		w.size = min(w.size+growth, w.cfg.Max)
	}
}

// isLoss reports whether a call that was given up counts as lost by its
// endpoint, and not as late: others are answered without waiting in queues.
func (w *Window) isLoss() bool {
	fast := w.answered <= w.leastLatency()+w.cfg.Queueing/fastPart
	return fast && w.lossesInRow < minLosses
}

// average returns a moving average with the next value, or that value if there
// is none before.
func average(mean, next time.Duration) time.Duration {
	if mean == 0 {
		return next
	}
	return mean + time.Duration(meanShare*float64(next-mean))
}

// observeBase updates the least latency.
func (w *Window) observeBase(now time.Time, latency time.Duration) {
	if now.Sub(w.baseSince) >= w.cfg.BaseAge {
		w.previousBase, w.base, w.baseSince = w.base, 0, now
	}
	if w.base == 0 || latency < w.base {
		w.base = latency
	}
}

// leastLatency returns the least latency of the last periods.
func (w *Window) leastLatency() time.Duration {
	if w.previousBase != 0 && (w.base == 0 || w.previousBase < w.base) {
		return w.previousBase
	}
	return w.base
}

// limit is the mean latency from which on calls are congested.
func (w *Window) limit() time.Duration { return w.leastLatency() + w.cfg.Queueing }

// Congested reports whether calls wait in queues.
func (w *Window) Congested() bool { return w.mean > w.limit() }

// shrink reduces the window to what the queueing time allows, once for each
// round trip.
func (w *Window) shrink(now time.Time) {
	if now.Before(w.shrinkAfter) {
		return
	}
	factor := max(maxDecrease, float64(w.limit())/float64(w.mean))
	w.size = max(w.cfg.Min, w.size*factor)
	w.shrinkAfter = now.Add(w.mean)
}

// Interval returns the mean time between two calls that the window allows, or
// zero as long as it does not bound them.
func (w *Window) Interval() time.Duration {
	if w.mean == 0 || w.size >= w.cfg.Initial {
		return 0
	}
	return time.Duration(float64(w.mean) / w.size)
}

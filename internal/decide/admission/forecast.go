// Package admission predicts how long waiting work has to wait, so that an
// owner can refuse at once what cannot be served in its deadline. It answers a
// load above the room of the endpoints or above the starts that the owner can
// send: without it, each queued task waits until its deadline passes, and its
// caller learns too late that it must ask again.
//
// The prediction goes by the work in the queue against the room, and not by a
// number of tasks: tasks differ in size and run time.
package admission

import (
	"math"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Capacity is the room of the endpoints of a service, each weighted by its
// speed.
type Capacity struct{ cpu, memory, gpu float64 }

// Add adds an endpoint, whose runs take slowdown times their estimate.
func (c *Capacity) Add(room job.Room, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	c.cpu += float64(room.CPU) / slowdown
	c.memory += float64(room.Memory) / slowdown
	c.gpu += float64(room.GPU) / slowdown
}

// Known reports whether there is any room.
func (c *Capacity) Known() bool { return c.cpu > 0 }

// Work returns the time for which a task with a run time takes up the whole
// capacity. It goes by the scarcest resource, and is infinite if there is none.
func (c *Capacity) Work(room job.Room, run time.Duration) float64 {
	share := math.Max(shareOf(room.CPU, c.cpu), math.Max(shareOf(room.Memory, c.memory), shareOf(room.GPU, c.gpu)))
	return share * run.Seconds()
}

func shareOf(needed int64, of float64) float64 {
	if needed == 0 {
		return 0
	}
	return float64(needed) / of
}

// Forecast predicts the wait of tasks that are added in the order in which they
// will start.
type Forecast struct {
	// Spare is the part of the capacity that is left for these tasks.
	Spare float64
	// StartInterval is the least time between two starts, or zero.
	StartInterval time.Duration
	work          float64 // seconds of the whole capacity
	starts        int
}

// Wait returns how long the next task waits before it starts.
func (f *Forecast) Wait() time.Duration {
	if f.work == 0 && f.starts == 0 {
		return 0
	}
	forRoom := f.work / math.Max(f.Spare, minSpare)
	forStarts := float64(f.starts) * f.StartInterval.Seconds()
	return time.Duration(math.Min(math.Max(forRoom, forStarts), maxWait.Seconds()) * float64(time.Second))
}

// Add adds tasks with their total work.
func (f *Forecast) Add(work float64, tasks int) {
	f.work += work
	f.starts += tasks
}

const (
	// minSpare keeps the prediction finite when nothing is left.
	minSpare = 0.001
	// maxWait bounds the prediction.
	maxWait = time.Hour
)

// Meter measures how much work arrives, as a share of the capacity. It answers
// a load that stays above the room, and not a burst that is soon over, as when
// jobs that gathered without an owner arrive all at once.
type Meter struct{ short, long average }

// average is an exponential average of the work that arrives in a second.
type average struct {
	rate float64
	last time.Time
}

const (
	// shortPeriod and longPeriod are the times over which a Meter averages.
	// The short one lets it follow a load that falls, and the long one bridges
	// bursts of about a second.
	shortPeriod = 500 * time.Millisecond
	longPeriod  = 2 * time.Second
)

// Add records work that has arrived, in seconds of the whole capacity.
func (m *Meter) Add(now time.Time, work float64) {
	m.short.add(now, shortPeriod, work)
	m.long.add(now, longPeriod, work)
}

// Rate returns the work that arrives in a second, as far as it has lasted.
func (m *Meter) Rate(now time.Time) float64 {
	return math.Min(m.short.at(now, shortPeriod), m.long.at(now, longPeriod))
}

func (a *average) add(now time.Time, period time.Duration, work float64) {
	a.rate = a.at(now, period) + work/period.Seconds()
	a.last = now
}

func (a *average) at(now time.Time, period time.Duration) float64 {
	if a.last.IsZero() {
		return 0
	}
	return a.rate * math.Exp(-now.Sub(a.last).Seconds()/period.Seconds())
}

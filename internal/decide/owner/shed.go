package owner

import (
	"maps"
	"math"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/admission"
)

// loadID identifies endpoints by what tasks ask for. A label that is not
// required is empty.
type loadID struct {
	service ident.Service
	label   string
}

// load is the load of the endpoints of a service, or of those of them that have
// a label.
type load struct {
	capacity admission.Capacity
	arrivals admission.Meter
	// waiting is the work of the waiting tasks that are not surplus, in seconds
	// of the whole capacity.
	waiting float64
	// forecast is that of the latest search for hopeless batches.
	forecast admission.Forecast
}

// maxSoon is the work that may wait, in time of the whole capacity, before what
// arrives next is surplus. It is below the time that the shortest tasks may
// wait and still meet their target.
const maxSoon = 40 * time.Millisecond

// isSurplus reports whether a batch that arrives now comes after all others.
// This answers a load above the room: if all of it waited in one queue, all
// would start just when it is too late, and hardly a job would meet its target.
// So the load that can start soon does, of each kind the same share, and the
// surplus gets what the others leave, or is refused once it is hopeless.
func (l *load) isSurplus() bool { return l.waiting > maxSoon.Seconds() }

// add counts a task that has been queued.
func (l *load) add(t *task) {
	if !t.batch.surplus {
		t.work = l.workOf(t.batch)
		l.waiting += t.work
	}
}

// workOf returns the time for which a task of the batch takes up the whole
// capacity. It is zero while the capacity is unknown, and for tasks that no
// endpoint can run, which hold nothing up.
func (l *load) workOf(b *batch) float64 {
	if !l.capacity.Known() {
		return 0
	}
	work := l.capacity.Work(b.needs.Room, b.needs.Estimate)
	if math.IsInf(work, 1) {
		return 0
	}
	return work
}

// remove counts a task that is no longer queued.
func (l *load) remove(t *task) {
	l.waiting -= t.work
	t.work = 0
}

// maxLoads bounds the loads, since callers choose the labels. Tasks with a
// further label count towards the load of their service.
const maxLoads = 64

// loadOf returns the load of the endpoints that may run a batch.
func (p *Pool) loadOf(service ident.Service, label string) *load {
	id := loadID{service: service, label: label}
	if p.loads[id] == nil && len(p.loads) >= maxLoads {
		id.label = ""
	}
	if p.loads[id] == nil {
		p.loads[id] = &load{}
	}
	return p.loads[id]
}

// updateCapacities adds up the room of the owned endpoints of each load.
// Endpoints that do not answer for a moment count, since work that waits for
// them may still be served. Unreachable ones do not, as a crashed endpoint stays
// listed for seconds: work would be kept waiting for room that does not exist.
func (p *Pool) updateCapacities() {
	for _, l := range p.loads {
		l.capacity = admission.Capacity{}
	}
	for _, e := range p.sortedEndpoints {
		if e.Draining || p.evacuated[e.DataCentre] || !e.missingSince.IsZero() || e.ownership == ownershipForeign || e.unreachable() || !p.owns(e.Endpoint) {
			continue
		}
		ratio := e.slowdown.blendedRatio(p.slowdownOfGroup(e))
		for id, l := range p.loads {
			if id.service == e.Service && (id.label == "" || slices.Contains(e.Labels, id.label)) {
				l.capacity.Add(e.Room, ratio)
			}
		}
	}
}

// countArrival records that new tasks of a batch have arrived.
func (b *batch) countArrival(now time.Time, tasks int) {
	if work := b.load.workOf(b); work > 0 {
		b.load.arrivals.Add(now, float64(tasks)*work)
	}
}

// shed refuses waiting batches that cannot end before their deadline.
func (p *Pool) shed(now time.Time) {
	if p.waiting.len() == 0 {
		return
	}
	p.updateCapacities()
	if len(p.sortedEndpoints) == 0 {
		p.shedWithoutEndpoints(now)
		return
	}
	hopeless := p.forecast(now)
	p.addRefusalEvents(now, hopeless)
	for _, b := range hopeless {
		p.refuse(now, b, b.load.forecast.Wait())
	}
}

// forecast returns the batches that cannot end in time, by the work that starts
// before them. Tasks that can still meet their target start first; those that
// are late or surplus get what the others leave of the capacity.
func (p *Pool) forecast(now time.Time) []*batch {
	for _, l := range p.loads {
		l.forecast = admission.Forecast{Spare: 1, StartInterval: p.window.Interval()}
	}
	late, inTime := p.waiting.split(now)
	hopeless := findHopeless(now, inTime, false)
	for _, l := range p.loads {
		l.forecast.Spare = 1 - l.arrivals.Rate(now)
	}
	hopeless = append(hopeless, findHopeless(now, late, false)...)
	hopeless = append(hopeless, findHopeless(now, inTime, true)...)
	return append(hopeless, findHopeless(now, late, true)...)
}

// shedWithoutEndpoints refuses what waits at an owner that has known no
// endpoint for listPatience: one that started inside a cut-off data centre,
// where it learns neither endpoints nor peers. Another instance may serve the
// callers.
func (p *Pool) shedWithoutEndpoints(now time.Time) {
	if now.Sub(p.activatedAt) < listPatience {
		return
	}
	var unstarted []*batch
	for t := range p.waiting.all() {
		if b := t.batch; !b.touched && !b.hopeless {
			b.hopeless = true
			unstarted = append(unstarted, b)
		}
	}
	p.addRefusalEvents(now, unstarted)
	for _, b := range unstarted {
		p.refuse(now, b, p.cfg.RetryAfter)
	}
}

// listPatience is how long a new owner without endpoints waits for their list.
// The store or a peer usually sends it within a fraction of that.
const listPatience = 500 * time.Millisecond

// addRefusalEvents emits a RefusalEvent for each load of the batches, which are
// about to be refused.
func (p *Pool) addRefusalEvents(now time.Time, hopeless []*batch) {
	events := map[*load]int{}
	for _, b := range hopeless {
		i, ok := events[b.load]
		if !ok {
			i = len(p.actions)
			events[b.load] = i
			p.actions = append(p.actions, p.newRefusalEvent(now, b))
		}
		e := p.actions[i].(RefusalEvent)
		e.Jobs++
		e.Tasks += len(b.tasks)
		p.actions[i] = e
	}
}

// newRefusalEvent returns an event for the load of a batch without the numbers
// of what is refused.
func (p *Pool) newRefusalEvent(now time.Time, b *batch) RefusalEvent {
	return RefusalEvent{
		Service: b.service, Label: b.needs.RequiredLabel, FirstJob: b.job, Wait: b.load.forecast.Wait(), Arriving: b.load.arrivals.Rate(now),
		StartInterval: p.window.Interval(), Waiting: p.waiting.len(), Running: len(p.runsByTask),
	}
}

// shedInterval is the time between two searches for tasks that are overdue or
// hopeless, which visit all waiting tasks. It is short for callers: below the
// time that the shortest tasks run.
const shedInterval = 50 * time.Millisecond

// findHopeless returns the batches among the tasks, either the surplus ones or
// the others, that cannot end in time and of which nothing has started. The
// tasks are in the order in which they start. The work of the others is added
// to the forecasts. Tasks of a batch follow each other.
func findHopeless(now time.Time, tasks []*task, surplus bool) []*batch {
	var hopeless []*batch
	var previous *batch
	var work float64
	for _, t := range tasks {
		b := t.batch
		l := b.load
		if !t.queued || b.surplus != surplus || b.hopeless || !l.capacity.Known() {
			continue
		}
		if b != previous {
			previous, work = b, l.workOf(b)
		}
		if !b.touched && now.Add(l.forecast.Wait()+b.needs.Estimate).After(b.deadline) {
			b.hopeless = true
			hopeless = append(hopeless, b)
			continue
		}
		l.forecast.Add(work)
	}
	return hopeless
}

// refuse ends all tasks of a batch of which nothing has started.
func (p *Pool) refuse(now time.Time, b *batch, retryAfter time.Duration) {
	b.waited = now.Sub(b.placedAt)
	end := job.TaskEnd{RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)}
	for _, index := range slices.Sorted(maps.Keys(b.tasks)) {
		p.stats.Shed++
		t := b.tasks[index]
		t.waited = b.waited
		p.endUnserved(t, end)
	}
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which callers of
	// refused jobs are told to return: the predicted wait of the queue.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

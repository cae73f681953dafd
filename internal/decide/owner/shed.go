package owner

import (
	"cmp"
	"iter"
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
	// priorities holds the load of each priority, the most urgent first.
	priorities []*priorityLoad
	// forecast is that of the latest search for hopeless batches.
	forecast admission.Forecast
}

// priorityLoad is the part of a load that has a priority.
type priorityLoad struct {
	priority int
	arrivals admission.Meter
	// waiting is the work of the waiting tasks that are not surplus, in seconds
	// of the whole capacity.
	waiting float64
}

// of returns the part of the load that has the priority.
func (l *load) of(priority int) *priorityLoad {
	i, ok := slices.BinarySearchFunc(l.priorities, priority, func(o *priorityLoad, priority int) int { return cmp.Compare(o.priority, priority) })
	if !ok {
		l.priorities = slices.Insert(l.priorities, i, &priorityLoad{priority: priority})
	}
	return l.priorities[i]
}

// arriving returns the work that arrives in a second and is served before work
// that arrived earlier, as a share of the capacity: that of priorities up to
// highest.
func (l *load) arriving(now time.Time, highest int) float64 {
	rate := 0.0
	for _, o := range l.priorities {
		if o.priority <= highest {
			rate += o.arrivals.Rate(now)
		}
	}
	return rate
}

// maxSoon is the work that may wait, in time of the whole capacity, before what
// arrives next is surplus. It is below the time that the shortest tasks may
// wait and still meet their target.
const maxSoon = 40 * time.Millisecond

// isSurplus reports whether a batch that arrives now comes after the others of
// its priority. This answers a load above the room: if all of it waited in one
// queue, all would start just when it is too late, and hardly a job would meet
// its target. So the load that can start soon does, of each kind of a priority
// the same share, and the surplus gets what the others leave, or is refused once
// it is hopeless.
func (l *load) isSurplus(priority int) bool { return l.waitingUpTo(priority) > maxSoon.Seconds() }

// hasSpace reports whether a surplus batch of the priority would not be surplus if
// it arrived now, by a margin.
func (l *load) hasSpace(priority int) bool { return l.waitingUpTo(priority) < maxSoon.Seconds()/2 }

// waitingUpTo returns the work that waits of priorities up to highest and is not
// surplus.
func (l *load) waitingUpTo(highest int) float64 {
	waiting := 0.0
	for _, o := range l.priorities {
		if o.priority <= highest {
			waiting += o.waiting
		}
	}
	return waiting
}

// add counts a task that has been queued.
func (l *load) add(t *task) {
	if !t.batch.surplus {
		t.work = l.workOf(t.batch)
		l.of(t.batch.priority).waiting += t.work
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
	l.of(t.batch.priority).waiting -= t.work
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
		b.load.of(b.priority).arrivals.Add(now, float64(tasks)*work)
	}
}

// shed refuses waiting batches that cannot end before their deadline.
func (p *Pool) shed(now time.Time) {
	if p.waiting.len() == 0 {
		return
	}
	p.updateCapacities()
	p.waiting.promote(now)
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
// before them. That is the waiting work that is served before, and what arrives
// until then of more urgent priorities. Late and surplus batches get what the
// arrivals of their own priority leave as well, and late ones what those of all
// priorities leave.
func (p *Pool) forecast(now time.Time) []*batch {
	for _, l := range p.loads {
		l.forecast = admission.Forecast{StartInterval: p.window.Interval()}
	}
	var hopeless []*batch
	for _, turn := range p.waiting.turns(now) {
		for _, l := range p.loads {
			l.forecast.Spare = 1 - l.arriving(now, turn.lastBefore())
			if !turn.late && l.sharesWithMoreUrgent(turn.priority) {
				l.forecast.Spare = max(l.forecast.Spare, minShare)
			}
		}
		hopeless = append(hopeless, findHopeless(now, turn.all())...)
	}
	return hopeless
}

// sharesWithMoreUrgent reports whether the load has more urgent priorities.
func (l *load) sharesWithMoreUrgent(priority int) bool {
	return len(l.priorities) > 0 && l.priorities[0].priority < priority
}

// lastBefore returns the least urgent priority whose arrivals are served before
// the turn.
func (t *turn) lastBefore() int {
	switch {
	case t.late:
		return math.MaxInt
	case t.in == inSurplus:
		return t.priority
	}
	return t.priority - 1
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

// addRefusalEvents emits a RefusalEvent for each load and priority of the batches,
// which are about to be refused.
func (p *Pool) addRefusalEvents(now time.Time, hopeless []*batch) {
	events := map[*priorityLoad]int{}
	for _, b := range hopeless {
		part := b.load.of(b.priority)
		i, ok := events[part]
		if !ok {
			i = len(p.actions)
			events[part] = i
			p.actions = append(p.actions, p.newRefusalEvent(now, b))
		}
		e := p.actions[i].(RefusalEvent)
		e.Jobs++
		e.Tasks += len(b.tasks)
		p.actions[i] = e
	}
}

// newRefusalEvent returns an event for the load and the priority of a batch without
// the numbers of what is refused.
func (p *Pool) newRefusalEvent(now time.Time, b *batch) RefusalEvent {
	return RefusalEvent{
		Service: b.service, Label: b.needs.RequiredLabel, Priority: b.priority, FirstJob: b.job, Wait: b.load.forecast.Wait(), Arriving: b.load.arriving(now, math.MaxInt),
		StartInterval: p.window.Interval(), Waiting: p.waiting.len(), Running: len(p.runsByTask),
	}
}

// shedInterval is the time between two searches for tasks that are overdue or
// hopeless, which visit all waiting tasks. It is short for callers: below the
// time that the shortest tasks run.
const shedInterval = 50 * time.Millisecond

// findHopeless returns the batches that cannot end in time and of which nothing
// has started. The batches are in the order in which they start. The work of the
// others is added to the forecasts.
func findHopeless(now time.Time, batches iter.Seq[*batch]) []*batch {
	var hopeless []*batch
	for b := range batches {
		l := b.load
		if b.hopeless || !l.capacity.Known() {
			continue
		}
		if !b.touched && now.Add(l.forecast.Wait()+b.needs.Estimate).After(b.deadline) {
			b.hopeless = true
			hopeless = append(hopeless, b)
			continue
		}
		l.forecast.Add(l.workOf(b)*float64(len(b.queued)), len(b.queued))
	}
	return hopeless
}

// refuse ends all tasks of a batch of which nothing has started.
func (p *Pool) refuse(now time.Time, b *batch, retryAfter time.Duration) {
	b.waited = now.Sub(b.placedAt)
	end := job.TaskEnd{RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)}
	for _, index := range slices.Sorted(maps.Keys(b.tasks)) {
		p.stats.Shed++
		p.waiting.count(b.priority).Shed++
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

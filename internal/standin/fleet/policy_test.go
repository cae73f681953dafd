package fleet_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/adapter/endpoint"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
	"hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

// backends holds the simulated endpoints of a baseline or of the reference, and
// a client of the dispatcher's endpoint adapter. A baseline is a simple policy
// that the fleet is compared with.
type backends struct {
	// list describes the endpoints, in the same order.
	list      []work.Instance
	endpoints []*platform.Endpoint
	client    *endpoint.Client
}

// frontend serves callers with the dispatcher's HTTP adapter, so that the hop
// from the caller costs the same for each policy. It calls run for each task.
type frontend struct {
	address string
	server  *http.Server
	run     func(ctx context.Context, t *work.Task) *fault.Error

	mu       sync.Mutex
	sequence uint64
}

func newFrontend(run func(context.Context, *work.Task) *fault.Error) (*frontend, error) {
	f := &frontend{address: fleet.Address(), run: run}
	h := &caller.Handler{
		Clock:    clock.System{},
		Limits:   caller.Limits{}.Defaults(),
		IssueIDs: f.issue,
		Submit:   f.submit,
		NextID:   func() ident.SubmissionID { return ident.SubmissionID{} },
	}
	f.server = h.Server(f.address)
	l, err := net.Listen("tcp", f.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

func (f *frontend) issue(_ context.Context, n int) ([]ident.SubmissionID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]ident.SubmissionID, n)
	for i := range ids {
		f.sequence++
		ids[i] = ident.SubmissionID{DataCentre: "dc-0", Instance: "baseline", Incarnation: 1, Sequence: f.sequence}
	}
	return ids, nil
}

// submit runs all tasks concurrently and waits for them.
func (f *frontend) submit(_ context.Context, r caller.Request) (work.Answer, error) {
	s := r.Submission
	a := work.Answer{ID: s.ID, State: work.Complete, Outputs: make([][]byte, len(s.Tasks))}
	failures := make([]*fault.Error, len(s.Tasks))
	var wg sync.WaitGroup
	for i, in := range s.Tasks {
		t := &work.Task{ID: ident.TaskID{Submission: s.ID, Index: i}, Attempt: 1, Service: s.Service,
			Body: in.Body, Deadline: s.Deadline}
		wg.Add(1)
		go func() {
			defer wg.Done()
			failures[i] = f.run(context.Background(), t)
		}()
	}
	wg.Wait()
	for i, failure := range failures {
		if failure != nil {
			a.State, a.Outputs = work.Failed, nil
			a.Failures = append(a.Failures, work.TaskFailure{Task: i, Error: failure})
		}
	}
	return a, nil
}

// callTimeout bounds the calls of a baseline or of the reference, and their
// dials: the reference does not retry, so a pause of this process during a dial
// must not fail a task.
const callTimeout = time.Minute

// call runs a task at the endpoint with the given index.
func (b *backends) call(ctx context.Context, t *work.Task, index int) work.Result {
	return b.client.RunTask(ctx, endpoint.Call{Instance: b.list[index], Task: t, Timeout: callTimeout})
}

// randomChoice is an instance of a baseline. It knows only its own tasks and
// assigns each to an endpoint on arrival: the least loaded of some random ones.
// Tasks beyond the endpoint's slots wait for a connection. A failed task is
// retried once. A refusal because no slot is free proves that the task did not
// start, so it does not count as a failure: an endpoint is chosen again after
// busyBackOff.
type randomChoice struct {
	*backends
	// choices is the number of random endpoints to choose from.
	choices int

	mu      sync.Mutex
	random  *rand.Rand
	running [benchEndpoints]int
}

// busyBackOff is the back-off of the dispatcher's endpoint pool after a
// refusal, divided by the time scale of the benchmark.
const busyBackOff = 50 * time.Millisecond / timeScale

func newRandomChoice(b *backends, choices int, seed uint64) *randomChoice {
	return &randomChoice{backends: b, choices: choices, random: rand.New(rand.NewPCG(seed, 2))}
}

// choose picks random endpoints and takes the one that runs the fewest tasks of
// this instance.
func (n *randomChoice) choose() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	best := n.random.IntN(len(n.list))
	for range n.choices - 1 {
		if other := n.random.IntN(len(n.list)); n.running[other] < n.running[best] {
			best = other
		}
	}
	n.running[best]++
	return best
}

func (n *randomChoice) release(index int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running[index]--
}

func (n *randomChoice) run(ctx context.Context, t *work.Task) *fault.Error {
	failed := 0
	for {
		index := n.choose()
		r := n.call(ctx, t, index)
		n.release(index)
		switch {
		case r.Failure == nil:
			return nil
		case r.Failure.Kind == fault.EndpointBusy:
			time.Sleep(busyBackOff)
		case failed == 1:
			return r.Failure
		default:
			failed++
		}
		t.Attempt++
	}
}

// reference is a single dispatcher with full knowledge: exact slot counts, true
// run times and true speeds, and no other instance. A task goes to the slot
// where it ends earliest, which may be a busy slot of a faster endpoint. With
// freeOnly it goes to the free slot where it ends earliest. While no slot is
// free, tasks wait in one queue, and run times do not matter.
type reference struct {
	*backends
	freeOnly bool

	mu    sync.Mutex
	slots []*slot
	queue []chan *slot
}

// slot is one slot of the endpoint with the given index.
type slot struct {
	index int
	speed float64
	// expectedEnd is the expected end of all tasks that the slot was assigned.
	expectedEnd time.Time
	busy        bool
	// waiting holds a channel for each queued task, in order: closing it starts
	// the task. expectedRunTimes holds their expected run times.
	waiting          []chan struct{}
	expectedRunTimes []time.Duration
}

func newReference(b *backends, freeOnly bool) *reference {
	p := &reference{backends: b, freeOnly: freeOnly}
	for i := range benchEndpoints {
		for range benchSlots {
			p.slots = append(p.slots, &slot{index: i, speed: speedOf(i)})
		}
	}
	return p
}

// setSpeed sets the true speed of an endpoint. An endpoint that fails has speed
// 0 and gets no more tasks.
func (p *reference) setSpeed(index int, speed float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.slots {
		if s.index == index {
			s.speed = speed
		}
	}
}

func (p *reference) run(ctx context.Context, t *work.Task) *fault.Error {
	var s *slot
	if p.freeOnly {
		s = <-p.nextFree()
	} else {
		var ready chan struct{}
		if s, ready = p.assign(decodeRunTime(t.Body)); ready != nil {
			<-ready
		}
	}
	r := p.call(ctx, t, s.index)
	p.finish(s)
	return r.Failure
}

// nextFree returns a channel that delivers the fastest free slot, or the next
// slot that becomes free if there is none.
func (p *reference) nextFree() <-chan *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready := make(chan *slot, 1)
	var best *slot
	for _, s := range p.slots {
		if !s.busy && s.speed > 0 && (best == nil || s.speed > best.speed) {
			best = s
		}
	}
	if best == nil {
		p.queue = append(p.queue, ready)
		return ready
	}
	best.busy = true
	ready <- best
	return ready
}

// assign assigns a task to the slot where it ends earliest. The task must wait
// until the returned channel is closed; if it is nil, the task may start at
// once.
func (p *reference) assign(nominal time.Duration) (*slot, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var best *slot
	var bestEnd time.Time
	for _, s := range p.slots {
		if s.speed == 0 {
			continue
		}
		from := now
		if s.busy && s.expectedEnd.After(now) {
			from = s.expectedEnd
		}
		end := from.Add(time.Duration(float64(nominal) / s.speed))
		if best == nil || end.Before(bestEnd) || end.Equal(bestEnd) && best.busy && !s.busy {
			best, bestEnd = s, end
		}
	}
	best.expectedEnd = bestEnd
	if !best.busy {
		best.busy = true
		return best, nil
	}
	ready := make(chan struct{})
	best.waiting = append(best.waiting, ready)
	best.expectedRunTimes = append(best.expectedRunTimes, time.Duration(float64(nominal)/best.speed))
	return best, ready
}

// finish ends a task on a slot, starts the next one that waits and corrects the
// expected end of the slot.
func (p *reference) finish(s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) > 0 && s.speed > 0 {
		p.queue[0] <- s
		p.queue = p.queue[1:]
		return
	}
	if len(s.waiting) == 0 {
		s.busy = false
		return
	}
	s.expectedEnd = time.Now()
	for _, d := range s.expectedRunTimes {
		s.expectedEnd = s.expectedEnd.Add(d)
	}
	close(s.waiting[0])
	s.waiting, s.expectedRunTimes = s.waiting[1:], s.expectedRunTimes[1:]
}

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

// backends are the stand-in endpoints of a baseline or of the reference, with
// one client of the product's adapter.
type backends struct {
	rows   []work.Instance
	all    []*platform.Endpoint
	client *endpoint.Client
}

// front serves callers by the product's HTTP adapter, so that the hop from
// the caller costs the same for each policy, and runs tasks by run.
type front struct {
	address string
	server  *http.Server
	run     func(ctx context.Context, t *work.Task) *fault.Error

	mu       sync.Mutex
	sequence uint64
}

func newFront(run func(context.Context, *work.Task) *fault.Error) (*front, error) {
	f := &front{address: fleet.Address(), run: run}
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

func (f *front) issue(_ context.Context, n int) ([]ident.SubmissionID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]ident.SubmissionID, n)
	for i := range ids {
		f.sequence++
		ids[i] = ident.SubmissionID{DataCentre: "dc-0", Instance: "baseline", Incarnation: 1, Sequence: f.sequence}
	}
	return ids, nil
}

// submit runs all tasks at once and waits for them.
func (f *front) submit(_ context.Context, r caller.Request) (work.Answer, error) {
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

// call runs a task at an endpoint.
func (b *backends) call(ctx context.Context, t *work.Task, at int) work.Result {
	return b.client.Start(ctx, endpoint.Call{Instance: b.rows[at], Task: t, Limit: time.Minute})
}

// naive is an instance of a baseline. It sees only its own tasks, binds each
// to an endpoint on arrival, and lets those beyond the endpoint's slots wait
// for a connection. A failure is retried once. A refusal for want of a slot
// proves that nothing started, so it is no failure: the task chooses again
// after refusedWait.
type naive struct {
	*backends
	choices int

	mu      sync.Mutex
	random  *rand.Rand
	running [benchEndpoints]int
}

// refusedWait is the back-off of the product's own pool after a refusal, in
// the benchmark's time scale.
const refusedWait = 50 * time.Millisecond / timeScale

func newNaive(b *backends, choices int, seed uint64) *naive {
	return &naive{backends: b, choices: choices, random: rand.New(rand.NewPCG(seed, 2))}
}

// take chooses the endpoint with the fewest of this instance's tasks among the
// choices.
func (n *naive) take() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	best := n.random.IntN(len(n.rows))
	for range n.choices - 1 {
		if other := n.random.IntN(len(n.rows)); n.running[other] < n.running[best] {
			best = other
		}
	}
	n.running[best]++
	return best
}

func (n *naive) release(at int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running[at]--
}

func (n *naive) run(ctx context.Context, t *work.Task) *fault.Error {
	failed := 0
	for {
		at := n.take()
		r := n.call(ctx, t, at)
		n.release(at)
		switch {
		case r.Failure == nil:
			return nil
		case r.Failure.Kind == fault.EndpointBusy:
			time.Sleep(refusedWait)
		case failed == 1:
			return r.Failure
		default:
			failed++
		}
		t.Attempt++
	}
}

// reference is one dispatcher with full knowledge: exact slot counts, true run
// times and true speeds, and no other instance. A task goes to the slot where
// it ends earliest, which may be a busy slot of a faster endpoint. With
// freeOnly it goes to the free slot where it ends earliest, and waits in one
// queue only while none is free; run times then don't matter.
type reference struct {
	*backends
	freeOnly bool

	mu    sync.Mutex
	slots []*slot
	queue []chan *slot
}

// slot is one slot of an endpoint. Tasks hold their place in its queue by the
// order of their turn channels.
type slot struct {
	at       int
	speed    float64
	until    time.Time
	busy     bool
	waiting  []chan struct{}
	expected []time.Duration
}

func newReference(b *backends, freeOnly bool) *reference {
	p := &reference{backends: b, freeOnly: freeOnly}
	for i := range benchEndpoints {
		for range benchSlots {
			p.slots = append(p.slots, &slot{at: i, speed: speedOf(i)})
		}
	}
	return p
}

// setSpeed tells the reference the true speed of an endpoint, zero for one
// that fails.
func (p *reference) setSpeed(at int, speed float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.slots {
		if s.at == at {
			s.speed = speed
		}
	}
}

func (p *reference) run(ctx context.Context, t *work.Task) *fault.Error {
	var s *slot
	if p.freeOnly {
		s = <-p.nextFree()
	} else {
		var turn chan struct{}
		if s, turn = p.place(runTimeOf(t.Body)); turn != nil {
			<-turn
		}
	}
	r := p.call(ctx, t, s.at)
	p.finish(s)
	return r.Failure
}

// nextFree returns a channel that gives the fastest free slot, or the next one
// that becomes free.
func (p *reference) nextFree() <-chan *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	turn := make(chan *slot, 1)
	var best *slot
	for _, s := range p.slots {
		if !s.busy && s.speed > 0 && (best == nil || s.speed > best.speed) {
			best = s
		}
	}
	if best == nil {
		p.queue = append(p.queue, turn)
		return turn
	}
	best.busy = true
	turn <- best
	return turn
}

// place takes the slot with the earliest end for a task. A nil channel means
// that it may start.
func (p *reference) place(nominal time.Duration) (*slot, chan struct{}) {
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
		if s.busy && s.until.After(now) {
			from = s.until
		}
		end := from.Add(time.Duration(float64(nominal) / s.speed))
		if best == nil || end.Before(bestEnd) || end.Equal(bestEnd) && best.busy && !s.busy {
			best, bestEnd = s, end
		}
	}
	best.until = bestEnd
	if !best.busy {
		best.busy = true
		return best, nil
	}
	turn := make(chan struct{})
	best.waiting = append(best.waiting, turn)
	best.expected = append(best.expected, time.Duration(float64(nominal)/best.speed))
	return best, turn
}

// finish starts the next task of a slot and corrects its expected end.
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
	s.until = time.Now()
	for _, d := range s.expected {
		s.until = s.until.Add(d)
	}
	close(s.waiting[0])
	s.waiting, s.expected = s.waiting[1:], s.expected[1:]
}

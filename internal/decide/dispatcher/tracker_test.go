package dispatcher_test

import (
	"fmt"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// tracker records what owners did, to explain a task that runs twice. A nil
// tracker records nothing.
type tracker struct {
	// activatedAt holds when each instance last became the owner.
	activatedAt map[int]time.Time
	// pollSent and pollAnswered hold, for an instance and an endpoint, when a
	// poll was sent or answered since the instance became the owner.
	pollSent, pollAnswered map[[2]int]time.Time
	// isolated holds the instances that see themselves in a minority, and
	// resumedAt when each was last resumed after a pause.
	isolated  map[int]bool
	resumedAt map[int]time.Time
	starts    map[startID]sentStart
	leases    map[int]leaseRenewal
	// afterTakeover counts the starts after takeovers by their basis. takeovers
	// holds how long new owners took to poll all endpoints.
	afterTakeover map[owner.StartBasis]int
	takeovers     []time.Duration
}

// startID identifies a run on an endpoint.
type startID struct {
	key      job.Key
	run      int
	endpoint int
}

// sentStart is the start of a run by an instance.
type sentStart struct {
	by int
	at time.Time
}

// leaseRenewal is the latest renewal of the lease of an endpoint.
type leaseRenewal struct {
	by int
	at time.Time
}

func newTracker() *tracker {
	return &tracker{
		activatedAt: map[int]time.Time{}, pollSent: map[[2]int]time.Time{}, pollAnswered: map[[2]int]time.Time{},
		isolated: map[int]bool{}, resumedAt: map[int]time.Time{}, starts: map[startID]sentStart{}, leases: map[int]leaseRenewal{},
		afterTakeover: map[owner.StartBasis]int{},
	}
}

func (k *tracker) recordOwner(f *fleet, n *simInstance, a dispatcher.OwnerChanged) {
	if k == nil || !a.Own {
		return
	}
	k.activatedAt[n.index] = f.now
	for _, s := range f.endpoints {
		delete(k.pollAnswered, [2]int{n.index, s.index})
	}
}

func (k *tracker) recordRunEvent(e owner.RunEvent) {
	if k != nil && e.Event == owner.StartedAfterTakeover {
		k.afterTakeover[e.Basis]++
	}
}

func (k *tracker) recordTakeover(e owner.TakeoverEvent) {
	if k != nil {
		k.takeovers = append(k.takeovers, e.After)
	}
}

func (k *tracker) recordIsolation(n *simInstance, isolated bool) {
	if k != nil {
		k.isolated[n.index] = isolated
	}
}

func (k *tracker) recordResumed(f *fleet, n *simInstance) {
	if k != nil {
		k.resumedAt[n.index] = f.now
	}
}

func (k *tracker) recordStart(f *fleet, n *simInstance, a owner.Start) {
	if k != nil {
		k.starts[startID{key: a.Key, run: a.Run, endpoint: f.endpointByID(a.Endpoint).index}] = sentStart{by: n.index, at: f.now}
	}
}

func (k *tracker) recordPollSent(f *fleet, n *simInstance, s *simEndpoint) {
	if k != nil {
		k.pollSent[[2]int{n.index, s.index}] = f.now
	}
}

func (k *tracker) recordPoll(f *fleet, n *simInstance, s *simEndpoint, r *owner.PollResult) {
	if k != nil && r.Reply == owner.OK && !r.SentAt.Before(f.clockAt(n, k.activatedAt[n.index])) {
		k.pollAnswered[[2]int{n.index, s.index}] = f.now
	}
}

func (k *tracker) recordLease(f *fleet, n *simInstance, s *simEndpoint, reply owner.Reply, until owner.EndpointTime) {
	if k != nil && reply == owner.OK && until > 0 {
		k.leases[s.index] = leaseRenewal{by: n.index, at: f.now}
		f.logf("instance %d renews the lease of endpoint %d", n.index, s.index)
	}
}

// explain says what the owner that started a run on endpoint s knew of endpoint
// o, where the task was running already. Homes raise the run number of what
// they place again by 100, so that lower numbers are those of new orders.
func (k *tracker) explain(f *fleet, key job.Key, run int, s, o *simEndpoint) string {
	if k == nil {
		return ""
	}
	second := k.starts[startID{key: key, run: run, endpoint: s.index}]
	first, firstRun, resumedOwner := sentStart{by: -1}, 0, ""
	for id, start := range k.starts {
		if id.key == key && id.endpoint == o.index && start.at.After(first.at) {
			first, firstRun = start, id.run
		}
	}
	if resumed := k.resumedAt[first.by]; !resumed.IsZero() && first.at.Sub(resumed) < time.Second {
		resumedOwner = "/resumed-owner"
	}
	order, knowledge := "new", "polled"
	if run >= 100 {
		order = "placed-again"
	}
	at := [2]int{second.by, o.index}
	switch {
	case first.by == second.by && k.activatedAt[second.by].Before(first.at):
		knowledge = "same-owner"
	case k.pollSent[at].Before(k.activatedAt[second.by]) && k.isolated[second.by]:
		knowledge = "not-owned"
	case k.pollSent[at].Before(k.activatedAt[second.by]):
		knowledge = "not-known"
	case k.pollAnswered[at].IsZero():
		knowledge = "unpolled"
	}
	ago := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprint(f.now.Sub(t).Round(time.Millisecond), " ago")
	}
	lease := k.leases[o.index]
	return fmt.Sprintf("\ncause %s/%s%s: run %d from instance %d, sent %s; run %d from instance %d, sent %s, owner since %s; "+
		"it last polled endpoint %d %s, answered %s, and can reach it: %v; its lease was last renewed by instance %d %s; submissions %d, last %s",
		order, knowledge, resumedOwner, firstRun, first.by, ago(first.at), run, second.by, ago(second.at), ago(k.activatedAt[second.by]),
		o.index, ago(k.pollSent[at]), ago(k.pollAnswered[at]), f.reaches(f.instances[second.by], o), lease.by, ago(lease.at),
		f.jobsByID[key.Job].submissions, ago(f.jobsByID[key.Job].submittedAt))
}

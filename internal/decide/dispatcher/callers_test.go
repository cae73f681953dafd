package dispatcher_test

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

// plan derives the work of a task from its key.
func (f *fleet) plan(key job.Key) leased.Work {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key.String()))
	n := h.Sum32()
	return leased.Work{Time: time.Duration(30+n%400) * time.Millisecond, Fails: n%97 == 0}
}

func (f *fleet) needs(key job.Key) job.Room {
	return f.byID[key.Job].spec.Steps[key.Step].Room
}

// newJob returns a random job.
func (f *fleet) newJob() *call {
	id := job.ID(fmt.Sprintf("j%d", len(f.calls)))
	c := &call{spec: job.Spec{ID: id, Payload: string(id)}, done: map[job.Key]int{}}
	for i := range 1 + f.rnd.IntN(2) {
		s := job.Step{Tasks: 1 + f.rnd.IntN(4)}
		s.Room = job.Room{CPU: 8000 + f.rnd.Int64N(12_000), Memory: 64}
		s.Estimate = 200 * time.Millisecond
		if i > 0 {
			s.After = []int{0}
		}
		if f.chance(0.1) {
			s.MaxPerEndpoint = 1
		}
		if f.chance(0.1) {
			s.RequiredLabel = "r-1"
		}
		c.spec.Steps = append(c.spec.Steps, s)
	}
	f.calls = append(f.calls, c)
	f.byID[id] = c
	return c
}

// submit hands a job in at the node.
func (f *fleet) submit(n *node, c *call) {
	f.logf("job %s is submitted at node %d", c.spec.ID, n.index)
	c.tries++
	c.pending = true
	c.at = n.process
	n.next++
	r := n.next
	p := n.process
	n.requests[r] = c
	terms := home.Terms{Service: service, Attempts: 2, Stretch: 2, Latency: 100 * time.Millisecond}
	f.on(n, p, func() { f.act(n, n.core.Submit(f.clock(n), r, c.spec, terms, deadline)) })
	if f.chance(0.05) {
		f.at(time.Duration(f.rnd.Int64N(int64(time.Second))), func() {
			if n.process != p || n.requests[r] != c {
				return
			}
			delete(n.requests, r)
			c.pending = false
			f.on(n, p, func() {
				f.act(n, n.core.Leave(f.clock(n), c.spec.ID, r))
				c.left = f.now
			})
		})
	}
}

// again hands a lost job in at another node, as its caller does.
func (f *fleet) again(c *call) {
	c.pending = false
	if c.tries >= 4 {
		return
	}
	f.at(resend, func() {
		n := f.nodes[f.rnd.IntN(len(f.nodes))]
		if !n.up {
			f.again(c)
			return
		}
		f.submit(n, c)
	})
}

// answered takes the answer to a caller.
func (f *fleet) answered(n *node, a home.Answer) {
	for _, r := range a.Requests {
		c := n.requests[r]
		if c == nil {
			continue
		}
		delete(n.requests, r)
		c.pending = false
		c.result = a.Result
		f.logf("job %s is answered %v at node %d: %s", c.spec.ID, a.Result, n.index, a.Reason)
		switch a.Result {
		case home.Finished:
			f.finished++
			for i, s := range c.spec.Steps {
				for k := range s.Tasks {
					if c.done[job.Key{Job: c.spec.ID, Step: i, Index: k}] == 0 {
						f.t.Fatalf("%v: job %s is answered as finished, and task %d.%d never ended as done", f.now, c.spec.ID, i, k)
					}
				}
			}
		case home.Refused:
			c.refused++
			f.unstarted(c)
		case home.Overdue:
			if c.at == n.process {
				f.again(c)
			}
		}
	}
}

// unstarted fails when a job of which every try was refused has started.
func (f *fleet) unstarted(c *call) {
	if c.refused < c.tries {
		return
	}
	for key, on := range f.running {
		if key.Job == c.spec.ID && len(on) > 0 {
			f.t.Fatalf("%v: job %s was refused as not run, and task %v runs", f.now, c.spec.ID, key)
		}
	}
	if len(c.done) > 0 {
		f.t.Fatalf("%v: job %s was refused as not run, and tasks of it ended", f.now, c.spec.ID)
	}
}

// started checks a start against what must hold.
func (f *fleet) started(s *station, now time.Time, key job.Key, run int) {
	f.starts++
	f.logf("endpoint %d starts %v run %d", s.index, key, run)
	c := f.byID[key.Job]
	step := c.spec.Steps[key.Step]
	for i, o := range f.running[key] {
		if !o.down {
			f.t.Fatalf("%v: task %v run %d starts on endpoint %d and runs on endpoint %d", now, key, run, s.index, i)
		}
	}
	if f.running[key] == nil {
		f.running[key] = map[int]*station{}
	}
	f.running[key][s.index] = s
	if used := s.e.Used(); !used.Fits(s.e.Entry.Room) {
		f.t.Fatalf("%v: endpoint %d runs %v over its room by the start of %v", now, s.index, used, key)
	}
	if c.tries > 0 && c.refused == c.tries {
		f.t.Fatalf("%v: task %v starts after its job was refused", now, key)
	}
	for _, before := range step.After {
		for k := range c.spec.Steps[before].Tasks {
			if c.done[job.Key{Job: key.Job, Step: before, Index: k}] == 0 {
				f.t.Fatalf("%v: task %v starts before step %d has ended", now, key, before)
			}
		}
	}
	if step.RequiredLabel != "" && !slices.Contains(s.e.Entry.Labels, step.RequiredLabel) {
		f.t.Fatalf("%v: task %v starts without its label", now, key)
	}
	if step.MaxPerEndpoint > 0 {
		n := 0
		for _, o := range s.e.Running() {
			if o.Job == key.Job && o.Step == key.Step {
				n++
			}
		}
		if n > step.MaxPerEndpoint {
			f.t.Fatalf("%v: %d tasks of step %v run on endpoint %d", now, n, key, s.index)
		}
	}
	if !s.draining.IsZero() && !f.storeDown && now.Sub(s.draining) > drainTime && now.Sub(f.storeFrom) > drainTime && now.Sub(f.disturbed) > stability {
		f.t.Fatalf("%v: task %v starts on endpoint %d, which drains since %v", now, key, s.index, s.draining)
	}
	if !c.left.IsZero() && !c.pending && now.Sub(c.left) > 3*time.Second {
		f.t.Fatalf("%v: task %v starts after its caller left at %v", now, key, c.left)
	}
}

// calm reports whether all nodes run and reach each other.
func (f *fleet) calm() bool {
	for _, n := range f.nodes {
		if !n.up || n.frozen {
			return false
		}
	}
	return len(f.nodeCut) == 0 && len(f.stationCut) == 0
}

func (f *fleet) ended(s *station, _ time.Time, key job.Key, run int, how owner.How) {
	f.logf("endpoint %d ends %v run %d how %d", s.index, key, run, how)
	delete(f.running[key], s.index)
	if how == owner.EndDone {
		f.byID[key.Job].done[key]++
	}
}

// kill ends the process of a node. Its callers submit again elsewhere.
func (f *fleet) kill(n *node, dark bool) {
	if !n.up {
		return
	}
	f.logf("node %d is killed, dark=%v", n.index, dark)
	p := n.process
	n.up, n.dark = false, dark
	for _, o := range f.nodes {
		if n.links[o.index] == (ident.Process{}) {
			continue
		}
		wait := f.delay()
		if dark || f.nodeCut[pair(n.index, o.index)] {
			wait = 3 * time.Second
		}
		f.at(wait, func() { f.broken(o, n, p) })
	}
	n.links = map[int]ident.Process{}
	for _, r := range slices.Sorted(maps.Keys(n.requests)) {
		// A caller waits for its newest try only.
		if c := n.requests[r]; c.at == p {
			f.again(c)
		}
	}
	n.requests = nil
}

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

// planOf derives the duration and outcome of a task from its key, so that all
// its runs have the same ones.
func (f *fleet) planOf(key job.Key) leased.RunPlan {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key.String()))
	n := h.Sum32()
	return leased.RunPlan{Duration: f.shortest + time.Duration(n%uint32((f.longest-f.shortest)/time.Millisecond))*time.Millisecond, Fails: n%97 == 0}
}

func (f *fleet) roomOf(key job.Key) job.Room {
	return f.jobsByID[key.Job].spec.Steps[key.Step].Room
}

// newJob adds a random job.
func (f *fleet) newJob() *simJob {
	id := job.ID(fmt.Sprintf("j%d", len(f.simJobs)))
	j := &simJob{spec: job.Spec{ID: id, Payload: string(id)}, deadline: f.jobDeadline, limit: f.maxSubmissions, completions: map[job.Key]int{}}
	for i := range 1 + f.rng.IntN(2) {
		s := job.Step{Tasks: 1 + f.rng.IntN(4)}
		s.Room = job.Room{CPU: f.minCPU + f.rng.Int64N(f.cpuRange), Memory: 64}
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
		j.spec.Steps = append(j.spec.Steps, s)
	}
	f.simJobs = append(f.simJobs, j)
	f.jobsByID[id] = j
	return j
}

// submit submits a job to the instance. Some callers disconnect before the
// answer.
func (f *fleet) submit(n *simInstance, j *simJob) {
	f.logf("job %s is submitted at instance %d", j.spec.ID, n.index)
	j.submissions++
	j.pending = true
	j.submittedTo, j.submittedAt = n.process, f.now
	n.nextRequest++
	r := n.nextRequest
	p := n.process
	n.requests[r] = j
	settings := home.RouteSettings{Service: service, Attempts: 2, Stretch: 2, Latency: 100 * time.Millisecond, Priority: n.index % 3}
	f.deliver(n, p, func() { f.apply(n, n.core.Submit(f.clock(n), r, j.spec, settings, j.deadline)) })
	if f.chance(f.leaveShare) {
		f.at(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			if n.process != p || n.requests[r] != j {
				return
			}
			delete(n.requests, r)
			j.pending = false
			f.deliver(n, p, func() {
				f.apply(n, n.core.RemoveRequest(f.clock(n), j.spec.ID, r))
				j.disconnectedAt = f.now
			})
		})
	}
}

// resubmit submits a lost or refused job to a random instance after a delay, as
// its caller does, until it has given up.
func (f *fleet) resubmit(j *simJob, delay time.Duration) {
	j.pending = false
	if j.submissions >= j.limit {
		return
	}
	f.at(delay, func() {
		n := f.instances[f.rng.IntN(len(f.instances))]
		if !n.up || n.callersCut {
			f.resubmit(j, delay)
			return
		}
		f.submit(n, j)
	})
}

// handleAnswer checks an answer to a caller, which resubmits an overdue job, and
// a refused one after the time that it was told.
func (f *fleet) handleAnswer(n *simInstance, a home.Answer) {
	for _, r := range a.Requests {
		j := n.requests[r]
		if j == nil {
			continue
		}
		delete(n.requests, r)
		if n.callersCut {
			// The caller waits in vain until its deadline.
			if j.submittedTo == n.process {
				f.resubmit(j, resubmitDelay+max(0, j.submittedAt.Add(j.deadline).Sub(f.now)))
			}
			continue
		}
		j.pending = false
		j.result = a.Result
		f.logf("job %s is answered %v at instance %d: %s", j.spec.ID, a.Result, n.index, a.Reason)
		switch a.Result {
		case home.Finished:
			f.finished++
			for i, s := range j.spec.Steps {
				for k := range s.Tasks {
					if j.completions[job.Key{Job: j.spec.ID, Step: i, Index: k}] == 0 {
						f.t.Fatalf("%v: job %s was answered as finished, but task %d.%d did not complete", f.now, j.spec.ID, i, k)
					}
				}
			}
		case home.Refused:
			f.refused++
			j.refused++
			f.checkRefusedNotRun(j)
			f.resubmit(j, a.RetryAfter)
		case home.Overdue:
			if j.submittedTo == n.process {
				f.resubmit(j, resubmitDelay)
			}
		}
	}
}

// checkRefusedNotRun fails if a task of the job has started although all
// submissions of the job were refused.
func (f *fleet) checkRefusedNotRun(j *simJob) {
	if j.refused < j.submissions {
		return
	}
	for key, on := range f.running {
		if key.Job == j.spec.ID && len(on) > 0 {
			f.t.Fatalf("%v: job %s was refused, but task %v is running", f.now, j.spec.ID, key)
		}
	}
	if j.started {
		f.t.Fatalf("%v: job %s was refused, but some of its tasks have run", f.now, j.spec.ID)
	}
}

// checkStart checks the invariants that a start of a run could break.
func (f *fleet) checkStart(s *simEndpoint, now time.Time, key job.Key, run int) {
	f.starts++
	f.logf("endpoint %d starts %v run %d", s.index, key, run)
	j := f.jobsByID[key.Job]
	j.started = true
	step := j.spec.Steps[key.Step]
	for i, o := range f.running[key] {
		if !o.down {
			f.t.Fatalf("%v: task %v run %d starts on endpoint %d while it is running on endpoint %d%s", now, key, run, s.index, i, f.tracker.explain(f, key, run, s, o))
		}
	}
	if f.running[key] == nil {
		f.running[key] = map[int]*simEndpoint{}
	}
	f.running[key][s.index] = s
	if used := s.fake.Used(); !used.Fits(s.fake.Entry.Room) {
		f.t.Fatalf("%v: endpoint %d uses %v, which exceeds its room, after the start of %v", now, s.index, used, key)
	}
	if j.submissions > 0 && j.refused == j.submissions {
		f.t.Fatalf("%v: task %v starts after its job was refused", now, key)
	}
	for _, before := range step.After {
		for k := range j.spec.Steps[before].Tasks {
			if j.completions[job.Key{Job: key.Job, Step: before, Index: k}] == 0 {
				f.t.Fatalf("%v: task %v starts before step %d is done", now, key, before)
			}
		}
	}
	if step.RequiredLabel != "" && !slices.Contains(s.fake.Entry.Labels, step.RequiredLabel) {
		f.t.Fatalf("%v: task %v starts on an endpoint without the required label", now, key)
	}
	if step.MaxPerEndpoint > 0 {
		n := 0
		for _, o := range s.fake.Running() {
			if o.Job == key.Job && o.Step == key.Step {
				n++
			}
		}
		if n > step.MaxPerEndpoint {
			f.t.Fatalf("%v: %d tasks of the step of %v run on endpoint %d, more than allowed", now, n, key, s.index)
		}
	}
	if !s.drainingSince.IsZero() && !f.storeDown && now.Sub(s.drainingSince) > drainTime && now.Sub(f.storeUpSince) > drainTime && now.Sub(f.lastFaultAt) > settleTime {
		f.t.Fatalf("%v: task %v starts on endpoint %d, which has been draining since %v", now, key, s.index, s.drainingSince)
	}
	if !j.disconnectedAt.IsZero() && !j.pending && now.Sub(j.disconnectedAt) > 3*time.Second {
		f.t.Fatalf("%v: task %v starts after its caller disconnected at %v", now, key, j.disconnectedAt)
	}
}

// healthy reports whether all instances are running and can reach each other
// and all endpoints.
func (f *fleet) healthy() bool {
	for _, n := range f.instances {
		if !n.up || n.paused {
			return false
		}
	}
	return len(f.instanceCuts) == 0 && len(f.endpointCuts) == 0 && len(f.oneWayCuts) == 0 && len(f.answerCuts) == 0 && len(f.callDelays) == 0
}

func (f *fleet) recordEnd(s *simEndpoint, _ time.Time, key job.Key, run int, reason owner.EndReason) {
	f.logf("endpoint %d ends %v run %d reason %d", s.index, key, run, reason)
	delete(f.running[key], s.index)
	if reason == owner.EndDone {
		f.jobsByID[key.Job].completions[key]++
	}
}

// kill ends the process of an instance. Its callers submit their jobs again to
// other instances.
func (f *fleet) kill(n *simInstance, powerLost bool) {
	if !n.up {
		return
	}
	f.logf("instance %d is killed, power lost=%v", n.index, powerLost)
	p := n.process
	n.up, n.powerLost = false, powerLost
	for _, o := range f.instances {
		if n.links[o.index] == (ident.Process{}) {
			continue
		}
		wait := f.delay()
		if powerLost || f.cutOff(n.index, o.index) {
			wait = 3 * time.Second
		}
		f.at(wait, func() { f.breakLink(o, n, p) })
	}
	n.links = map[int]ident.Process{}
	for _, r := range slices.Sorted(maps.Keys(n.requests)) {
		// A caller waits only for its latest submission.
		if j := n.requests[r]; j.submittedTo == p {
			wait := resubmitDelay
			if powerLost && f.silentPowerLoss {
				wait += max(0, j.submittedAt.Add(j.deadline).Sub(f.now))
			}
			f.resubmit(j, wait)
		}
	}
	n.requests = nil
}

// breakChannelsOf breaks the channels of all callers to the instance, which
// submit their jobs again. The instance removes their requests if it notices.
func (f *fleet) breakChannelsOf(n *simInstance, noticed bool) {
	for _, r := range slices.Sorted(maps.Keys(n.requests)) {
		j, p := n.requests[r], n.process
		delete(n.requests, r)
		if noticed {
			f.at(f.delay(), func() {
				f.deliver(n, p, func() { f.apply(n, n.core.RemoveRequest(f.clock(n), j.spec.ID, r)) })
			})
		}
		if j.submittedTo == p {
			f.resubmit(j, resubmitDelay)
		}
	}
}

package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/route"
)

// Jobs submits, looks up and cancels jobs on behalf of callers' requests.
type Jobs struct{ process *Process }

// Match is the route that matches a request.
type Match struct {
	Route route.Route
	// Rest is the path after the route's prefix.
	Rest string
	// BodyLimit bounds the request's body, in bytes; zero means the default.
	BodyLimit int64
	// ConfigVersion is the version of the configuration that has the route.
	ConfigVersion uint64
}

// maxCertainAge is the age of the configuration up to which a route that it
// lacks does not exist. It is above the age at which each instance reads the
// configuration, and below the time within which a change must be in force.
const maxCertainAge = 1500 * time.Millisecond

// Match finds the route of a request. The error is a *fault.Error of kind
// fault.UnknownService, or fault.ConfigMissing if this instance cannot tell
// whether the route exists.
func (j *Jobs) Match(host, path string) (Match, error) {
	c := j.process.config.Load()
	if c == nil {
		return Match{}, fault.New(fault.ConfigMissing, fault.RanNo).WithRetryAfter(time.Second)
	}
	r, rest, ok := c.routes.Match(host, path)
	if !ok {
		j.process.logNoRoute(host, path)
		if j.process.configAge() > maxCertainAge {
			return Match{}, fault.New(fault.ConfigMissing, fault.RanNo).WithRetryAfter(time.Second).WithDetail("the configuration may be out of date")
		}
		return Match{}, fault.New(fault.UnknownService, fault.RanNo).WithField("path")
	}
	return Match{Route: r, Rest: rest, BodyLimit: c.routes.BodyLimit, ConfigVersion: c.routes.Version}, nil
}

// Submit submits a job and waits for its answer. It returns an error of kind
// fault.Cancelled when the caller has disconnected or the process stops.
func (j *Jobs) Submit(ctx context.Context, m Match, spec job.Spec, deadline time.Duration) (home.Answer, error) {
	p := j.process
	reply := make(chan home.Answer, 1)
	settings := home.RouteSettings{
		Route: m.Route.Name, Service: m.Route.Service, Attempts: m.Route.Attempts, Stretch: m.Route.Stretch,
		Latency: m.Route.Latency, Priority: m.Route.Priority, ConfigVersion: m.ConfigVersion,
	}
	var request home.RequestID
	p.post(func(now time.Time) {
		p.nextRequest++
		request = p.nextRequest
		p.replies[request] = reply
		p.logJobAccepted(m, spec, deadline)
		p.applyActions(now, p.core.Submit(now, request, spec, settings, deadline))
	})
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	p.post(func(now time.Time) {
		delete(p.replies, request)
		p.applyActions(now, p.core.RemoveRequest(now, spec.ID, request))
	})
	return home.Answer{}, fault.New(fault.Cancelled, fault.RanUnknown)
}

// LogRejected logs and counts a job that was rejected on submission. Such a job
// was never open, unlike one that ended with home.Refused. Package logread
// matches the message.
func (j *Jobs) LogRejected(m Match, id job.ID, f *fault.Error) {
	j.process.counters.jobsTotal(m.Route.Name, "rejected").Inc()
	j.process.log.WithFields(logrus.Fields{"job": id, "route": m.Route.Name, "reason": f.Error(), "config-version": m.ConfigVersion}).
		Info("job rejected")
}

// State reports whether a job is open on this instance. For a job that has
// ended it returns the result, if that is still known.
func (j *Jobs) State(id job.ID) (open bool, result home.Result) {
	j.runOnLoop(func(time.Time) { open, result = j.process.core.Jobs().State(id) })
	return open, result
}

// Cancel cancels a job and reports whether it was open on this instance.
func (j *Jobs) Cancel(id job.ID) (cancelled bool) {
	j.runOnLoop(func(now time.Time) {
		var actions []dispatcher.Action
		actions, cancelled = j.process.core.Cancel(now, id)
		j.process.applyActions(now, actions)
	})
	return cancelled
}

// CountWaiting returns the number of open jobs of a route for which no end
// shows that a task has run or may have run.
func (j *Jobs) CountWaiting(m Match) (n int) {
	j.runOnLoop(func(time.Time) { n = j.process.core.Jobs().Waiting(m.Route.Name) })
	return n
}

// runOnLoop runs f on the goroutine of Process.loop and waits until f has
// returned, or until the process stops.
func (j *Jobs) runOnLoop(f func(now time.Time)) {
	done := make(chan struct{})
	j.process.post(func(now time.Time) {
		f(now)
		close(done)
	})
	select {
	case <-done:
	case <-j.process.ctx.Done():
	}
}

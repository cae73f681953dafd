package dispatch

import (
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// processCounters holds the counters and histograms that the process updates
// itself.
type processCounters struct {
	set            *metrics.Set
	takeovers      *metrics.Counter
	stepDowns      *metrics.Counter
	storeFailures  *metrics.Counter
	messagesUnsent *metrics.Counter
	noRoute        *metrics.Counter
	tickInterval   *metrics.Histogram
	jobDuration    *metrics.Histogram
}

// jobsTotal returns the counter of the jobs of a route that ended with result,
// or that were rejected on submission.
func (c *processCounters) jobsTotal(route, result string) *metrics.Counter {
	return c.set.GetOrCreateCounter(`hornbeamlift_jobs_total{route=` + strconv.Quote(route) + `,result="` + result + `"}`)
}

// registerMetrics creates the counters and histograms of the process.
func (p *Process) registerMetrics() {
	p.counters = processCounters{
		set:            p.metrics,
		takeovers:      p.metrics.NewCounter("hornbeamlift_takeovers_total"),
		stepDowns:      p.metrics.NewCounter("hornbeamlift_step_downs_total"),
		storeFailures:  p.metrics.NewCounter("hornbeamlift_store_failures_total"),
		messagesUnsent: p.metrics.NewCounter("hornbeamlift_messages_unsent_total"),
		noRoute:        p.metrics.NewCounter("hornbeamlift_requests_without_route_total"),
		tickInterval:   p.metrics.NewHistogram("hornbeamlift_tick_interval_seconds"),
		jobDuration:    p.metrics.NewHistogram("hornbeamlift_job_seconds"),
	}
}

// metricsServer returns a server of the metrics in the Prometheus text format.
func (p *Process) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.WritePrometheus(w)
		p.writeStats(w)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// writeStats writes the metrics that are read from the control state at each
// request: the counters of the owner's pool, and gauges of its endpoints, tasks
// and runs, those of each priority, the open jobs, the list's age and the configuration's version.
func (p *Process) writeStats(w http.ResponseWriter) {
	var s owner.Stats
	var open int
	var age time.Duration
	p.jobs.runOnLoop(func(now time.Time) {
		s, age = p.core.Stats(now)
		open = p.core.Jobs().OpenJobs()
	})
	gauge := func(name string, v float64) {
		metrics.WriteGaugeFloat64(w, name, v)
	}
	gauge("hornbeamlift_jobs_open", float64(open))
	gauge("hornbeamlift_list_age_seconds", age.Seconds())
	gauge("hornbeamlift_tasks_waiting", float64(s.Waiting))
	gauge("hornbeamlift_runs", float64(s.Running))
	gauge("hornbeamlift_starts_window", float64(s.Window))
	gauge("hornbeamlift_endpoints", float64(s.Endpoints))
	gauge("hornbeamlift_endpoints_held", float64(s.Held))
	gauge("hornbeamlift_endpoints_foreign", float64(s.Foreign))
	gauge("hornbeamlift_endpoints_usable", float64(s.Usable))
	for name, n := range map[string]uint64{
		"starts": s.Starts, "starts_refused": s.StartsRefused, "tasks_shed": s.Shed, "tasks_done": s.Done, "tasks_failed": s.Failed,
		"tasks_lost": s.Lost, "tasks_refused": s.Refused, "stops": s.Stops, "looks": s.Polls,
		"looks_failed": s.PollsFailed, "fenced": s.Fenced, "adopted": s.Adopted, "unclaimed": s.Unclaimed,
		"restarts": s.Reruns, "tasks_given_up": s.GivenUp,
	} {
		metrics.WriteCounterUint64(w, "hornbeamlift_"+name+"_total", n)
	}
	for _, o := range s.Priorities {
		label := `{priority="` + strconv.Itoa(o.Priority) + `"}`
		gauge("hornbeamlift_priority_tasks_waiting"+label, float64(o.Waiting))
		metrics.WriteCounterUint64(w, "hornbeamlift_priority_starts_total"+label, o.Started)
		metrics.WriteCounterUint64(w, "hornbeamlift_priority_starts_first_total"+label, o.StartedFirst)
		metrics.WriteCounterUint64(w, "hornbeamlift_priority_tasks_shed_total"+label, o.Shed)
	}
	if c := p.config.Load(); c != nil {
		gauge("hornbeamlift_config_version", float64(c.routes.Version))
		gauge("hornbeamlift_config_answer_age_seconds", p.configTrace.answerAge(p.settings.Clock.Now()).Seconds())
	}
}

// sinceStateLog covers the time since the latest log line about the owner's
// state.
type sinceStateLog struct {
	// pollsBefore is the number of polls up to that line.
	pollsBefore uint64
	// maxTickInterval is the longest time between two ticks since that line.
	maxTickInterval time.Duration
}

// logState logs the owner's view of its endpoints and tasks, with the polls and
// the longest interval of ticks since the previous such line. Package logread
// matches the message.
func (p *Process) logState(now time.Time) {
	s, age := p.core.Stats(now)
	defer func() { p.sinceStateLog = sinceStateLog{pollsBefore: s.Polls} }()
	p.log.WithFields(logrus.Fields{
		"endpoints": s.Endpoints, "usable": s.Usable, "held": s.Held, "foreign": s.Foreign, "blocked": s.Blocked,
		"cooling-down": s.CoolingDown, "missing": s.Missing, "waiting": s.Waiting, "running": s.Running, "stopping": s.Stopping,
		"starts": s.Starts, "lost": s.Lost, "fenced": s.Fenced, "shed": s.Shed, "given-up": s.GivenUp, "window": s.Window, "polls-failed": s.PollsFailed,
		"list-age": age.Round(time.Millisecond).String(), "epoch": p.core.Epoch(),
		"polls":  s.Polls - p.sinceStateLog.pollsBefore,
		"behind": p.sinceStateLog.maxTickInterval.Round(time.Millisecond).String(), "goroutines": runtime.NumGoroutine(), "posts": len(p.posts),
	}).Info("state of the owner")
}

// logJobAccepted logs a job that a caller has submitted. Package logread
// matches the message.
func (p *Process) logJobAccepted(m Match, spec job.Spec, deadline time.Duration) {
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Tasks
	}
	p.log.WithFields(logrus.Fields{
		"job": spec.ID, "route": m.Route.Name, "config-version": m.ConfigVersion, "steps": len(spec.Steps), "tasks": tasks,
		"deadline": deadline.Round(time.Millisecond).String(), "owner": p.core.OwnerInstance(), "jobs-open": p.core.Jobs().OpenJobs(),
	}).Info("job taken")
}

// logJobAnswered logs a job that has ended, and counts it in the metrics.
// Package logread matches the message.
func (p *Process) logJobAnswered(a home.Answer) {
	p.counters.jobsTotal(a.Route, a.Result.String()).Inc()
	p.counters.jobDuration.Update(a.OpenFor.Seconds())
	ends := make([]string, len(a.Ends))
	for i, e := range a.Ends {
		ends[i] = e.Key.String() + "/" + strconv.Itoa(e.Run) + " " + e.Outcome.String() + " " + string(e.Endpoint) +
			" waited " + e.Waited.Round(time.Millisecond).String() + " ran " + e.RunTime.Round(time.Millisecond).String() +
			" from " + string(e.From.Instance) + " for order " + strconv.FormatUint(e.Placement, 10)
	}
	p.log.WithFields(logrus.Fields{
		"job": a.Job, "route": a.Route, "result": a.Result.String(), "open": a.OpenFor.Round(time.Millisecond).String(),
		"target": a.Target.Round(time.Millisecond).String(), "reason": a.Reason, "config-version": a.ConfigVersion, "deadline": a.Deadline.Round(time.Millisecond).String(), "ends": strings.Join(ends, "; "),
		"owner": a.Owner.Instance,
	}).Info("job answered")
}

// logRefusals logs that waiting tasks were refused since they cannot end in
// time.
func (p *Process) logRefusals(e owner.RefusalEvent) {
	p.log.WithFields(logrus.Fields{
		"service": e.Service, "label": e.Label, "priority": e.Priority, "jobs": e.Jobs, "tasks": e.Tasks, "first-job": e.FirstJob,
		"wait": e.Wait.Round(time.Millisecond).String(), "arriving": e.Arriving, "start-interval": e.StartInterval.String(),
		"waiting": e.Waiting, "running": e.Running,
	}).Info("tasks refused that cannot end in time")
}

// logRunEvent logs an event about a run.
func (p *Process) logRunEvent(e owner.RunEvent) {
	fields := logrus.Fields{
		"task": e.Key.String(), "run": e.Run, "endpoint": e.Endpoint, "event": string(e.Event), "again": e.HasTask,
		"age": e.Age.Round(time.Millisecond).String(), "seen": e.PollAge.Round(time.Millisecond).String(), "epoch": p.core.Epoch(),
		"home": e.Home, "order": e.Placement,
	}
	if e.Basis != "" {
		fields["basis"], fields["unpolled"] = string(e.Basis), e.Unpolled
	}
	p.log.WithFields(fields).Info("run of a task")
}

// logTakeover logs that this instance, as the new owner, has polled all
// endpoints that it knows.
func (p *Process) logTakeover(e owner.TakeoverEvent) {
	p.log.WithFields(logrus.Fields{
		"after": e.After.Round(time.Millisecond).String(), "endpoints": e.Endpoints, "runs": e.Runs, "epoch": p.core.Epoch(),
	}).Info("all endpoints polled")
}

// logPoll logs a poll that was not answered, or was answered with an error.
// Successful polls, and those refused because of the fence, are not logged.
func (p *Process) logPoll(poll owner.Poll, r owner.PollResult) {
	if r.Reply == owner.OK || r.Reply == owner.Fenced {
		return
	}
	p.log.WithFields(logrus.Fields{
		"endpoint": poll.Endpoint, "reply": r.Reply.String(), "wait": poll.Wait.String(),
		"took": p.settings.Clock.Now().Sub(r.SentAt).Round(time.Millisecond).String(), "fence": poll.Fence,
	}).WithError(r.Cause).Info("poll unanswered")
}

// logStart logs a start that an endpoint refused or did not answer. Successful
// starts are logged at debug level.
func (p *Process) logStart(s owner.Start, r owner.CallResult) {
	if r.Reply == owner.OK {
		if p.settings.Log.IsLevelEnabled(logrus.DebugLevel) {
			p.log.WithFields(logrus.Fields{
				"task": s.Key.String(), "run": s.Run, "endpoint": s.Endpoint, "until": s.LeaseUntil, "fence": s.Fence, "clock": r.Clock,
			}).Debug("started")
		}
		return
	}
	p.log.WithFields(logrus.Fields{
		"task": s.Key.String(), "run": s.Run, "endpoint": s.Endpoint, "reply": r.Reply.String(), "until": s.LeaseUntil, "fence": s.Fence,
		"clock": r.Clock,
	}).WithError(r.Cause).Info("start refused or unanswered")
}

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

// counters holds the counters and histograms of a process.
type counters struct {
	set           *metrics.Set
	takeovers     *metrics.Counter
	storeFailures *metrics.Counter
	unsent        *metrics.Counter
	behind        *metrics.Histogram
	open          *metrics.Histogram
}

func (c *counters) answer(route, result string) *metrics.Counter {
	return c.set.GetOrCreateCounter(`hornbeamlift_jobs_total{route=` + strconv.Quote(route) + `,result="` + result + `"}`)
}

// registerMetrics sets up the metrics.
func (p *Process) registerMetrics() {
	p.count = counters{
		set:           p.metrics,
		takeovers:     p.metrics.NewCounter("hornbeamlift_takeovers_total"),
		storeFailures: p.metrics.NewCounter("hornbeamlift_store_failures_total"),
		unsent:        p.metrics.NewCounter("hornbeamlift_messages_unsent_total"),
		behind:        p.metrics.NewHistogram("hornbeamlift_tick_interval_seconds"),
		open:          p.metrics.NewHistogram("hornbeamlift_job_seconds"),
	}
}

// metricsServer serves the metrics as text.
func (p *Process) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.WritePrometheus(w)
		p.writeGauges(w)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// writeGauges writes the counters of the pool and the sizes of the tables.
func (p *Process) writeGauges(w http.ResponseWriter) {
	var s owner.Stats
	var open int
	var age time.Duration
	p.jobs.ask(func(now time.Time) {
		s, age = p.core.Stats(now)
		open = p.core.Jobs().Open()
	})
	gauge := func(name string, v float64) {
		metrics.WriteGaugeFloat64(w, name, v)
	}
	gauge("hornbeamlift_jobs_open", float64(open))
	gauge("hornbeamlift_list_age_seconds", age.Seconds())
	gauge("hornbeamlift_tasks_waiting", float64(s.Waiting))
	gauge("hornbeamlift_runs", float64(s.Running))
	gauge("hornbeamlift_endpoints", float64(s.Endpoints))
	gauge("hornbeamlift_endpoints_held", float64(s.Held))
	gauge("hornbeamlift_endpoints_foreign", float64(s.Foreign))
	gauge("hornbeamlift_endpoints_usable", float64(s.Usable))
	for name, n := range map[string]uint64{
		"starts": s.Starts, "starts_refused": s.StartsRefused, "tasks_done": s.Done, "tasks_failed": s.Failed,
		"tasks_lost": s.Lost, "tasks_refused": s.Refused, "stops": s.Stops, "looks": s.Looks,
		"looks_failed": s.LooksFailed, "fenced": s.Fenced, "adopted": s.Adopted, "unclaimed": s.Unclaimed,
		"restarts": s.Restarts,
	} {
		metrics.WriteCounterUint64(w, "hornbeamlift_"+name+"_total", n)
	}
	if c := p.config.Load(); c != nil {
		gauge("hornbeamlift_config_version", float64(c.table.Version))
	}
}

// load is what a process did since the last line about the owner's state.
type load struct {
	looks uint64
	// behind is the longest time between two ticks.
	behind time.Duration
}

// logState writes what the owner believes of its endpoints and tasks, and what
// it cost since the last such line.
func (p *Process) logState(now time.Time) {
	s, age := p.core.Stats(now)
	defer func() { p.load = load{looks: s.Looks} }()
	p.log.WithFields(logrus.Fields{
		"endpoints": s.Endpoints, "usable": s.Usable, "held": s.Held, "foreign": s.Foreign, "blocked": s.Blocked,
		"resting": s.Resting, "missing": s.Missing, "waiting": s.Waiting, "running": s.Running, "stopping": s.Stopping,
		"starts": s.Starts, "lost": s.Lost, "fenced": s.Fenced, "looks-failed": s.LooksFailed,
		"list-age": age.Round(time.Millisecond).String(), "epoch": p.core.Epoch(),
		"looks":  s.Looks - p.load.looks,
		"behind": p.load.behind.Round(time.Millisecond).String(), "goroutines": runtime.NumGoroutine(), "posts": len(p.posts),
	}).Info("state of the owner")
}

// logTaken writes the line of a job that a caller has handed in.
func (p *Process) logTaken(m Match, spec job.Spec, deadline time.Duration) {
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Tasks
	}
	p.log.WithFields(logrus.Fields{
		"job": spec.ID, "route": m.Route.Name, "config-version": m.ConfigVersion, "steps": len(spec.Steps), "tasks": tasks,
		"deadline": deadline.Round(time.Millisecond).String(), "owner": p.core.Following(), "jobs-open": p.core.Jobs().Open(),
	}).Info("job taken")
}

// logAnswer writes the line of a job that has ended.
func (p *Process) logAnswer(a home.Answer) {
	p.count.answer(a.Route, a.Result.String()).Inc()
	p.count.open.Update(a.Open.Seconds())
	ends := make([]string, len(a.Ends))
	for i, e := range a.Ends {
		ends[i] = e.Key.String() + "/" + strconv.Itoa(e.Run) + " " + e.Outcome.String() + " " + string(e.Endpoint) +
			" waited " + e.Waited.Round(time.Millisecond).String() + " ran " + e.Ran.Round(time.Millisecond).String()
	}
	p.log.WithFields(logrus.Fields{
		"job": a.Job, "route": a.Route, "result": a.Result.String(), "open": a.Open.Round(time.Millisecond).String(),
		"target": a.Target.Round(time.Millisecond).String(), "reason": a.Reason, "config-version": a.ConfigVersion, "deadline": a.Deadline.Round(time.Millisecond).String(), "ends": strings.Join(ends, "; "),
	}).Info("job answered")
}

// logNote writes a line for a decision about a run.
func (p *Process) logNote(n owner.Note) {
	p.log.WithFields(logrus.Fields{
		"task": n.Key.String(), "run": n.Run, "endpoint": n.Endpoint, "event": string(n.Event), "again": n.Wanted,
		"age": n.Age.Round(time.Millisecond).String(), "seen": n.Seen.Round(time.Millisecond).String(), "epoch": p.core.Epoch(),
	}).Info("run of a task")
}

// logLook writes a line for a look that an endpoint did not answer.
func (p *Process) logLook(l owner.Look, r owner.Looked) {
	if r.Reply == owner.OK || r.Reply == owner.Fenced {
		return
	}
	p.log.WithFields(logrus.Fields{
		"endpoint": l.Endpoint, "reply": r.Reply.String(), "wait": l.Wait.String(),
		"took": p.set.Clock.Now().Sub(r.Sent).Round(time.Millisecond).String(), "fence": l.Fence,
	}).WithError(r.Cause).Info("look unanswered")
}

// logStart writes a line for a start that an endpoint did not take, and at the
// level of debug for all others.
func (p *Process) logStart(s owner.Start, a owner.Answered) {
	if a.Reply == owner.OK {
		if p.set.Log.IsLevelEnabled(logrus.DebugLevel) {
			p.log.WithFields(logrus.Fields{
				"task": s.Key.String(), "run": s.Run, "endpoint": s.Endpoint, "until": s.Until, "fence": s.Fence, "clock": a.Clock,
			}).Debug("started")
		}
		return
	}
	p.log.WithFields(logrus.Fields{
		"task": s.Key.String(), "run": s.Run, "endpoint": s.Endpoint, "reply": a.Reply.String(), "until": s.Until, "fence": s.Fence,
		"clock": a.Clock,
	}).WithError(a.Cause).Info("start refused or unanswered")
}

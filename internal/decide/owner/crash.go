package owner

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// CrashRecord says how many endpoints have crashed while they ran a task.
type CrashRecord struct {
	Key job.Key
	// Crashes counts those that the task may have crashed. Outages also counts
	// those that went together with many others, and those whose answer to the
	// start was missing.
	Crashes, Outages int
	// Suspect is set if the task runs alone.
	Suspect bool
	// GivenUp is set once the task is not started any more.
	GivenUp bool
}

// ReportCrashes asks to send records to all peers of the group. They keep them,
// so that the next owner knows them, whatever home places the task there.
type ReportCrashes struct{ Records []CrashRecord }

func (ReportCrashes) action() {}

const (
	// maxOutages is the number of outages after which a task is given up in any
	// case. maxCrashesAlone is the number of crashes from which on it is given up
	// if it certainly ran alone when the last of these endpoints crashed. Any
	// task may have been beside one that crashes its endpoint.
	maxOutages      = 3
	maxCrashesAlone = 2
	// suspectOutages is the number of common outages from which on a task runs
	// alone: if many tasks crash endpoints at the same time, it looks like a
	// common outage.
	suspectOutages = 2
	// crashRetention is how long the record of a task is kept after its last
	// crash, and maxCrashRecords how many are kept. Callers submit a lost job
	// again within seconds.
	crashRetention  = 2 * time.Minute
	maxCrashRecords = 4096
	// maxReportedCrashes is how many records a new peer is sent.
	maxReportedCrashes = 256
	// commonOutageWindow is the time within which outages have begun that count
	// as one: the loss of a rack, or a cut. Refused connections show the moment
	// of a crash. Silence shows only when a poll times out, so that
	// commonSilenceWindow exceeds the wait of a poll.
	commonOutageWindow  = 50 * time.Millisecond
	commonSilenceWindow = 400 * time.Millisecond
	// commonOutageCount and the share of 1/commonOutagePart of the endpoints are
	// how many others must have gone with an endpoint, at least, so that its
	// tasks are not the cause.
	commonOutageCount = 4
	commonOutagePart  = 24
)

// crashEntry is a record with the time of the last crash.
type crashEntry struct {
	CrashRecord
	at time.Time
}

// crashMemory holds the records of tasks that were on endpoints that crashed.
// Unlike the rest of a pool, it outlives an activation.
type crashMemory struct {
	entries map[job.Key]*crashEntry
	// byAge holds the entries in the order in which they were added.
	byAge []*crashEntry
	// unreported holds the records to send to the peers.
	unreported []CrashRecord
}

// givenUp reports whether a task is not started any more.
func (m *crashMemory) givenUp(key job.Key) bool {
	if len(m.entries) == 0 {
		return false
	}
	e := m.entries[key]
	return e != nil && e.GivenUp
}

// suspect reports whether a task may crash its endpoint, so that it runs alone.
func (m *crashMemory) suspect(key job.Key) bool {
	if len(m.entries) == 0 {
		return false
	}
	e := m.entries[key]
	return e != nil && e.Suspect
}

// entry returns the record of a task, and adds one if there is none. It drops
// old records.
func (m *crashMemory) entry(now time.Time, key job.Key) *crashEntry {
	for len(m.byAge) > 0 && (len(m.byAge) >= maxCrashRecords || now.Sub(m.byAge[0].at) > crashRetention) {
		delete(m.entries, m.byAge[0].Key)
		m.byAge = m.byAge[1:]
	}
	e := m.entries[key]
	if e == nil {
		e = &crashEntry{CrashRecord: CrashRecord{Key: key}}
		m.entries[key] = e
		m.byAge = append(m.byAge, e)
	}
	e.at = now
	return e
}

// CrashRecords returns the latest records, for a new peer.
func (p *Pool) CrashRecords() []CrashRecord {
	latest := p.crashes.byAge[max(0, len(p.crashes.byAge)-maxReportedCrashes):]
	records := make([]CrashRecord, len(latest))
	for i, e := range latest {
		records[i] = e.CrashRecord
	}
	return records
}

// ObserveCrashes keeps the records of another owner.
func (p *Pool) ObserveCrashes(now time.Time, records []CrashRecord) {
	for _, r := range records {
		e := p.crashes.entry(now, r.Key)
		e.Crashes, e.Outages = max(e.Crashes, r.Crashes), max(e.Outages, r.Outages)
		e.Suspect, e.GivenUp = e.Suspect || r.Suspect, e.GivenUp || r.GivenUp
	}
}

// noteFailedPoll records that a poll of the endpoint has failed. An endpoint
// that refuses connections for some time counts as crashed before its lease has
// run out, so that the peers know it if this owner ends.
func (p *Pool) noteFailedPoll(now time.Time, e *endpoint, reply Reply) {
	if e.outageAt.IsZero() {
		e.outageAt = now
	}
	e.refused = e.refused || reply == ConnectionRefused
	if e.refused && !e.crashNoted && e.unreachable() {
		for _, r := range e.runs {
			p.addRunEvent(now, Crashed, r)
		}
		p.noteCrash(now, e, e.runs, true)
	}
}

// clearOutage records that the endpoint answers.
func (e *endpoint) clearOutage() {
	e.outageAt, e.refused, e.crashNoted = time.Time{}, false, false
}

// noteRestart records that the endpoint has restarted, which ended the given
// runs.
func (p *Pool) noteRestart(now time.Time, e *endpoint, ended []*run) {
	if e.outageAt.IsZero() {
		e.outageAt = now
	}
	p.noteCrash(now, e, ended, true)
	e.clearOutage()
}

// isCommonOutage reports whether the endpoint was about to leave, or so many
// others have gone at the same time that the cause is not a task.
func (p *Pool) isCommonOutage(e *endpoint) bool {
	if e.Draining {
		return true
	}
	window := commonSilenceWindow
	if e.refused {
		window = commonOutageWindow
	}
	others := 0
	for _, o := range p.sortedEndpoints {
		if o != e && !o.outageAt.IsZero() && o.outageAt.Sub(e.outageAt).Abs() <= window {
			others++
		}
	}
	return others >= max(commonOutageCount, len(p.sortedEndpoints)/commonOutagePart)
}

// noteCrash counts a crash of the endpoint for the tasks of the given runs, once
// for each outage, and gives up those that have crashed too many. The crash is
// proven unless the endpoint was silent until its lease had run out, which may
// also be a cut.
func (p *Pool) noteCrash(now time.Time, e *endpoint, runs []*run, proven bool) {
	if e.crashNoted {
		return
	}
	e.crashNoted = true
	alone, common := proven && len(runs) == 1, p.isCommonOutage(e)
	var last *run
	for _, r := range runs {
		if last == nil || r.knownSince.After(last.knownSince) {
			last = r
		}
	}
	for _, r := range slices.Clone(runs) {
		if r.task != nil {
			// A task that crashes its endpoint mostly does so when it starts.
			r.task.startedLast = r == last
		}
		p.countCrash(now, r, common, alone)
	}
}

// countCrash counts a crash for the task of a run. common says that many
// endpoints crashed together, and alone that certainly no other run was on this
// one.
func (p *Pool) countCrash(now time.Time, r *run, common, alone bool) {
	entry := p.crashes.entry(now, r.id.key)
	entry.Outages++
	if started := r.phase != starting && !r.startUnconfirmed; started && !common {
		entry.Crashes++
		entry.GivenUp = entry.GivenUp || (alone && entry.Crashes >= maxCrashesAlone)
	}
	entry.Suspect = entry.Suspect || !common || entry.Outages >= suspectOutages
	entry.GivenUp = entry.GivenUp || entry.Outages >= maxOutages
	p.crashes.unreported = append(p.crashes.unreported, entry.CrashRecord)
	// The job may have been submitted again, so that r is not a run of the task
	// that is open now.
	for _, b := range slices.Clone(p.batchesByJob[r.id.key.Job]) {
		t := b.tasks[r.id.key.Index]
		switch {
		case t == nil || b.step != r.id.key.Step || r.id.key.Occurrence != 0:
		case entry.GivenUp:
			p.endCrashing(t, r.endpoint)
		case t.queued && p.crashes.suspect(t.key):
			p.addSuspect(t)
		}
	}
}

// endCrashing ends a task that is given up because endpoints crash under it.
func (p *Pool) endCrashing(t *task, e *endpoint) {
	end := job.TaskEnd{Outcome: job.Crashed}
	if e != nil {
		end.Endpoint = e.ID
	}
	if r := t.run; r != nil {
		end.Run = r.id.run
		r.task, t.run = nil, nil
		p.stop(r)
	}
	p.stats.GivenUp++
	p.finishTask(t, end)
}

// reportCrashes emits the records that were not sent to the peers yet.
func (p *Pool) reportCrashes() {
	if len(p.crashes.unreported) > 0 {
		p.actions = append(p.actions, ReportCrashes{Records: p.crashes.unreported})
		p.crashes.unreported = nil
	}
}

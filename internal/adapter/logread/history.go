package logread

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// Messages of the log lines that JobHistory interprets.
const (
	messageAccepted = "job taken"
	messageAnswered = "job answered"
	messageRejected = "job rejected"
	messageState    = "state of the owner"
	messageStarted  = "instance started"
	messageDropped  = "log lines were dropped"
)

// contextMessages holds the messages that show the state of an instance and
// what it knew about its peers, the owner of the endpoints and its
// dependencies.
var contextMessages = map[string]bool{
	messageState: true, messageStarted: true, "instance stopped": true, "draining": true, "owning the endpoints": true,
	"another instance owns the endpoints": true, "peer is silent": true, "link to peer is down": true,
	"the process was paused": true, "isolation has changed": true,
	"dependency lost": true, "dependency regained": true, "configuration in force": true,
	"a peer has a newer configuration": true,
}

const (
	// Lines with one of contextMessages are shown from contextBefore before the
	// first line of the job until contextAfter after its last line.
	contextBefore = time.Second
	contextAfter  = 500 * time.Millisecond
	// maxStateAge is the largest age of the line with the state of the owner,
	// at the time of the answer.
	maxStateAge = 1500 * time.Millisecond
)

// JobHistory collects what the logs of instances say about one job.
type JobHistory struct {
	id string
	// jobLines holds the lines that mention the job, and contextLines those
	// with one of contextMessages.
	jobLines, contextLines []Line
	// dropped is the number of dropped lines in the last line read that
	// reports one, of whichever instance, or "" if no drop was logged.
	dropped string
	// lines is the number of lines that were read.
	lines int
}

// NewJobHistory returns a JobHistory for the job, without any lines.
func NewJobHistory(id string) *JobHistory { return &JobHistory{id: id} }

// Read reads the log of one or more instances. It may be called several times.
func (h *JobHistory) Read(r io.Reader) error {
	return read(r, func(l Line) {
		h.lines++
		switch {
		case l.Message == messageDropped:
			h.dropped = l.Text("dropped")
		case l.mentions(h.id):
			h.jobLines = append(h.jobLines, l)
		case contextMessages[l.Message]:
			h.contextLines = append(h.contextLines, l)
		}
	})
}

// Found reports whether any line mentions the job.
func (h *JobHistory) Found() bool { return len(h.jobLines) > 0 }

// Write writes the lines of the job in order of time, together with lines about
// the state of the instances involved. Conclusions on how the job ended follow.
func (h *JobHistory) Write(w io.Writer) {
	sortByTime(h.jobLines)
	sortByTime(h.contextLines)
	if len(h.jobLines) == 0 {
		printLine(w, "no line of %d names %s: no instance accepted it, or its lines are missing", h.lines, h.id)
		h.writeDropped(w)
		return
	}
	involved := h.involved()
	lines := append([]Line(nil), h.jobLines...)
	from, to := h.jobLines[0].At.Add(-contextBefore), h.jobLines[len(h.jobLines)-1].At.Add(contextAfter)
	for _, l := range h.contextLines {
		if involved[l.Instance] && l.At.After(from) && l.At.Before(to) {
			lines = append(lines, l)
		}
	}
	sortByTime(lines)
	for i := range lines {
		printLine(w, "%s %-18s %s: %s", lines[i].At.Format("15:04:05.000"), lines[i].Instance, lines[i].Message, lines[i].otherFields())
	}
	printLine(w, "")
	for _, c := range h.conclusions() {
		printLine(w, "%s", c)
	}
	h.writeDropped(w)
}

func (h *JobHistory) writeDropped(w io.Writer) {
	if h.dropped != "" {
		printLine(w, "an instance dropped %s lines, so some may be missing here", h.dropped)
	}
}

func printLine(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

// otherFields formats the fields of a line, sorted by name. It leaves out empty
// fields, the level, the data centre and the job.
func (l *Line) otherFields() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "level" && name != "data-centre" && name != "job" && l.Text(name) != "" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = name + "=" + l.Text(name)
	}
	return strings.Join(names, " ")
}

// involved returns the instances that logged lines of the job, and those that
// the lines name as the owner.
func (h *JobHistory) involved() map[string]bool {
	names := map[string]bool{}
	for i := range h.jobLines {
		names[h.jobLines[i].Instance] = true
		if owner := h.jobLines[i].Text("owner"); owner != "" {
			names[owner] = true
		}
	}
	return names
}

// lastLine returns the last line of the job with a message, or nil.
func (h *JobHistory) lastLine(message string) *Line {
	for i := len(h.jobLines) - 1; i >= 0; i-- {
		if h.jobLines[i].Message == message {
			return &h.jobLines[i]
		}
	}
	return nil
}

// conclusions explains how the job ended, as far as the lines show.
func (h *JobHistory) conclusions() []string {
	accepted, answer := h.lastLine(messageAccepted), h.lastLine(messageAnswered)
	switch {
	case answer != nil && (accepted == nil || !accepted.At.After(answer.At)):
		return h.explainAnswer(answer)
	case h.lastLine(messageRejected) != nil && accepted == nil:
		return []string{"refused before anything started: " + h.lastLine(messageRejected).Text("reason")}
	case accepted != nil:
		return h.explainLost(accepted)
	}
	return []string{"the lines of its home instance are missing: no line says that the job was accepted or answered"}
}

// explainAnswer explains the answer to a job: whether it was in time, the
// slowest task, the runs with unusual events and the state of the owner.
// The event "adopted" is left out, because a run that a new owner continues is
// not unusual.
func (h *JobHistory) explainAnswer(a *Line) []string {
	open, target := a.Duration("open"), a.Duration("target")
	var out []string
	switch result := a.Text("result"); {
	case result == "finished" && (target == 0 || open <= target):
		out = append(out, fmt.Sprintf("finished in time: %v, the target was %v", open, target))
	case result == "finished":
		out = append(out, fmt.Sprintf("finished late: %v, the target was %v", open, target))
	default:
		out = append(out, fmt.Sprintf("%s after %v, the target was %v: %s", result, open, target, a.Text("reason")))
	}
	if slow := slowestResult(a.Text("ends")); slow != "" {
		out = append(out, "slowest of the task results that its home instance kept: "+slow)
	} else if a.Text("result") != "finished" {
		out = append(out, "no task of the job had ended")
	}
	for i := range h.jobLines {
		if l := &h.jobLines[i]; l.Text("event") != "" && l.Text("event") != "adopted" {
			out = append(out, fmt.Sprintf("run %s of %s on %s: %s, known to the owner for %s, last reply of the endpoint %s before the event",
				l.Text("run"), l.Text("task"), l.Text("endpoint"), l.Text("event"), l.Text("age"), l.Text("seen")))
		}
	}
	return append(out, h.describeOwner(a))
}

// explainLost explains a job that was accepted but not answered.
func (h *JobHistory) explainLost(accepted *Line) []string {
	out := []string{"taken by " + accepted.Instance + " and not answered in these lines"}
	for i := range h.contextLines {
		if l := &h.contextLines[i]; l.Instance == accepted.Instance && l.Message == messageStarted && l.At.After(accepted.At) {
			return append(out, fmt.Sprintf("%s restarted %v later: the job was lost with the previous process", l.Instance,
				l.At.Sub(accepted.At).Round(time.Millisecond)))
		}
	}
	return append(out, "its home instance logged no start after that: it has ended for good, the job is still running, or lines are missing")
}

// ownerAt returns the instance that the job's home instance regarded as the
// owner of the endpoints when it answered.
func (h *JobHistory) ownerAt(answer *Line) string {
	owner := ""
	if accepted := h.lastLine(messageAccepted); accepted != nil {
		owner = accepted.Text("owner")
	}
	for i := range h.contextLines {
		l := &h.contextLines[i]
		if next := l.Text("owner"); next != "" && l.Instance == answer.Instance && !l.At.After(answer.At) {
			owner = next
		}
	}
	return owner
}

// describeOwner describes the newest state that the owner of that time logged
// before the answer.
func (h *JobHistory) describeOwner(answer *Line) string {
	at, owner := answer.At, h.ownerAt(answer)
	for i := len(h.contextLines) - 1; i >= 0; i-- {
		l := &h.contextLines[i]
		if l.Message == messageState && l.Instance == owner && !l.At.After(at) && at.Sub(l.At) <= maxStateAge {
			return fmt.Sprintf("%s owned the endpoints %v before the answer: %s of %s usable, %s cooling down, %s tasks waiting, %s running, list of endpoints %s old",
				l.Instance, at.Sub(l.At).Round(time.Millisecond), l.Text("usable"), l.Text("endpoints"), l.Text("cooling-down"),
				l.Text("waiting"), l.Text("running"), l.Text("list-age"))
		}
	}
	return "its home instance regarded " + owner + " as the owner of the endpoints, and that instance logged no state shortly before the answer"
}

// slowestResult returns the task result with the longest sum of waiting and run
// time. The home instance logs results as
// "TASK/RUN OUTCOME ENDPOINT waited D ran D from INSTANCE for order N; ...".
func slowestResult(ends string) string {
	var longest time.Duration
	found := ""
	for end := range strings.SplitSeq(ends, "; ") {
		words := strings.Fields(end)
		var took time.Duration
		for i, word := range words {
			if (word == "waited" || word == "ran") && i+1 < len(words) {
				if d, err := time.ParseDuration(words[i+1]); err == nil {
					took += d
				}
			}
		}
		if len(words) > 0 && (found == "" || took > longest) {
			longest, found = took, end
		}
	}
	return found
}

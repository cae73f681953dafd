package logread

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// The messages of the lines that a life is told from.
const (
	messageTaken    = "job taken"
	messageAnswered = "job answered"
	messageRejected = "job rejected"
	messageState    = "state of the owner"
	messageStarted  = "instance started"
	messageDropped  = "log lines were dropped"
)

// surroundings are messages that tell what an instance believed.
var surroundings = map[string]bool{
	messageState: true, messageStarted: true, "instance stopped": true, "draining": true, "owning the endpoints": true,
	"another instance owns the endpoints": true, "peer is silent": true, "link to peer is down": true,
	"the process was paused": true, "the part of the fleet that is heard has changed": true,
	"dependency lost": true, "dependency regained": true, "configuration in force": true,
}

const (
	// before and after are how long around a job's lines the surroundings are
	// shown.
	before = time.Second
	after  = 500 * time.Millisecond
	// stateAge is how old the line about an owner's state may be.
	stateAge = 1500 * time.Millisecond
)

// Life is what logs say of one job.
type Life struct {
	id string
	// own holds the lines that name the job, around those that tell what the
	// instances believed.
	own, around []Line
	dropped     string
	lines       int
}

// NewLife returns the life of a job of which nothing was read yet.
func NewLife(id string) *Life { return &Life{id: id} }

// Read takes the log of one or more instances.
func (f *Life) Read(r io.Reader) error {
	return read(r, func(l Line) {
		f.lines++
		switch {
		case l.Message == messageDropped:
			f.dropped = l.Text("dropped")
		case l.about(f.id):
			f.own = append(f.own, l)
		case surroundings[l.Message]:
			f.around = append(f.around, l)
		}
	})
}

// Known reports whether any line names the job.
func (f *Life) Known() bool { return len(f.own) > 0 }

// Tell writes the life: its lines in order, among them what the instances that
// had to do with it believed, and what follows from them.
func (f *Life) Tell(w io.Writer) {
	byTime(f.own)
	byTime(f.around)
	if len(f.own) == 0 {
		say(w, "no line of %d names %s: no instance took it, or its lines are missing", f.lines, f.id)
		f.tellDropped(w)
		return
	}
	involved := f.involved()
	lines := append([]Line(nil), f.own...)
	from, to := f.own[0].At.Add(-before), f.own[len(f.own)-1].At.Add(after)
	for _, l := range f.around {
		if involved[l.Instance] && l.At.After(from) && l.At.Before(to) {
			lines = append(lines, l)
		}
	}
	byTime(lines)
	for i := range lines {
		say(w, "%s %-18s %s: %s", lines[i].At.Format("15:04:05.000"), lines[i].Instance, lines[i].Message, lines[i].rest())
	}
	say(w, "")
	for _, c := range f.conclusions() {
		say(w, "%s", c)
	}
	f.tellDropped(w)
}

func (f *Life) tellDropped(w io.Writer) {
	if f.dropped != "" {
		say(w, "an instance dropped %s lines, so that some may be missing here", f.dropped)
	}
}

func say(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

// rest returns the fields of a line in the order of their names.
func (l *Line) rest() string {
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

// involved returns the instances that had to do with the job.
func (f *Life) involved() map[string]bool {
	names := map[string]bool{}
	for i := range f.own {
		names[f.own[i].Instance] = true
		if owner := f.own[i].Text("owner"); owner != "" {
			names[owner] = true
		}
	}
	return names
}

// last returns the last line of the job with the message, or nil.
func (f *Life) last(message string) *Line {
	for i := len(f.own) - 1; i >= 0; i-- {
		if f.own[i].Message == message {
			return &f.own[i]
		}
	}
	return nil
}

// conclusions says what the lines show of how the job ended.
func (f *Life) conclusions() []string {
	taken, answered := f.last(messageTaken), f.last(messageAnswered)
	switch {
	case answered != nil && (taken == nil || !taken.At.After(answered.At)):
		return f.answered(answered)
	case f.last(messageRejected) != nil && taken == nil:
		return []string{"refused before anything started: " + f.last(messageRejected).Text("reason")}
	case taken != nil:
		return f.lost(taken)
	}
	return []string{"its home's lines are missing: none says that the job was taken or answered"}
}

// answered explains the answer of a job.
func (f *Life) answered(a *Line) []string {
	open, target := a.Duration("open"), a.Duration("target")
	var out []string
	switch result := a.Text("result"); {
	case result == "finished" && (target == 0 || open <= target):
		out = append(out, fmt.Sprintf("finished in time: %v of %v", open, target))
	case result == "finished":
		out = append(out, fmt.Sprintf("finished late: %v, the target was %v", open, target))
	default:
		out = append(out, fmt.Sprintf("%s after %v, the target was %v: %s", result, open, target, a.Text("reason")))
	}
	if slow := slowest(a.Text("ends")); slow != "" {
		out = append(out, "of the ends that its home kept, the one that took longest: "+slow)
	} else if a.Text("result") != "finished" {
		out = append(out, "no task of it had ended")
	}
	for i := range f.own {
		if l := &f.own[i]; l.Text("event") != "" && l.Text("event") != "adopted" {
			out = append(out, fmt.Sprintf("run %s of %s at %s: %s, known for %s, the endpoint last answered %s before",
				l.Text("run"), l.Text("task"), l.Text("endpoint"), l.Text("event"), l.Text("age"), l.Text("seen")))
		}
	}
	return append(out, f.belief(a))
}

// lost explains a job that was taken and has no answer.
func (f *Life) lost(taken *Line) []string {
	out := []string{"taken by " + taken.Instance + " and not answered in these lines"}
	for i := range f.around {
		if l := &f.around[i]; l.Instance == taken.Instance && l.Message == messageStarted && l.At.After(taken.At) {
			return append(out, fmt.Sprintf("%s started anew %v later: the job was lost with the process before", l.Instance,
				l.At.Sub(taken.At).Round(time.Millisecond)))
		}
	}
	return append(out, "its home has no line of a start since: it is gone, it still runs, or its lines are missing")
}

// owner returns the instance that the home followed when it answered.
func (f *Life) owner(answered *Line) string {
	owner := ""
	if taken := f.last(messageTaken); taken != nil {
		owner = taken.Text("owner")
	}
	for i := range f.around {
		l := &f.around[i]
		if next := l.Text("owner"); next != "" && l.Instance == answered.Instance && !l.At.After(answered.At) {
			owner = next
		}
	}
	return owner
}

// belief tells the newest state of the owner that the home followed when it
// answered.
func (f *Life) belief(answered *Line) string {
	at, owner := answered.At, f.owner(answered)
	for i := len(f.around) - 1; i >= 0; i-- {
		l := &f.around[i]
		if l.Message == messageState && l.Instance == owner && !l.At.After(at) && at.Sub(l.At) <= stateAge {
			return fmt.Sprintf("%s owned the endpoints %v before: %s of %s usable, %s resting, %s tasks waiting, %s running, list %s old",
				l.Instance, at.Sub(l.At).Round(time.Millisecond), l.Text("usable"), l.Text("endpoints"), l.Text("resting"),
				l.Text("waiting"), l.Text("running"), l.Text("list-age"))
		}
	}
	return "its home followed " + owner + " as the owner of the endpoints, which tells no state of that time"
}

// slowest returns the end that waited and ran longest, of ends as the home
// writes them: "TASK/RUN OUTCOME ENDPOINT waited D ran D; ...".
func slowest(ends string) string {
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

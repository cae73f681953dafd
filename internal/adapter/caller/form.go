package caller

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 256

// form is a submission as the body gives it, with times relative to its
// arrival.
type form struct {
	id       ident.SubmissionID
	service  ident.Service
	team     ident.Team
	deadline time.Duration
	tasks    []formTask
}

type formTask struct {
	input    string
	deadline time.Duration
	size     float64
}

// parser reads the body of a request or a job.
type parser struct {
	body   *body
	limits Limits
	job    bool
}

func (p *parser) parse() (form, error) {
	f := form{deadline: p.limits.DefaultDeadline}
	var single formTask
	given := make(map[string]bool)
	err := p.body.object("", func(key, path string) (err error) {
		given[key] = true
		var text string
		switch {
		case key == "id":
			if text, err = p.body.text(path); err == nil {
				f.id, err = ident.ParseSubmissionID(text)
			}
		case key == "service":
			text, err = p.name(path)
			f.service = ident.Service(text)
		case key == "team":
			text, err = p.name(path)
			f.team = ident.Team(text)
		case key == "deadline-ms":
			f.deadline, err = p.deadline(path)
		case key == "tasks" && p.job:
			f.tasks, err = p.tasks(path)
		case !p.job:
			err = p.taskField(&single, key, path)
		default:
			err = unknownKey(path)
		}
		return err
	})
	if err == nil {
		err = p.body.finish()
	}
	if err != nil {
		return form{}, err
	}
	required := []string{"service", "team", "input"}
	if p.job {
		required[2] = "tasks"
	} else {
		f.tasks = []formTask{single}
	}
	for _, key := range required {
		if !given[key] {
			return form{}, badField(key, "is required")
		}
	}
	return f, f.settleDeadlines()
}

// settleDeadlines gives tasks without a deadline that of the submission.
func (f *form) settleDeadlines() error {
	for i := range f.tasks {
		t := &f.tasks[i]
		if t.deadline == 0 {
			t.deadline = f.deadline
		}
		if t.deadline > f.deadline {
			return badField("tasks["+strconv.Itoa(i)+"].deadline-ms", "must not exceed the deadline of the whole job")
		}
	}
	return nil
}

func (p *parser) tasks(path string) ([]formTask, error) {
	var tasks []formTask
	err := p.body.array(path, func(i int, itemPath string) error {
		if i == p.limits.MaxTasks {
			return fault.New(fault.TooLarge, fault.RanNo).WithField(path).
				WithDetail("holds more than " + strconv.Itoa(p.limits.MaxTasks) + " tasks")
		}
		var t formTask
		hasInput := false
		err := p.body.object(itemPath, func(key, keyPath string) (err error) {
			hasInput = hasInput || key == "input"
			if key == "deadline-ms" {
				t.deadline, err = p.deadline(keyPath)
				return err
			}
			return p.taskField(&t, key, keyPath)
		})
		if err == nil && !hasInput {
			err = badField(join(itemPath, "input"), "is required")
		}
		tasks = append(tasks, t)
		return err
	})
	if err == nil && len(tasks) == 0 {
		err = badField(path, "must hold at least one task")
	}
	return tasks, err
}

func (p *parser) taskField(t *formTask, key, path string) (err error) {
	switch key {
	case "input":
		if t.input, err = p.body.text(path); err == nil && len(t.input) > p.limits.MaxInputBytes {
			err = fault.New(fault.TooLarge, fault.RanNo).WithField(path).
				WithDetail("is longer than " + strconv.Itoa(p.limits.MaxInputBytes) + " bytes")
		}
	case "size":
		t.size, err = p.body.size(path)
	default:
		err = unknownKey(path)
	}
	return err
}

func (p *parser) name(path string) (string, error) {
	s, err := p.body.text(path)
	if err == nil && !ident.ValidName(s) {
		err = badField(path, "must be a name of 1 to 64 characters out of a-z, 0-9 and inner hyphens")
	}
	return s, err
}

func (p *parser) deadline(path string) (time.Duration, error) {
	ms, err := p.body.whole(path, 1, p.limits.MaxDeadline.Milliseconds())
	return time.Duration(ms) * time.Millisecond, err
}

// parseCount reads the body of a call for ids.
func parseCount(b *body, most int) (n int, err error) {
	err = b.object("", func(key, path string) error {
		if key != "count" {
			return unknownKey(path)
		}
		v, err := b.whole(path, 1, int64(most))
		n = int(v)
		return err
	})
	if err == nil {
		err = b.finish()
	}
	if err == nil && n == 0 {
		err = badField("count", "is required")
	}
	return n, err
}

// parseKey checks the values of the key header.
func parseKey(values []string) (string, error) {
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxKeyBytes {
		return "", badField(HeaderKey, "must be one value of 1 to "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return "", badField(HeaderKey, "must be printable ASCII without spaces")
		}
	}
	return key, nil
}

func unknownKey(path string) error { return badField(path, "is not a known key") }

// request turns the form into a submission that arrived at the given time.
func (f form) request(arrived time.Time, job bool) Request {
	r := Request{
		Submission: work.Submission{
			ID:       f.id,
			Service:  f.service,
			Team:     f.team,
			Job:      job,
			Deadline: arrived.Add(f.deadline),
			Tasks:    make([]work.Input, len(f.tasks)),
		},
		IDGiven: !f.id.IsZero(),
		Digest:  f.digest(job),
	}
	for i, t := range f.tasks {
		r.Submission.Tasks[i] = work.Input{Body: []byte(t.input), Deadline: arrived.Add(t.deadline), Size: t.size}
	}
	return r
}

// digest hashes the content in a canonical form: defaults are filled in, and
// neither the order of keys nor white space nor the id counts.
func (f form) digest(job bool) uint64 {
	d := xxhash.New()
	var word [8]byte
	number := func(n uint64) {
		binary.LittleEndian.PutUint64(word[:], n)
		_, _ = d.Write(word[:])
	}
	text := func(s string) {
		number(uint64(len(s)))
		_, _ = d.WriteString(s)
	}
	if job {
		number(1)
	} else {
		number(0)
	}
	text(string(f.service))
	text(string(f.team))
	number(uint64(f.deadline))
	number(uint64(len(f.tasks)))
	for _, t := range f.tasks {
		text(t.input)
		number(uint64(t.deadline))
		number(math.Float64bits(t.size))
	}
	return d.Sum64()
}

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

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 256

// parsedSubmission is the content of a request body. Its deadlines are relative
// to the arrival of the request.
type parsedSubmission struct {
	id       ident.SubmissionID
	service  ident.Service
	team     ident.Team
	deadline time.Duration
	tasks    []parsedTask
}

type parsedTask struct {
	input    string
	deadline time.Duration
	size     float64
}

// parser parses the body of a request, or of a job if job is true.
type parser struct {
	body   *bodyDecoder
	limits Limits
	job    bool
}

func (p *parser) parse() (parsedSubmission, error) {
	parsed := parsedSubmission{deadline: p.limits.DefaultDeadline}
	var single parsedTask
	given := make(map[string]bool)
	err := p.body.object("", func(key, path string) (err error) {
		given[key] = true
		var text string
		switch {
		case key == "id":
			if text, err = p.body.text(path); err == nil {
				parsed.id, err = ident.ParseSubmissionID(text)
			}
		case key == "service":
			text, err = p.name(path)
			parsed.service = ident.Service(text)
		case key == "team":
			text, err = p.name(path)
			parsed.team = ident.Team(text)
		case key == "deadline-ms":
			parsed.deadline, err = p.deadline(path)
		case key == "tasks" && p.job:
			parsed.tasks, err = p.tasks(path)
		case !p.job:
			err = p.taskField(&single, key, path)
		default:
			err = unknownKey(path)
		}
		return err
	})
	if err == nil {
		err = p.body.expectEOF()
	}
	if err != nil {
		return parsedSubmission{}, err
	}
	required := []string{"service", "team", "input"}
	if p.job {
		required[2] = "tasks"
	} else {
		parsed.tasks = []parsedTask{single}
	}
	for _, key := range required {
		if !given[key] {
			return parsedSubmission{}, badField(key, "is required")
		}
	}
	return parsed, parsed.applyDefaultDeadlines()
}

// applyDefaultDeadlines sets the deadline of the submission on tasks without
// their own, and rejects tasks with a later deadline than the submission.
func (parsed *parsedSubmission) applyDefaultDeadlines() error {
	for i := range parsed.tasks {
		t := &parsed.tasks[i]
		if t.deadline == 0 {
			t.deadline = parsed.deadline
		}
		if t.deadline > parsed.deadline {
			return badField("tasks["+strconv.Itoa(i)+"].deadline-ms", "must not exceed the deadline of the job")
		}
	}
	return nil
}

func (p *parser) tasks(path string) ([]parsedTask, error) {
	var tasks []parsedTask
	err := p.body.array(path, func(i int, itemPath string) error {
		if i == p.limits.MaxTasks {
			return fault.New(fault.TooLarge, fault.RanNo).WithField(path).
				WithDetail("contains more than " + strconv.Itoa(p.limits.MaxTasks) + " tasks")
		}
		var t parsedTask
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
			err = badField(joinPath(itemPath, "input"), "is required")
		}
		tasks = append(tasks, t)
		return err
	})
	if err == nil && len(tasks) == 0 {
		err = badField(path, "must contain at least one task")
	}
	return tasks, err
}

func (p *parser) taskField(t *parsedTask, key, path string) (err error) {
	switch key {
	case "input":
		if t.input, err = p.body.text(path); err == nil && len(t.input) > p.limits.MaxInputBytes {
			err = fault.New(fault.TooLarge, fault.RanNo).WithField(path).
				WithDetail("is longer than " + strconv.Itoa(p.limits.MaxInputBytes) + " bytes")
		}
	case "size":
		t.size, err = p.body.nonNegative(path)
	default:
		err = unknownKey(path)
	}
	return err
}

func (p *parser) name(path string) (string, error) {
	s, err := p.body.text(path)
	if err == nil && !ident.ValidName(s) {
		err = badField(path, "must be a name of 1 to 64 characters from a-z, 0-9 and inner hyphens")
	}
	return s, err
}

func (p *parser) deadline(path string) (time.Duration, error) {
	ms, err := p.body.integer(path, 1, p.limits.MaxDeadline.Milliseconds())
	return time.Duration(ms) * time.Millisecond, err
}

// parseCount parses the body of a request for submission ids.
func parseCount(b *bodyDecoder, maxCount int) (n int, err error) {
	err = b.object("", func(key, path string) error {
		if key != "count" {
			return unknownKey(path)
		}
		v, err := b.integer(path, 1, int64(maxCount))
		n = int(v)
		return err
	})
	if err == nil {
		err = b.expectEOF()
	}
	if err == nil && n == 0 {
		err = badField("count", "is required")
	}
	return n, err
}

// parseIdempotencyKey validates the values of the HeaderIdempotencyKey header.
// It returns an empty key if the header is absent.
func parseIdempotencyKey(values []string) (string, error) {
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes {
		return "", badField(HeaderIdempotencyKey, "must be one value of 1 to "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return "", badField(HeaderIdempotencyKey, "must be printable ASCII without spaces")
		}
	}
	return key, nil
}

func unknownKey(path string) error { return badField(path, "is not a known key") }

// request returns the request that arrived at the given time.
func (parsed parsedSubmission) request(arrived time.Time, job bool) Request {
	r := Request{
		Submission: work.Submission{
			ID:       parsed.id,
			Service:  parsed.service,
			Team:     parsed.team,
			Job:      job,
			Deadline: arrived.Add(parsed.deadline),
			Tasks:    make([]work.Input, len(parsed.tasks)),
		},
		HasID:  !parsed.id.IsZero(),
		Digest: parsed.digest(job),
	}
	for i, t := range parsed.tasks {
		r.Submission.Tasks[i] = work.Input{Body: []byte(t.input), Deadline: arrived.Add(t.deadline), Size: t.size}
	}
	return r
}

// digest returns a hash of the content in a canonical form. It covers the default
// deadlines that were filled in, but not the order of keys, white space or the
// id.
func (parsed parsedSubmission) digest(job bool) uint64 {
	d := xxhash.New()
	var word [8]byte
	writeNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(word[:], n)
		_, _ = d.Write(word[:])
	}
	writeText := func(s string) {
		writeNumber(uint64(len(s)))
		_, _ = d.WriteString(s)
	}
	if job {
		writeNumber(1)
	} else {
		writeNumber(0)
	}
	writeText(string(parsed.service))
	writeText(string(parsed.team))
	writeNumber(uint64(parsed.deadline))
	writeNumber(uint64(len(parsed.tasks)))
	for _, t := range parsed.tasks {
		writeText(t.input)
		writeNumber(uint64(t.deadline))
		writeNumber(math.Float64bits(t.size))
	}
	return d.Sum64()
}

// Package logread reads the log lines that instances write and explains from
// them what happened to one job.
package logread

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// maxLine is the longest accepted line, in bytes. Instances write at most 4096
// bytes a line, and log collectors put text before them.
const maxLine = 1 << 20

// Line is a log line of an instance.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	// Fields holds the other fields by name.
	Fields map[string]any
}

// Text returns a field as text, or "" if the line does not have it.
func (l *Line) Text(name string) string {
	switch v := l.Fields[name].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

// Duration returns a field that holds a duration, or zero if the field is
// missing or invalid.
func (l *Line) Duration(name string) time.Duration {
	d, err := time.ParseDuration(l.Text(name))
	if err != nil {
		return 0 // lines of other versions may lack the field
	}
	return d
}

// ParseLine parses a line. It skips the text before the first brace, since log
// collectors put times and names there. It reports false if the line was not
// written by an instance.
func ParseLine(text []byte) (Line, bool) {
	from := bytes.IndexByte(text, '{')
	if from < 0 {
		return Line{}, false
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(text[from:]))
	d.UseNumber()
	if d.Decode(&fields) != nil {
		return Line{}, false
	}
	pop := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	l := Line{Instance: pop("instance"), Message: pop("msg"), Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, pop("time"))
	if err != nil && l.Message != messageDropped {
		return Line{}, false
	}
	l.At = at
	return l, l.Message != ""
}

// read calls f for each line that was written by an instance.
func read(r io.Reader, f func(Line)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := ParseLine(s.Bytes()); ok {
			f(l)
		}
	}
	if err := s.Err(); err != nil {
		return fault.Wrap(err, fault.Internal, fault.RanNo).WithDetail("the log cannot be read")
	}
	return nil
}

// mentions reports whether the line has the id of a job or of one of its tasks
// in a field.
func (l *Line) mentions(id string) bool {
	return l.Text("job") == id || strings.HasPrefix(l.Text("task"), id+".")
}

// sortByTime sorts lines by time. Lines with equal times keep their order.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

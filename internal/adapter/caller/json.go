package caller

import (
	"bytes"
	"encoding/json"

	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// EncodeAnswer returns the JSON form of an answer in the caller API.
func EncodeAnswer(a work.Answer) ([]byte, error) { return json.Marshal(newAnswerReply(a)) }

// ParseTasks parses a JSON array of tasks in the form of the "tasks" key of a
// job's body, with the default limits. The error is a *fault.Error that names
// the invalid field.
func ParseTasks(data []byte) ([]Task, error) {
	limits := Limits{}.Defaults()
	p := parser{body: &bodyDecoder{dec: json.NewDecoder(bytes.NewReader(data))}, limits: limits, job: true}
	parsed, err := p.tasks("tasks")
	if err == nil {
		err = p.body.expectEOF()
	}
	if err != nil {
		return nil, err
	}
	tasks := make([]Task, len(parsed))
	for i, t := range parsed {
		tasks[i] = Task{Input: []byte(t.input), Deadline: t.deadline, Size: t.size}
	}
	return tasks, nil
}

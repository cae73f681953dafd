package caller

import (
	"bytes"
	"encoding/json"

	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// EncodeAnswer returns an answer in the JSON form of the caller protocol.
func EncodeAnswer(a work.Answer) ([]byte, error) { return json.Marshal(newAnswerReply(a)) }

// ParseTasks reads a JSON list of tasks in the form of a job's body, with the
// default limits. Its failure names the faulty field.
func ParseTasks(data []byte) ([]Task, error) {
	limits := Limits{}.Defaults()
	p := parser{body: &body{dec: json.NewDecoder(bytes.NewReader(data))}, limits: limits, job: true}
	parsed, err := p.tasks("tasks")
	if err == nil {
		err = p.body.finish()
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

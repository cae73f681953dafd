package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

const (
	examplePath = "example.yaml"
	validID     = "penang-1.entry-1.19ae.1xg0.11"
)

// startServer serves the handler until the test ends and returns the address.
func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// writeFile writes a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// newCallerHandler returns a handler with a fake back end. It fails work for
// the team "late" and completes all other work.
func newCallerHandler() *caller.Handler {
	id, _ := ident.ParseSubmissionID(validID)
	h := &caller.Handler{Clock: clock.System{}, Limits: caller.Limits{}.Defaults()}
	h.IssueIDs = func(context.Context, int) ([]ident.SubmissionID, error) { return []ident.SubmissionID{id}, nil }
	h.Submit = func(_ context.Context, r caller.Request) (work.Answer, error) {
		a := work.Answer{ID: r.Submission.ID, State: work.Complete}
		for _, t := range r.Submission.Tasks {
			a.Outputs = append(a.Outputs, t.Body)
		}
		if r.Submission.Team == "late" {
			e := fault.New(fault.DeadlineExceeded, fault.RanYes)
			a = work.Answer{ID: a.ID, State: work.Failed, Failures: []work.TaskFailure{{Error: e}}}
		}
		return a, nil
	}
	h.Fetch = func(_ context.Context, id ident.SubmissionID) (work.Answer, error) {
		return work.Answer{ID: id, State: work.Running}, nil
	}
	h.Cancel = func(context.Context, ident.SubmissionID) (work.Answer, error) {
		return work.Answer{}, fault.New(fault.NotFound, fault.RanNo)
	}
	return h
}

// TestRun guards against wrong exit statuses, flags that are ignored or
// misread, and missing output.
func TestRun(t *testing.T) {
	address := startServer(t, newCallerHandler())
	status := startServer(t, &operator.Handler{Status: func() any { return map[string]int{"queued": 4} }, Token: "secret"})
	token := writeFile(t, "secret\n")
	job := writeFile(t, `[{"input":"a"},{"input":"b","deadline-ms":500}]`)
	submit := []string{"submit", "--address", address, "--service", "press", "--team", "shop"}
	logs := writeFile(t, `{"instance":"n","msg":"job taken","time":"2026-01-01T10:00:00.000Z","job":"a1"}`+"\n")
	settings := writeFile(t, "node = \"n\"\norders = \"pigeon\"\n")
	stored := writeFile(t, `{"version":7,"routes":[{"name":"r","host":"h","prefix":"/x/","service":"s"}]}`)
	cases := map[string]struct {
		args []string
		exit int
		text string
	}{
		"explain":           {[]string{"explain", "a1", logs}, 0, "taken by n and not answered"},
		"explain, no line":  {[]string{"explain", "b2", logs}, 1, "no line of 1 names b2"},
		"explain, no file":  {[]string{"explain", "a1", "/nonexistent"}, 1, "/nonexistent"},
		"explain, no id":    {[]string{"explain"}, 2, "ID"},
		"check settings":    {[]string{"check", "--settings", settings}, 2, "orders"},
		"check all faults":  {[]string{"check", "--settings", settings}, 2, "platform.addr"},
		"check stored":      {[]string{"check", "--stored", stored}, 0, "version 7, 1 routes"},
		"check bad stored":  {[]string{"check", "--stored", logs}, 1, "version"},
		"version":           {[]string{"--version"}, 0, "hornbeamlift version"},
		"help":              {[]string{"--help"}, 0, "apply"},
		"no subcommand":     {nil, 2, "subcommand is required"},
		"unknown command":   {[]string{"serves"}, 2, `no subcommand "serves"`},
		"unknown flag":      {[]string{"check", "--fiel", "x"}, 2, "fiel"},
		"missing flag":      {[]string{"check"}, 2, "file"},
		"check of several":  {[]string{"check", "-f", examplePath, "--stored", stored}, 0, "version 7, 1 routes"},
		"extra argument":    {[]string{"check", "-f", examplePath, "x"}, 2, `unexpected argument "x"`},
		"check":             {[]string{"check", "-f", examplePath}, 0, "2 services, 2 teams"},
		"check faulty":      {[]string{"check", "-f", writeFile(t, "services: [{name: A}]\nx: 1")}, 1, "(x)"},
		"check absent":      {[]string{"check", "-f", "/nonexistent"}, 1, "/nonexistent"},
		"request":           {append(submit, "--request", "hi"), 0, `"outputs":["hi"]`},
		"request under id":  {append(submit, "--request", "hi", "--id", validID), 0, validID},
		"job":               {append(submit, "--job", job), 0, `"outputs":["a","b"]`},
		"faulty job":        {append(submit, "--job", writeFile(t, `[{"inptu":"a"}]`)), 1, "tasks[0].inptu"},
		"failed work":       {[]string{"submit", "--address", address, "--service", "s", "--team", "late", "--request", "x"}, 1, "deadline-exceeded"},
		"fetch":             {[]string{"submit", "--address", address, "--fetch", validID}, 0, "running"},
		"cancel":            {[]string{"submit", "--address", address, "--cancel", validID}, 1, "not-found"},
		"two actions":       {append(submit, "--request", "a", "--job", job), 2, "cannot be combined"},
		"no action":         {submit, 2, "is required"},
		"no service":        {[]string{"submit", "--address", address, "--request", "x"}, 2, "--service"},
		"malformed id":      {append(submit, "--request", "a", "--id", "x"), 2, "--id"},
		"malformed address": {[]string{"submit", "--address", "x", "--fetch", validID}, 2, "--address"},
		"status":            {[]string{"status", "--address", status, "--token-file", token}, 0, `"queued": 4`},
		"status refused":    {[]string{"status", "--address", status}, 1, "unauthorized"},
		"apply, bad name":   {[]string{"apply", "-f", examplePath, "--operator", "Ana!"}, 2, "--operator"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(run(context.Background(), append([]string{"hornbeamlift"}, c.args...), &out, &out), c.exit)
			is.True(strings.Contains(out.String(), c.text))
		})
	}
}

// TestApply guards against a dry run that writes to the store, and against an
// apply that does not.
func TestApply(t *testing.T) {
	is := is.New(t)
	var data []byte
	var revision uint64
	old := newApplier
	defer func() { newApplier = old }()
	newApplier = func(string) (*operator.Applier, error) {
		return &operator.Applier{
			Get: func(context.Context, string) ([]byte, uint64, error) { return data, revision, nil },
			Put: func(_ context.Context, _ string, d []byte, _ uint64) (uint64, error) {
				data, revision = d, revision+1
				return revision, nil
			},
		}, nil
	}
	apply := func(flags ...string) string {
		var out bytes.Buffer
		args := append([]string{"hornbeamlift", "apply", "-f", examplePath, "--operator", "ana"}, flags...)
		is.Equal(run(context.Background(), args, &out, &out), 0)
		return out.String()
	}
	is.True(strings.Contains(apply("--dry-run"), "services[sheet-press].max-running: unset -> 96"))
	is.Equal(revision, uint64(0))
	is.True(strings.Contains(apply(), "revision 1 is in the store"))
	is.True(bytes.Contains(data, []byte("sheet-press")))
	is.Equal(apply("--dry-run"), "revision 2 would change 0 keys; nothing was written\n")
	is.Equal(revision, uint64(1))
}

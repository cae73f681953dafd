package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// request sends a request to the handler and returns the status and body of the
// reply.
func request(t *testing.T, h http.Handler, method, path, body string) (int, string) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	r.Header.Set("Hornbeamlift-Task", "a/0")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	text, err := io.ReadAll(w.Result().Body)
	is.New(t).NoErr(err)
	return w.Code, string(text)
}

// TestSwitches guards against switches that have no effect or a wrong one when
// a separate process sets them by an HTTP request, and against invalid values
// that are accepted.
func TestSwitches(t *testing.T) {
	s := NewStore(StoreSettings{})
	e, err := NewEndpoint(EndpointSettings{})
	is.New(t).NoErr(err)
	cases := map[string]struct {
		handler    http.Handler
		path, body string
		status     int
		applied    func() bool
	}{
		"down":           {s.Handler(), "down", "true", 200, func() bool { return s.down }},
		"delay":          {s.Handler(), "delay-ms", "5", 200, func() bool { return s.delay == 5*time.Millisecond }},
		"lose replies":   {s.Handler(), "lose-replies", "2", 200, func() bool { return s.repliesToLose == 2 }},
		"list lag":       {s.Handler(), "list-lag-ms", "7", 200, func() bool { return s.listLag == 7*time.Millisecond }},
		"instances":      {s.Handler(), "instances", `[{"id":"w","kind":"endpoint","incarnation":"f","state":"leaving"}]`, 200, func() bool { return s.instances()[0].Leaving && s.instances()[0].Incarnation == 15 }},
		"bad instances":  {s.Handler(), "instances", `[{"id":"x"}]`, 400, func() bool { return true }},
		"bad value":      {s.Handler(), "down", "1", 400, func() bool { return true }},
		"fail fast":      {e.Handler(), "fail-fast", "true", 200, func() bool { return e.failFast }},
		"draining":       {e.Handler(), "draining", "true", 200, func() bool { return e.draining }},
		"endpoint delay": {e.Handler(), "delay-ms", "5", 200, func() bool { return e.delay == 5*time.Millisecond }},
		"straggle":       {e.Handler(), "straggle", "0.25", 200, func() bool { return e.speedFactor == 0.25 }},
		"bad straggle":   {e.Handler(), "straggle", "0", 400, func() bool { return e.speedFactor != 0 }},
		"silence":        {e.Handler(), "silence", `"silent-all"`, 200, func() bool { return e.silence == SilentAll }},
		"bad silence":    {e.Handler(), "silence", `"loud"`, 400, func() bool { return e.silence != "loud" }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, _ := request(t, c.handler, http.MethodPut, "/stand-in/"+c.path, c.body)
			is.Equal(status, c.status)
			is.True(c.applied())
		})
	}
}

// TestStartRecords guards against starts that are not recorded, on which tests
// of at-most-once execution rely, and against a wrong run time of a straggler.
func TestStartRecords(t *testing.T) {
	is := is.New(t)
	e, err := NewEndpoint(EndpointSettings{Speed: 4})
	is.NoErr(err)
	e.SetSpeedFactor(0.5)
	runTime, _, refusal := e.admit("a/1", "1", 80*time.Millisecond, nil)
	is.Equal(refusal, "")
	is.Equal(runTime, 40*time.Millisecond)
	for range 2 {
		_, output := request(t, e.Handler(), http.MethodPost, "/v1/tasks", `{"run-ms": 0, "echo": "x"}`)
		is.Equal(output, "x")
	}
	_, text := request(t, e.Handler(), http.MethodGet, "/stand-in/starts", "")
	var got startsBody
	is.NoErr(json.Unmarshal([]byte(text), &got))
	is.Equal(len(got.Starts), 3)
	is.Equal(got.Starts[2].Task, "a/0")
	is.Equal(got.Duplicates, 1)
	is.Equal(got.Completions, map[string]int{"a/0": 2})
}

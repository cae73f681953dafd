package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

func newHandler() *operator.Handler {
	set := metrics.NewSet()
	set.NewCounter("hornbeamlift_tasks_total").Add(3)
	return &operator.Handler{
		Ready:   func() error { return nil },
		Status:  func() any { return map[string]int{"open-submissions": 2} },
		Metrics: set,
		Token:   "secret",
	}
}

// TestHandler guards against probes and metrics that require a token, a status
// report that is sent without the required token, wrong readiness responses,
// and a server without limits.
func TestHandler(t *testing.T) {
	cases := map[string]struct {
		path, authorization, token string
		ready                      error
		status                     int
		body                       string
	}{
		"live":                 {"/live", "", "secret", fault.New(fault.Draining, fault.RanNo), 200, "live"},
		"ready":                {"/ready", "", "secret", nil, 200, "ready"},
		"draining":             {"/ready", "", "secret", fault.New(fault.Draining, fault.RanNo), 503, `"kind":"draining"`},
		"no configuration":     {"/ready", "", "secret", fault.New(fault.ConfigMissing, fault.RanNo), 503, `"kind":"config-missing"`},
		"metrics":              {"/metrics", "", "secret", nil, 200, "hornbeamlift_tasks_total 3"},
		"status":               {"/v1/status", "Bearer secret", "secret", nil, 200, `{"open-submissions":2}`},
		"no token":             {"/v1/status", "", "secret", nil, 401, `"kind":"unauthorized"`},
		"wrong token":          {"/v1/status", "Bearer secre", "secret", nil, 401, `"kind":"unauthorized"`},
		"token without Bearer": {"/v1/status", "secret", "secret", nil, 401, `"kind":"unauthorized"`},
		"no token required":    {"/v1/status", "", "", nil, 200, `{"open-submissions":2}`},
		"unknown path":         {"/debug", "", "", nil, 404, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHandler()
			h.Token, h.Ready = c.token, func() error { return c.ready }
			w := httptest.NewRecorder()
			r := httptest.NewRequest("GET", c.path, nil)
			r.Header.Set("Authorization", c.authorization)
			h.ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), c.body))
		})
	}
	s := newHandler().Server("127.0.0.1:0")
	is.New(t).True(s.MaxHeaderBytes > 0 && s.ReadTimeout > 0 && s.WriteTimeout > 0 && s.IdleTimeout > 0)
}

// TestFetchStatus guards against an error response or a page of another server
// that is returned as a status report.
func TestFetchStatus(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(newHandler())
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	client := &http.Client{Timeout: 10 * time.Second}
	report, err := operator.FetchStatus(context.Background(), client, address, "secret")
	is.NoErr(err)
	is.Equal(strings.TrimSpace(string(report)), `{"open-submissions":2}`)
	_, err = operator.FetchStatus(context.Background(), client, address, "other")
	is.Equal(fault.KindOf(err), fault.Unauthorized)
	s.Config.Handler = http.NotFoundHandler()
	_, err = operator.FetchStatus(context.Background(), client, address, "secret")
	is.Equal(fault.KindOf(err), fault.HomeUnreachable)
}

// Package route matches a caller's request to a route of the current
// configuration.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Route maps the requests for a host and a path prefix to a service, and holds
// the settings of their jobs.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service ident.Service
	// Timeout applies to requests whose caller sets no timeout.
	Timeout time.Duration
	// The target time of a job is Stretch times its estimated time, plus
	// Latency; see home.RouteSettings.
	Latency time.Duration
	Stretch float64
	// Attempts is the maximum number of failed runs of a task: with that many,
	// the task has failed.
	Attempts int
	// Priority orders the jobs of the routes of a service when there is too
	// little room: 0 comes first.
	Priority int
	// NeedsAdvice is set if the route is configured with advice. Jobs of such a
	// route are rejected, since this version does not support advice.
	NeedsAdvice bool
}

// Table holds the routes of one version of the configuration. It is immutable.
type Table struct {
	// Version is the configuration's own version number. It is not the revision
	// of the store.
	Version uint64
	// BodyLimit bounds the body of a caller's request, in bytes. Zero means the
	// default.
	BodyLimit  int64
	hosts      map[string][]Route // longest prefix first
	routeCount int
}

// NewTable returns a table of the routes. Host names match in any case.
func NewTable(version uint64, routes []Route, bodyLimit int64) *Table {
	t := &Table{Version: version, BodyLimit: bodyLimit, hosts: map[string][]Route{}, routeCount: len(routes)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routeCount }

// Match returns the route with the longest prefix of the path among the routes
// of the host, and the rest of the path. A port in host is ignored.
func (t *Table) Match(host, path string) (r Route, rest string, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, path[len(r.Prefix):], true
		}
	}
	return Route{}, "", false
}

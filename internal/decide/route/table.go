// Package route finds the route of a caller's request in the configuration in
// force.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Route is a queue of jobs for one service.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service ident.Service
	// Timeout is the wait of a caller that names none.
	Timeout time.Duration
	// Latency and Stretch set the time within which an answer is in time.
	Latency time.Duration
	Stretch float64
	// Attempts is the number of failed runs after which a task has failed.
	Attempts int
	// Advised routes need the advice service for each step.
	Advised bool
}

// Table is a configuration in force. It does not change.
type Table struct {
	Version uint64
	// BodyLimit bounds a caller's body, in bytes; zero means the default.
	BodyLimit int64
	hosts     map[string][]Route // longest prefix first
	routes    int
}

// NewTable returns the table of a configuration.
func NewTable(version uint64, routes []Route, bodyLimit int64) *Table {
	t := &Table{Version: version, BodyLimit: bodyLimit, hosts: map[string][]Route{}, routes: len(routes)}
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
func (t *Table) Routes() int { return t.routes }

// Match returns the route with the longest prefix of the path at the host, and
// the rest of the path.
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

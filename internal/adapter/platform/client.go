// Package platform is the HTTP client for the platform's key-value store and
// its list of instances. One client per instance holds the call budget, the
// back-off and the circuit breaker.
package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

const (
	// maxIdleConns is the number of idle connections that are kept. Because of
	// the call budget, more are needed only briefly.
	maxIdleConns = 4
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 90 * time.Second
)

// Value is the value of a key.
type Value struct {
	Data []byte
	// Revision is the store's revision at the key's last change. It is 0 when
	// the key is absent.
	Revision uint64
}

// ConflictError reports that a compare-and-swap found a different revision than
// it expected. It unwraps to a fault.Error of kind fault.StoreConflict.
type ConflictError struct {
	// Revision is the key's current revision, 0 when the key is absent.
	Revision uint64
}

// Error returns the kind and the current revision.
func (e *ConflictError) Error() string {
	return string(fault.StoreConflict) + ": the current revision is " + strconv.FormatUint(e.Revision, 10)
}

// Unwrap returns the conflict as a fault.Error.
func (e *ConflictError) Unwrap() error {
	return fault.New(fault.StoreConflict, fault.RanNo).
		WithDetail("the current revision is " + strconv.FormatUint(e.Revision, 10))
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	settings  Settings
	transport *http.Transport

	mu     sync.Mutex
	policy *Policy
	stats  Stats
	// list is the list of instances as last read, and listETag its ETag.
	list     []work.Instance
	listETag string
}

// New returns a client. The error has kind fault.SettingsInvalid.
func New(settings Settings) (*Client, error) {
	settings = settings.Defaults()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Client{
		settings: settings,
		transport: &http.Transport{
			DialContext:         settings.Dial,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		policy: NewPolicy(settings.Clock.Now(), settings.Random),
		stats:  Stats{Calls: map[string]uint64{}},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get returns the value of the key. An absent key has revision 0 and is not an
// error.
//
// The errors of all methods that only read have one of these kinds:
//   - fault.StoreUnavailable or fault.BudgetExhausted, with fault.RanNo and,
//     unless the context has ended, the time to wait before the next try
//   - fault.BadField, fault.TooLarge or fault.Internal: the platform rejected
//     the request, or its reply is not valid
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	r, err := c.do(ctx, call{
		kind: callGet, method: http.MethodGet, path: keyPath(key), timeout: c.settings.CallTimeout,
	})
	if err != nil {
		return Value{}, err
	}
	return readValue(r)
}

// Watch waits until the key's revision differs from after, or at most for wait,
// and returns the value. When nothing changed, the value has revision after and
// no data. A key that was deleted has revision 0.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	wait = max(wait, 0)
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
	r, err := c.do(ctx, call{
		kind: callWatch, method: http.MethodGet, path: keyPath(key), query: query.Encode(),
		timeout: wait + c.settings.CallTimeout,
	})
	if err != nil {
		return Value{}, err
	}
	if r.status == http.StatusNotModified {
		return Value{Revision: after}, nil
	}
	return readValue(r)
}

// Put sets the key if its revision is ifRevision (0 for an absent key) and
// returns the new revision. Unless lease is empty, the store removes the key
// when the lease expires or is revoked.
//
// The error of a write has one of these kinds, and its Ran says whether the
// platform made the write:
//   - fault.StoreConflict, as a *ConflictError, with fault.RanNo
//   - fault.NotFound with fault.RanNo: the lease has expired
//   - fault.StoreUnavailable or fault.BudgetExhausted with fault.RanNo
//   - fault.StoreUnknown with fault.RanUnknown: the platform may have made the
//     write
//   - fault.TooLarge with fault.RanNo: the value exceeds 1 MB
//   - fault.BadField with fault.RanNo: the platform rejected the request
//   - fault.Internal with fault.RanUnknown: the reply has another status
func (c *Client) Put(ctx context.Context, key string, data []byte, ifRevision uint64, lease LeaseID) (uint64, error) {
	header := http.Header{"If-Match": {strconv.FormatUint(ifRevision, 10)}}
	if lease != "" {
		header.Set("Lease", string(lease))
	}
	return c.compareAndSwap(ctx, call{
		kind: callPut, method: http.MethodPut, path: keyPath(key), header: header, body: data,
		timeout: c.settings.CallTimeout, write: true,
	})
}

// Delete removes the key if its revision is ifRevision. It fails as Put does.
func (c *Client) Delete(ctx context.Context, key string, ifRevision uint64) error {
	_, err := c.compareAndSwap(ctx, call{
		kind: callDelete, method: http.MethodDelete, path: keyPath(key),
		header:  http.Header{"If-Match": {strconv.FormatUint(ifRevision, 10)}},
		timeout: c.settings.CallTimeout, write: true,
	})
	return err
}

// Instances returns the platform's list of instances, which may be out of date.
// The request is conditional, so that an unchanged list is not sent again: 850
// rows, read once a second, would take 162 KB/s. Invalid rows are left out; see
// Stats.InvalidRow.
func (c *Client) Instances(ctx context.Context) ([]work.Instance, error) {
	c.mu.Lock()
	cached, etag := c.list, c.listETag
	c.mu.Unlock()
	k := call{kind: callList, method: http.MethodGet, path: "/v1/instances", timeout: c.settings.CallTimeout}
	if etag != "" {
		k.header = http.Header{"If-None-Match": {etag}}
	}
	r, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	switch {
	case r.status == http.StatusNotModified && etag != "":
		return cached, nil
	case r.status != http.StatusOK:
		return nil, unexpectedStatus(r)
	}
	list, invalid, decodeErr := decodeValidRows(r.body, cached)
	if decodeErr != nil {
		return nil, decodeErr
	}
	c.mu.Lock()
	c.list, c.listETag, c.stats.InvalidRow = list, r.etag, ""
	if invalid != nil {
		c.stats.InvalidRow = invalid.Error()
	}
	c.mu.Unlock()
	return list, nil
}

// compareAndSwap makes a put or delete and returns the key's new revision. It
// fails with a *ConflictError if the key has a different revision than
// expected.
func (c *Client) compareAndSwap(ctx context.Context, k call) (uint64, error) {
	r, err := c.do(ctx, k)
	if err != nil {
		return 0, err
	}
	switch r.status {
	case http.StatusOK, http.StatusNoContent:
		if k.kind == callPut && r.revision == 0 {
			return 0, fault.New(fault.StoreUnknown, fault.RanUnknown).WithDetail("the reply has no ETag")
		}
		return r.revision, nil
	case http.StatusPreconditionFailed:
		c.recordConflict()
		return 0, &ConflictError{Revision: r.revision}
	case http.StatusNotFound:
		return 0, leaseExpired()
	}
	return 0, unexpectedStatus(r)
}

func readValue(r reply) (Value, error) {
	switch {
	case r.status == http.StatusOK && r.revision != 0:
		return Value{Data: r.body, Revision: r.revision}, nil
	case r.status == http.StatusNotFound:
		return Value{}, nil
	}
	return Value{}, unexpectedStatus(r)
}

func keyPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

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
	// maxIdle is the number of kept connections; the budget keeps calls from
	// needing more for long.
	maxIdle = 4
	// idleTimeout closes connections that were not used for a while.
	idleTimeout = 90 * time.Second
)

// Value is the value of a key.
type Value struct {
	Data []byte
	// Revision is the store's revision at the key's last change. It is 0 when
	// the key is absent.
	Revision uint64
}

// ConflictError says that a compare-and-swap found another revision than the
// one it named. It unwraps to a fault.Error of kind fault.StoreConflict.
type ConflictError struct {
	// Revision is the key's current revision, 0 when the key is absent.
	Revision uint64
}

// Error returns the kind and the current revision.
func (e *ConflictError) Error() string {
	return string(fault.StoreConflict) + ": the current revision is " + strconv.FormatUint(e.Revision, 10)
}

// Unwrap returns the failure as a fault.Error.
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
	// list is the list as last read, and listTag its ETag.
	list    []work.Instance
	listTag string
}

// New returns a client. The failure has kind fault.SettingsInvalid.
func New(settings Settings) (*Client, error) {
	settings = settings.Defaults()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Client{
		settings: settings,
		transport: &http.Transport{
			DialContext:         settings.Dial,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		policy: NewPolicy(settings.Clock.Now(), settings.Random),
		stats:  Stats{Calls: map[string]uint64{}},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get returns the value of the key. An absent key has revision 0 and is no
// failure.
//
// The failures of all methods that only read have kind fault.StoreUnavailable
// or fault.BudgetExhausted, with ran no and the time to wait before the next
// try.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	r, err := c.do(ctx, call{
		kind: callGet, method: http.MethodGet, path: keyPath(key), limit: c.settings.CallTimeout,
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
		limit: wait + c.settings.CallTimeout,
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
// returns the new revision. A lease other than "" removes the key when it ends.
//
// A failure of a write has one of these kinds:
//   - fault.StoreConflict, as a *ConflictError, ran no
//   - fault.NotFound, ran no: the lease has lapsed
//   - fault.StoreUnavailable or fault.BudgetExhausted, ran no
//   - fault.StoreUnknown, ran unknown: the platform may have made the write
//   - fault.TooLarge, ran no: the value exceeds 1 MB
func (c *Client) Put(ctx context.Context, key string, data []byte, ifRevision uint64, lease LeaseID) (uint64, error) {
	header := http.Header{"If-Match": {strconv.FormatUint(ifRevision, 10)}}
	if lease != "" {
		header.Set("Lease", string(lease))
	}
	return c.swap(ctx, call{
		kind: callPut, method: http.MethodPut, path: keyPath(key), header: header, body: data,
		limit: c.settings.CallTimeout, write: true,
	})
}

// Delete removes the key if its revision is ifRevision. It fails as Put does.
func (c *Client) Delete(ctx context.Context, key string, ifRevision uint64) error {
	_, err := c.swap(ctx, call{
		kind: callDelete, method: http.MethodDelete, path: keyPath(key),
		header: http.Header{"If-Match": {strconv.FormatUint(ifRevision, 10)}},
		limit:  c.settings.CallTimeout, write: true,
	})
	return err
}

// Instances returns the platform's list of instances, which lags behind. A
// list that has not changed is not sent again: at 850 rows and a read each
// second it would take 162 KB/s.
func (c *Client) Instances(ctx context.Context) ([]work.Instance, error) {
	c.mu.Lock()
	known, tag := c.list, c.listTag
	c.mu.Unlock()
	k := call{kind: callList, method: http.MethodGet, path: "/v1/instances", limit: c.settings.CallTimeout}
	if tag != "" {
		k.header = http.Header{"If-None-Match": {tag}}
	}
	r, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	switch {
	case r.status == http.StatusNotModified && tag != "":
		return known, nil
	case r.status != http.StatusOK:
		return nil, unexpected(r)
	}
	list, decodeErr := DecodeInstances(r.body)
	if decodeErr != nil {
		return nil, decodeErr
	}
	c.mu.Lock()
	c.list, c.listTag = list, r.tag
	c.mu.Unlock()
	return list, nil
}

// swap makes a compare-and-swap.
func (c *Client) swap(ctx context.Context, k call) (uint64, error) {
	r, err := c.do(ctx, k)
	if err != nil {
		return 0, err
	}
	switch r.status {
	case http.StatusOK, http.StatusNoContent:
		if k.kind == callPut && r.revision == 0 {
			return 0, fault.New(fault.StoreUnknown, fault.RanUnknown).WithDetail("no ETag")
		}
		return r.revision, nil
	case http.StatusPreconditionFailed:
		c.conflicted()
		return 0, &ConflictError{Revision: r.revision}
	case http.StatusNotFound:
		return 0, leaseLapsed()
	}
	return 0, unexpected(r)
}

func readValue(r reply) (Value, error) {
	switch {
	case r.status == http.StatusOK && r.revision != 0:
		return Value{Data: r.body, Revision: r.revision}, nil
	case r.status == http.StatusNotFound:
		return Value{}, nil
	}
	return Value{}, unexpected(r)
}

func keyPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

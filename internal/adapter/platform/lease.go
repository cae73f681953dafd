package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// LeaseID names a lease in the store.
type LeaseID string

// Lease is a lease that this process holds.
type Lease struct {
	ID  LeaseID
	TTL time.Duration
	// Ends is when the holder must regard the lease as lapsed. It is counted
	// from before the request, so the store never ends the lease earlier.
	Ends time.Time
}

type leaseBody struct {
	ID  LeaseID `json:"id,omitempty"`
	TTL int64   `json:"ttl-ms"`
}

// GrantLease returns a new lease. A grant whose reply is lost fails as
// fault.StoreUnknown; nothing is attached to that lease and it lapses unused.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	body, err := json.Marshal(leaseBody{TTL: ttl.Milliseconds()})
	if err != nil {
		return Lease{}, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	began := c.settings.Clock.Now()
	r, failure := c.do(ctx, call{
		kind: callGrant, method: http.MethodPost, path: "/v1/leases", body: body,
		limit: c.settings.CallTimeout, write: true,
	})
	if failure != nil {
		return Lease{}, failure
	}
	if r.status != http.StatusOK {
		return Lease{}, unexpected(r)
	}
	var got leaseBody
	if err := json.Unmarshal(r.body, &got); err != nil || got.ID == "" {
		return Lease{}, fault.New(fault.Internal, fault.RanUnknown).WithDetail("malformed lease")
	}
	return Lease{ID: got.ID, TTL: ttl, Ends: began.Add(ttl)}, nil
}

// KeepLease renews the lease for its TTL and returns it with its new end. A
// lapsed lease fails as fault.NotFound.
func (c *Client) KeepLease(ctx context.Context, lease Lease) (Lease, error) {
	began := c.settings.Clock.Now()
	if err := c.changeLease(ctx, callKeep, http.MethodPut, lease.ID); err != nil {
		return Lease{}, err
	}
	lease.Ends = began.Add(lease.TTL)
	return lease, nil
}

// RevokeLease ends the lease and removes the keys that are attached to it. A
// lapsed lease fails as fault.NotFound.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	return c.changeLease(ctx, callRevoke, http.MethodDelete, id)
}

func (c *Client) changeLease(ctx context.Context, kind callKind, method string, id LeaseID) error {
	r, err := c.do(ctx, call{
		kind: kind, method: method, path: "/v1/leases/" + url.PathEscape(string(id)),
		limit: c.settings.CallTimeout, write: true,
	})
	switch {
	case err != nil:
		return err
	case r.status == http.StatusNotFound:
		return leaseLapsed()
	case r.status != http.StatusOK && r.status != http.StatusNoContent:
		return unexpected(r)
	}
	return nil
}

func leaseLapsed() *fault.Error {
	return fault.New(fault.NotFound, fault.RanNo).WithField("lease").WithDetail("the lease has lapsed")
}

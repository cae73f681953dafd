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
	// Expires is when the holder must treat the lease as expired. The TTL is
	// counted from before the request, so the store never ends the lease
	// earlier.
	Expires time.Time
}

// leaseBody is the JSON body of a grant and of its reply.
type leaseBody struct {
	ID  LeaseID `json:"id,omitempty"`
	TTL int64   `json:"ttl-ms"`
}

// GrantLease returns a new lease. If the reply is lost, it fails with
// fault.StoreUnknown; the lease that the store may have granted has no keys and
// expires unused.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	body, err := json.Marshal(leaseBody{TTL: ttl.Milliseconds()})
	if err != nil {
		return Lease{}, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	start := c.settings.Clock.Now()
	r, failure := c.do(ctx, call{
		kind: callGrantLease, method: http.MethodPost, path: "/v1/leases", body: body,
		timeout: c.settings.CallTimeout, write: true,
	})
	if failure != nil {
		return Lease{}, failure
	}
	if r.status != http.StatusOK {
		return Lease{}, unexpectedStatus(r)
	}
	var got leaseBody
	if err := json.Unmarshal(r.body, &got); err != nil || got.ID == "" {
		return Lease{}, fault.New(fault.Internal, fault.RanUnknown).WithDetail("malformed lease")
	}
	return Lease{ID: got.ID, TTL: ttl, Expires: start.Add(ttl)}, nil
}

// RenewLease renews the lease for its TTL and returns it with its new expiry
// time. It fails with fault.NotFound if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, lease Lease) (Lease, error) {
	start := c.settings.Clock.Now()
	if err := c.changeLease(ctx, callRenewLease, http.MethodPut, lease.ID); err != nil {
		return Lease{}, err
	}
	lease.Expires = start.Add(lease.TTL)
	return lease, nil
}

// RevokeLease ends the lease and removes the keys that are attached to it. It
// fails with fault.NotFound if the lease has expired.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	return c.changeLease(ctx, callRevokeLease, http.MethodDelete, id)
}

// changeLease makes a call that renews or revokes the lease.
func (c *Client) changeLease(ctx context.Context, kind callKind, method string, id LeaseID) error {
	r, err := c.do(ctx, call{
		kind: kind, method: method, path: "/v1/leases/" + url.PathEscape(string(id)),
		timeout: c.settings.CallTimeout, write: true,
	})
	switch {
	case err != nil:
		return err
	case r.status == http.StatusNotFound:
		return leaseExpired()
	case r.status != http.StatusOK && r.status != http.StatusNoContent:
		return unexpectedStatus(r)
	}
	return nil
}

func leaseExpired() *fault.Error {
	return fault.New(fault.NotFound, fault.RanNo).WithField("lease").WithDetail("the lease has expired")
}

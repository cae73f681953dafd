package dispatch

import (
	"context"
	"net/http"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/decide/route"
)

// StoreRevision counts the changes of the store. It only rises.
type StoreRevision uint64

// LeaseID identifies a lease in the store.
type LeaseID uint64

// Member is the content of an instance's key in the store.
type Member struct {
	Process    ident.Process
	DataCentre ident.DataCentre
	// Address is where the instance accepts connections from peers.
	Address string
	// Strength bounds the endpoints that the instance can own.
	Strength group.Strength
}

// Ports holds the functions through which a Process reaches external systems,
// reads its settings, decodes the configuration and serves HTTP requests.
type Ports struct {
	Store     Store
	Endpoints Endpoints
	// Settings reads the current settings.
	Settings func() (Settings, error)
	// ParseConfig decodes the content of a configuration.
	ParseConfig func(content []byte) (*route.Table, error)
	// CallerHandler returns the HTTP handler of callers' requests.
	CallerHandler func(*Jobs) http.Handler
	// ReadinessHandler returns the HTTP handler of the load balancer's
	// readiness check. The instance is not ready while ready returns an error.
	ReadinessHandler func(ready func(context.Context) error) http.Handler
}

// Store holds the calls to the platform's store. Errors are *fault.Error.
type Store struct {
	// Operator reads what the operator has written.
	Operator func(ctx context.Context) (OperatorUpdate, error)
	// WatchOperator waits up to wait for what the operator writes after a
	// revision. After an error of kind fault.StoreConflict the whole must be
	// read with Operator.
	WatchOperator func(ctx context.Context, after StoreRevision, wait time.Duration) (OperatorUpdate, error)
	// Endpoints reads the list of endpoints if after is zero, and what has
	// changed after that revision otherwise. Members does the same for the keys
	// of the instances. After an error of kind fault.StoreConflict the whole
	// must be read.
	Endpoints func(ctx context.Context, after StoreRevision) (EndpointUpdate, error)
	Members   func(ctx context.Context, after StoreRevision) (MemberUpdate, error)
	// GrantLease creates a lease that expires ttl after its last renewal.
	GrantLease func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews a lease, and Register writes a key that expires with a
	// lease. They report false when the lease has expired.
	RenewLease func(ctx context.Context, id LeaseID) (bool, error)
	Register   func(ctx context.Context, m Member, id LeaseID) (bool, error)
	// RevokeLease makes a lease expire at once.
	RevokeLease func(ctx context.Context, id LeaseID) error
}

// Endpoints makes calls to endpoints and classifies the answers.
type Endpoints struct {
	Poll  func(ctx context.Context, poll owner.Poll) owner.PollResult
	Start func(ctx context.Context, s owner.Start) owner.CallResult
	Stop  func(ctx context.Context, s owner.Stop) owner.CallResult
}

package dispatch

import (
	"context"
	"net/http"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/decide/route"
)

// StoreRevision counts the changes of the store.
type StoreRevision uint64

// LeaseID names a lease in the store.
type LeaseID uint64

// Member is an instance as it enters itself in the store.
type Member struct {
	Process    ident.Process
	DataCentre ident.DataCentre
	// Address is where it takes connections of peers.
	Address string
}

// Ports are the outside systems of a Process.
type Ports struct {
	Store     Store
	Endpoints Endpoints
	// Settings reads the settings again.
	Settings func() (Settings, error)
	// ParseConfig decodes the content of the configuration.
	ParseConfig func(content []byte) (*route.Table, error)
	// Callers returns the handler of callers' requests.
	Callers func(*Jobs) http.Handler
	// Readiness returns the handler that tells the load balancer whether ready
	// reports a failure.
	Readiness func(ready func(context.Context) error) http.Handler
}

// Store is the platform's store. Failures are *fault.Error.
type Store struct {
	// Config reads the configuration and the store's revision. The content is
	// nil when there is none.
	Config func(ctx context.Context) ([]byte, StoreRevision, error)
	// WatchConfig waits for a newer configuration; the content is nil when none
	// came. A failure of kind fault.StoreConflict asks for Config.
	WatchConfig func(ctx context.Context, after StoreRevision, wait time.Duration) ([]byte, StoreRevision, error)
	// Endpoints reads the list of endpoints.
	Endpoints func(ctx context.Context) ([]owner.Endpoint, error)
	Members   func(ctx context.Context) ([]Member, error)
	Lease     func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Keep and Join report false when the lease has ended.
	Keep    func(ctx context.Context, id LeaseID) (bool, error)
	Join    func(ctx context.Context, m Member, id LeaseID) (bool, error)
	Release func(ctx context.Context, id LeaseID) error
}

// Endpoints makes calls to endpoints and classifies the answers.
type Endpoints struct {
	Look  func(ctx context.Context, l owner.Look) owner.Looked
	Start func(ctx context.Context, s owner.Start) owner.Answered
	Stop  func(ctx context.Context, s owner.Stop) owner.Answered
}

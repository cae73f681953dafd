package endpoint_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/endpoint"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	standin "hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

func endpointID(in work.Instance) ident.EndpointID { return ident.EndpointID(in.ID) }

// TestSilentConnections guards against connections that went silent together
// and then hold up calls to other endpoints, or to the same one over new
// connections.
func TestSilentConnections(t *testing.T) {
	const slots = 48
	is := is.New(t)
	sickClock := &manualClock{}
	sick, sickAt := serveStandIn(t, standin.EndpointSettings{
		Slots: 2 * slots, Connections: 4 * slots, Clock: sickClock,
	})
	sickAt.Slots = slots
	_, healthyAt := serveStandIn(t, standin.EndpointSettings{Slots: 8})
	healthyAt.ID = "worker-2"
	clk := &manualClock{}
	c := newClient(t, endpoint.Settings{Clock: clk})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()

	var stuck []<-chan work.Result
	for i := range slots {
		stuck = append(stuck, start(ctx, c, sickAt, task(i, `{"run-ms": 1}`)))
	}
	eventually(t, "all tasks run", func() bool { return sick.Busy() == slots })
	sick.SetSilence(standin.SilentExisting)

	quick := task(slots, `{"run-ms": 0, "echo": "x"}`)
	is.Equal(string((<-start(ctx, c, healthyAt, quick)).Output), "x")
	status, err := c.Status(ctx, sickAt)
	is.NoErr(err)
	is.Equal(len(status.Running), slots)
	c.Retire(sickAt)
	is.Equal(string((<-start(ctx, c, sickAt, quick)).Output), "x")

	// The stuck tasks end at the endpoint, but no reply arrives.
	sickClock.fire()
	eventually(t, "all tasks end", func() bool { return len(sick.Completions()) == slots+1 })
	is.Equal(c.Stats().Calls, uint64(2))
	clk.fire()
	for _, done := range stuck {
		is.Equal(outcomeOf(<-done), unknown)
	}
	is.Equal(sick.Duplicates(), 0)
	// The connections of the retired transport are closed, not kept.
	eventually(t, "one connection is left", func() bool { return sick.OpenConnections() == 1 })
}

// TestRetire guards against idle connections that stay in use after they were
// retired, and against transports that are kept for endpoints that are gone.
func TestRetire(t *testing.T) {
	is := is.New(t)
	e, in := serveStandIn(t, standin.EndpointSettings{Slots: 8})
	c := newClient(t, endpoint.Settings{})
	quick := func(i int) { is.Equal((<-start(t.Context(), c, in, task(i, `{"run-ms": 1}`))).Failure, nil) }
	quick(0)
	quick(1)
	is.Equal(c.Stats().Dials, uint64(1))
	c.Retire(in)
	quick(2)
	is.Equal(c.Stats().Dials, uint64(2))
	is.Equal(c.Stats().Endpoints, 1)
	c.Forget(in)
	is.Equal(c.Stats().Endpoints, 0)
	eventually(t, "all connections end", func() bool { return e.OpenConnections() == 0 })
}

// TestSilentAll guards against a status call to an endpoint that answers
// nothing, which must end at its limit.
func TestSilentAll(t *testing.T) {
	is := is.New(t)
	e, in := serveStandIn(t, standin.EndpointSettings{Slots: 8})
	clk := &manualClock{}
	c := newClient(t, endpoint.Settings{Clock: clk})
	e.SetSilence(standin.SilentAll)
	done := make(chan error)
	go func() {
		_, err := c.Status(t.Context(), in)
		done <- err
	}()
	eventually(t, "the status call has a connection", func() bool { return e.OpenConnections() == 1 })
	clk.fire()
	is.True(<-done != nil)
	e.SetSilence(standin.SilentNone)
	_, err := c.Status(t.Context(), in)
	is.NoErr(err)
}

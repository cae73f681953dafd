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

func endpointID(instance work.Instance) ident.EndpointID { return ident.EndpointID(instance.ID) }

// TestSilentConnectionsDoNotDelayOtherCalls guards against calls that wait
// because all connections to an endpoint have gone silent, that is, are open
// but transfer nothing any more: calls to other endpoints, and calls to the
// same endpoint over new connections.
func TestSilentConnectionsDoNotDelayOtherCalls(t *testing.T) {
	const slots = 48
	is := is.New(t)
	silentClock := &manualClock{}
	silentEndpoint, silentInstance := serveFakeEndpoint(t, standin.EndpointSettings{
		Slots: 2 * slots, Connections: 4 * slots, Clock: silentClock,
	})
	silentInstance.Slots = slots
	_, healthyInstance := serveFakeEndpoint(t, standin.EndpointSettings{Slots: 8})
	healthyInstance.ID = "worker-2"
	clk := &manualClock{}
	c := newClient(t, endpoint.Settings{Clock: clk})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()

	var silentCalls []<-chan work.Result
	for i := range slots {
		silentCalls = append(silentCalls, runTask(ctx, c, silentInstance, task(i, `{"run-ms": 1}`)))
	}
	eventually(t, "all tasks run", func() bool { return silentEndpoint.Busy() == slots })
	silentEndpoint.SetSilence(standin.SilentExisting)

	quick := task(slots, `{"run-ms": 0, "echo": "x"}`)
	is.Equal(string((<-runTask(ctx, c, healthyInstance, quick)).Output), "x")
	status, err := c.Status(ctx, silentInstance)
	is.NoErr(err)
	is.Equal(len(status.Running), slots)
	c.RetireConnections(silentInstance)
	is.Equal(string((<-runTask(ctx, c, silentInstance, quick)).Output), "x")

	// The tasks finish at the silent endpoint, but no response arrives.
	silentClock.fire()
	eventually(t, "all tasks finish", func() bool { return len(silentEndpoint.Completions()) == slots+1 })
	is.Equal(c.Stats().Calls, uint64(2))
	clk.fire()
	for _, done := range silentCalls {
		is.Equal(outcomeOf(<-done), unknown)
	}
	is.Equal(silentEndpoint.Duplicates(), 0)
	// The connections of the retired transport are closed, not kept.
	eventually(t, "one connection is left", func() bool { return silentEndpoint.OpenConnections() == 1 })
}

// TestRetireAndForget guards against idle connections that are still used after
// RetireConnections, and against transports that are still held after Forget.
func TestRetireAndForget(t *testing.T) {
	is := is.New(t)
	e, instance := serveFakeEndpoint(t, standin.EndpointSettings{Slots: 8})
	c := newClient(t, endpoint.Settings{})
	quick := func(i int) { is.Equal((<-runTask(t.Context(), c, instance, task(i, `{"run-ms": 1}`))).Failure, nil) }
	quick(0)
	quick(1)
	is.Equal(c.Stats().Dials, uint64(1))
	c.RetireConnections(instance)
	quick(2)
	is.Equal(c.Stats().Dials, uint64(2))
	is.Equal(c.Stats().Endpoints, 1)
	c.Forget(instance)
	is.Equal(c.Stats().Endpoints, 0)
	eventually(t, "all connections are closed", func() bool { return e.OpenConnections() == 0 })
}

// TestStatusTimeout guards against a status call that never returns because the
// endpoint does not answer at all.
func TestStatusTimeout(t *testing.T) {
	is := is.New(t)
	e, instance := serveFakeEndpoint(t, standin.EndpointSettings{Slots: 8})
	clk := &manualClock{}
	c := newClient(t, endpoint.Settings{Clock: clk})
	e.SetSilence(standin.SilentAll)
	done := make(chan error)
	go func() {
		_, err := c.Status(t.Context(), instance)
		done <- err
	}()
	eventually(t, "the status call has a connection", func() bool { return e.OpenConnections() == 1 })
	clk.fire()
	is.True(<-done != nil)
	e.SetSilence(standin.SilentNone)
	_, err := c.Status(t.Context(), instance)
	is.NoErr(err)
}

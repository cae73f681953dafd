package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Status is an endpoint's answer to a status call.
type Status struct {
	Slots int
	// Busy is the number of slots in use.
	Busy     int
	Draining bool
	// Running has the ids of the running tasks in the form of
	// ident.TaskID.String.
	Running map[string]bool
}

// statusResponse is the JSON body of a status response.
type statusResponse struct {
	Slots    int      `json:"slots"`
	Busy     int      `json:"busy"`
	Draining bool     `json:"draining"`
	Running  []string `json:"running"`
}

// Status requests the status of an endpoint over a new connection, so that the
// answer does not depend on connections that may have stopped answering. Calls
// to the same endpoint wait for each other. The error has kind
// fault.EndpointUnreachable.
func (c *Client) Status(ctx context.Context, instance work.Instance) (Status, error) {
	c.updateStats(func(s *Stats) { s.StatusCalls++ })
	status, err := c.fetchStatus(ctx, instance)
	if err != nil {
		c.updateStats(func(s *Stats) { s.StatusFailures++ })
		return Status{}, err
	}
	return status, nil
}

func (c *Client) fetchStatus(ctx context.Context, instance work.Instance) (Status, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.settings.Clock.AfterFunc(c.settings.StatusTimeout, func() { cancel(errCallTimeout) })
	defer timer.Stop()

	req, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+instance.Address+"/v1/status", nil)
	if err != nil {
		return Status{}, fault.Wrap(err, fault.EndpointUnreachable, fault.RanNo)
	}
	resp, err := c.statusTransport.RoundTrip(req)
	if err != nil {
		return Status{}, fault.Wrap(err, fault.EndpointUnreachable, fault.RanNo)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatus))
	if err != nil {
		return Status{}, fault.Wrap(err, fault.EndpointUnreachable, fault.RanNo)
	}
	if resp.StatusCode != http.StatusOK {
		return Status{}, fault.New(fault.EndpointUnreachable, fault.RanNo).
			WithDetail("status " + strconv.Itoa(resp.StatusCode))
	}
	var body statusResponse
	if err := json.Unmarshal(data, &body); err != nil {
		return Status{}, fault.Wrap(err, fault.EndpointUnreachable, fault.RanNo)
	}
	status := Status{Slots: body.Slots, Busy: body.Busy, Draining: body.Draining, Running: map[string]bool{}}
	for _, task := range body.Running {
		status.Running[task] = true
	}
	return status, nil
}

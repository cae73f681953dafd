// Package platform holds small stand-ins for the platform, for tests, the demo
// and benchmarks: the Store, and an Endpoint that runs tasks.
//
// Their switches cause the failures that the platform may have. The switches
// are methods, and PUT requests with a JSON body under /stand-in/ for tests of
// separate processes.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// maxBody bounds what a stand-in reads of a request.
const maxBody = 8 << 20

// serve runs the server until ctx ends, then closes it with all connections.
// The server has no timeouts of its own: it must not close a kept connection
// just when a client sends on it.
func serve(ctx context.Context, server *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(err, fault.Internal, fault.RanUnknown)
	}
	return nil
}

// listen opens a TCP listener.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithField("address")
	}
	return l, nil
}

// after returns a channel that is closed once d has passed, and a function that
// releases its timer.
func after(c clock.Clock, d time.Duration) (passed <-chan struct{}, stop func() bool) {
	done := make(chan struct{})
	timer := c.AfterFunc(d, func() { close(done) })
	return done, timer.Stop
}

// readSwitch decodes the JSON body of a switch into v.
func readSwitch(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// boolSwitch handles a switch whose body is true or false.
func boolSwitch(set func(bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v bool
		if readSwitch(w, r, &v) {
			set(v)
		}
	}
}

// intSwitch handles a switch whose body is a whole number.
func intSwitch(set func(int)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v int
		if readSwitch(w, r, &v) {
			set(v)
		}
	}
}

// millisSwitch handles a switch whose body is a number of milliseconds.
func millisSwitch(set func(time.Duration)) http.HandlerFunc {
	return intSwitch(func(ms int) { set(time.Duration(ms) * time.Millisecond) })
}

// writeJSON answers with v.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}

// cutConnection ends the request without a reply and closes its connection.
func cutConnection() { panic(http.ErrAbortHandler) }

// Package platform simulates small parts of the platform, for tests, the demo
// and benchmarks: a Store, and an Endpoint that runs tasks.
//
// A switch sets a value of a running Store or Endpoint, or makes it fail as the
// platform can. Tests in the same process call methods to set switches; tests
// of separate processes send PUT requests with a JSON body to paths under
// /stand-in/.
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

// maxBody is the maximum size of a request body in bytes.
const maxBody = 8 << 20

// serve runs the server until ctx is cancelled, then closes it and all its
// connections. The server sets no timeouts: an idle timeout could close a
// kept-alive connection at the moment when a client sends a request on it.
func serve(ctx context.Context, server *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(err, fault.Internal, fault.RanUnknown)
	}
	return nil
}

// listen opens a TCP listener. Errors have the kind fault.SettingsInvalid.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithField("address")
	}
	return l, nil
}

// after returns a channel that is closed once d has passed, and a function that
// stops the timer.
func after(c clock.Clock, d time.Duration) (passed <-chan struct{}, stop func() bool) {
	done := make(chan struct{})
	timer := c.AfterFunc(d, func() { close(done) })
	return done, timer.Stop
}

// readSwitch decodes the JSON body of a switch request into v. If it cannot, it
// replies with status 400 and returns false.
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

// boolSwitch returns the handler of a switch whose body is true or false.
func boolSwitch(set func(bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v bool
		if readSwitch(w, r, &v) {
			set(v)
		}
	}
}

// intSwitch returns the handler of a switch whose body is an integer.
func intSwitch(set func(int)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v int
		if readSwitch(w, r, &v) {
			set(v)
		}
	}
}

// millisSwitch returns the handler of a switch whose body is an integer number
// of milliseconds.
func millisSwitch(set func(time.Duration)) http.HandlerFunc {
	return intSwitch(func(ms int) { set(time.Duration(ms) * time.Millisecond) })
}

// writeJSON replies with v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}

// abortConnection aborts the request: the server sends no reply and closes the
// connection. It does not return.
func abortConnection() { panic(http.ErrAbortHandler) }

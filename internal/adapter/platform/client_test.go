package platform_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	standin "hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

// TestCompareAndSwap guards against a write that overwrites another writer's
// value, and against a conflict that does not report the current revision.
func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, address := serveStore(t, nil)
	c := newClient(t, address, nil)

	v, err := c.Get(ctx, "granter/penang-1")
	is.NoErr(err)
	is.Equal(v.Revision, uint64(0)) // absent
	first, err := c.Put(ctx, "granter/penang-1", []byte("a"), 0, "")
	is.NoErr(err)
	var conflict *platform.ConflictError
	_, err = c.Put(ctx, "granter/penang-1", []byte("b"), 0, "")
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Revision, first)
	is.Equal(fault.KindOf(err), fault.StoreConflict)
	second, err := c.Put(ctx, "granter/penang-1", nil, first, "")
	is.NoErr(err)
	is.True(second > first)
	v, err = c.Get(ctx, "granter/penang-1")
	is.NoErr(err)
	is.Equal(v, platform.Value{Data: []byte{}, Revision: second})
	is.Equal(fault.KindOf(c.Delete(ctx, "granter/penang-1", first)), fault.StoreConflict)
	is.NoErr(c.Delete(ctx, "granter/penang-1", second))
	_, err = c.Put(ctx, "large", make([]byte, 1<<20+1), 0, "")
	is.Equal(fault.KindOf(err), fault.TooLarge)
	s := c.Stats()
	is.Equal(s.Calls, map[string]uint64{"get": 2, "put": 4, "delete": 2})
	is.Equal(s.Conflicts, uint64(2))
}

// TestFailureKinds guards against a write that is reported as not made although
// the platform may have made it.
func TestFailureKinds(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	cases := map[string]struct {
		handler     http.HandlerFunc
		get, put    fault.Kind
		closeServer bool
	}{
		"refused connection": {nil, fault.StoreUnavailable, fault.StoreUnavailable, true},
		"aborted reply": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			fault.StoreUnavailable, fault.StoreUnknown, false},
		"unavailable":       {status(503), fault.StoreUnavailable, fault.StoreUnavailable, false},
		"bad gateway":       {status(502), fault.StoreUnavailable, fault.StoreUnknown, false},
		"too many requests": {status(429), fault.StoreUnavailable, fault.StoreUnavailable, false},
		"bad request":       {status(400), fault.BadField, fault.BadField, false},
		"no ETag":           {status(200), fault.Internal, fault.StoreUnknown, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			if c.closeServer {
				server.Close()
			}
			client := newClient(t, server.Listener.Addr().String(), nil)
			_, err := client.Get(t.Context(), "k")
			is.Equal(fault.KindOf(err), c.get)
			_, err = client.Put(t.Context(), "k", []byte("a"), 0, "")
			is.Equal(fault.KindOf(err), c.put)
			is.Equal(fault.From(err).Ran == fault.RanUnknown, c.put == fault.StoreUnknown)
		})
	}
}

// TestCallTimeout guards against a call that never returns because the platform
// does not reply, and against a cancelled context that counts as a failure of
// the platform and so helps to open the breaker.
func TestCallTimeout(t *testing.T) {
	is := is.New(t)
	clk := newManualClock()
	store, address := serveStore(t, clk)
	c := newClient(t, address, clk)
	store.SetDelay(time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	put := func(key string) {
		_, err := c.Put(ctx, key, []byte("a"), 0, "")
		done <- err
	}
	go put("a")
	eventually(t, "the write is made", func() bool { return store.Calls()["put"] == 1 })
	clk.advance(time.Minute)
	is.Equal(fault.KindOf(<-done), fault.StoreUnknown)
	is.Equal(c.Stats().Failures, uint64(1))
	go put("b")
	eventually(t, "the write is made", func() bool { return store.Calls()["put"] == 2 })
	cancel()
	is.Equal(fault.KindOf(<-done), fault.StoreUnknown)
	is.Equal(c.Stats().Failures, uint64(1))
	is.Equal(c.Stats().Abandoned, uint64(1))
}

// TestTimeoutClosesIdleConnections guards against idle connections that have
// all stopped answering, so that one call after the other times out on them.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	clk := newManualClock()
	store, address := serveStore(t, clk)
	dials := make(chan string, 10)
	c, err := platform.New(platform.Settings{
		Address: address, Clock: clk,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials <- address
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	})
	is.NoErr(err)
	defer c.Close()
	done := make(chan error)
	store.SetDelay(time.Second)
	get := func() {
		_, err := c.Get(t.Context(), "k")
		done <- err
	}
	go get()
	go get()
	// A waiting call has two timers: its timeout and the store's delay.
	eventually(t, "both calls wait", func() bool { return clk.pending() == 4 })
	clk.advance(time.Second)
	is.NoErr(<-done)
	is.NoErr(<-done)
	is.Equal(len(dials), 2)
	store.SetDelay(time.Hour)
	go get()
	eventually(t, "the call waits", func() bool { return clk.pending() == 2 })
	clk.advance(2 * time.Second)
	is.Equal(fault.KindOf(<-done), fault.StoreUnavailable)
	store.SetDelay(0)
	go get()
	is.NoErr(<-done)
	is.Equal(len(dials), 3) // the idle connection was not used
}

// TestBreaker guards against a breaker that lets all calls pass during an
// outage, and against one that does not close after it.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	clk := newManualClock()
	store, address := serveStore(t, clk)
	c := newClient(t, address, clk)
	get := func() error {
		_, err := c.Get(ctx, "k")
		return err
	}
	store.SetDown(true)
	for range 8 {
		is.Equal(fault.KindOf(get()), fault.StoreUnavailable)
	}
	is.Equal(store.Calls()["get"], 5)
	is.Equal(c.Stats().Breaker, platform.BreakerOpen)
	store.SetDown(false)
	clk.advance(10 * time.Second)
	is.NoErr(get())
	is.Equal(c.Stats().Breaker, platform.BreakerClosed)
	for range 19 {
		is.NoErr(get())
	}
	is.Equal(fault.KindOf(get()), fault.BudgetExhausted)
	is.Equal(c.Stats().Unbudgeted, uint64(1))
	is.Equal(c.Stats().Blocked, uint64(3))
}

// TestWatch guards against a watch that misses a change or a deletion, and
// against one that returns when nothing changed.
func TestWatch(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	clk := newManualClock()
	store, address := serveStore(t, clk)
	c := newClient(t, address, clk)
	type change struct {
		value platform.Value
		err   error
	}
	done := make(chan change)
	watches := 0
	watch := func(after uint64) {
		watches++
		go func() {
			v, err := c.Watch(ctx, "k", after, time.Minute)
			done <- change{v, err}
		}()
		eventually(t, "the watch waits", func() bool { return store.Calls()["watch"] == watches })
	}

	watch(0)
	_, err := c.Put(ctx, "other", []byte("x"), 0, "")
	is.NoErr(err)
	first, err := c.Put(ctx, "k", []byte("a"), 0, "")
	is.NoErr(err)
	is.Equal(<-done, change{platform.Value{Data: []byte("a"), Revision: first}, nil})
	watch(first)
	is.NoErr(c.Delete(ctx, "k", first))
	is.Equal(<-done, change{}) // absent
	watch(0)
	// The timers of the store's wait and of the client's longer timeout are
	// both set, so that advancing the clock by the wait ends only the wait.
	eventually(t, "both timers are set", func() bool { return clk.pending() == 2 })
	clk.advance(time.Minute)
	is.Equal(<-done, change{})
	watch(0)
	store.SetDown(true)
	is.Equal(fault.KindOf((<-done).err), fault.StoreUnavailable)
	is.Equal(c.Stats().Calls["watch"], uint64(4)) // one call each
}

// TestLease guards against keys that are not removed when their lease expires
// or is revoked, and against a client whose lease expires later than in the
// store.
func TestLease(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	clk := newManualClock()
	_, address := serveStore(t, clk)
	c := newClient(t, address, clk)
	start := clk.Now()
	lease, err := c.GrantLease(ctx, 30*time.Second)
	is.NoErr(err)
	is.Equal(lease.Expires, start.Add(30*time.Second))
	revision, err := c.Put(ctx, "granter/penang-1", []byte("a"), 0, lease.ID)
	is.NoErr(err)
	clk.advance(20 * time.Second)
	lease, err = c.RenewLease(ctx, lease)
	is.NoErr(err)
	is.Equal(lease.Expires, start.Add(50*time.Second))
	clk.advance(29 * time.Second)
	v, err := c.Get(ctx, "granter/penang-1")
	is.NoErr(err)
	is.Equal(v.Revision, revision)
	clk.advance(time.Second)
	v, err = c.Get(ctx, "granter/penang-1")
	is.NoErr(err)
	is.Equal(v.Revision, uint64(0))
	_, err = c.RenewLease(ctx, lease)
	is.Equal(fault.KindOf(err), fault.NotFound)
	_, err = c.Put(ctx, "granter/penang-1", []byte("a"), 0, lease.ID)
	is.Equal(fault.KindOf(err), fault.NotFound)

	lease, err = c.GrantLease(ctx, time.Second)
	is.NoErr(err)
	_, err = c.Put(ctx, "granter/penang-1", []byte("b"), 0, lease.ID)
	is.NoErr(err)
	is.NoErr(c.RevokeLease(ctx, lease.ID))
	v, err = c.Get(ctx, "granter/penang-1")
	is.NoErr(err)
	is.Equal(v.Revision, uint64(0))
}

// TestInstances guards against rows that change when they are encoded and
// decoded, against a fake store without the list's lag, and against an invalid
// row that is accepted.
func TestInstances(t *testing.T) {
	is := is.New(t)
	clk := newManualClock()
	store, address := serveStore(t, clk)
	store.SetListLag(3 * time.Second)
	c := newClient(t, address, clk)
	list := []work.Instance{
		{ID: "entry-1", Kind: work.KindEntry, DataCentre: "penang-1", Address: "127.0.0.1:1", Incarnation: 1<<64 - 1},
		{ID: "worker-1", Kind: work.KindEndpoint, Leaving: true, Service: "render", Slots: 8, Connections: 64},
	}
	store.SetInstances(list)
	got, err := c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(got, list)
	store.SetInstances(list[:1])
	clk.advance(2 * time.Second)
	got, err = c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(got), 2)
	clk.advance(time.Second)
	got, err = c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(got, list[:1])
	_, err = platform.DecodeInstances([]byte(`[{"id":"x","kind":"entry","incarnation":"1","state":"gone"}]`))
	is.Equal(fault.From(err).Field, "instances[0].state")
}

// TestOddRowHidesNoInstances guards against a row of another writer that keeps
// the whole list from being read, or that is used, and against an instance that
// seems to have left because its row has become invalid.
func TestOddRowHidesNoInstances(t *testing.T) {
	const first, second = `{"id":"e-1","kind":"endpoint","incarnation":"1","state":"live","slots":8}`, `{"id":"e-2","kind":"endpoint","incarnation":"2","state":"live","slots":8}`
	nested := strings.Repeat("[", 5000) + strings.Repeat("]", 5000)
	tests := map[string]struct{ old, with string }{
		"number too large":   {`8`, `99999999999999999999`},
		"slots out of range": {`8`, `9223372036854775807`},
		"negative slots":     {`8`, `-1`},
		"fraction":           {`8`, `1e400`},
		"nested":             {`8`, nested},
		"other type":         {`"2"`, `2`},
		"incarnation":        {`"2"`, `"x"`},
		"kind":               {`"endpoint"`, `"x"`},
		"state":              {`"live"`, `"gone"`},
		"no id":              {`"e-2"`, `""`},
		"no object":          {second, `7`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			odd := strings.Replace(second, tt.old, tt.with, 1)
			body := "[" + odd + "," + first + "]"
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
			defer server.Close()
			c := newClient(t, server.Listener.Addr().String(), nil)
			got, err := c.Instances(t.Context())
			is.NoErr(err)
			is.Equal(len(got), 1)
			is.Equal(got[0].ID, "e-1")
			is.True(c.Stats().InvalidRow != "")
			body = "[" + first + "," + second + "]"
			got, err = c.Instances(t.Context())
			is.NoErr(err)
			is.Equal(len(got), 2)
			is.Equal(c.Stats().InvalidRow, "")
			body = "[" + first + "," + odd + "]"
			got, err = c.Instances(t.Context())
			is.NoErr(err)
			if name != "no id" && name != "no object" { // else nothing says whose row it is
				is.Equal(len(got), 2)
				is.Equal(got[1].Slots, 8)
			}
		})
	}
}

// TestInstancesUnchanged guards against an unchanged list that is sent again
// with every read, and against a changed list that is not sent.
func TestInstancesUnchanged(t *testing.T) {
	is := is.New(t)
	clk := newManualClock()
	store := standin.NewStore(standin.StoreSettings{Clock: clk})
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := httptest.NewRecorder()
		store.Handler().ServeHTTP(got, r)
		statuses = append(statuses, got.Code)
		w.Header().Set("ETag", got.Header().Get("ETag"))
		w.WriteHeader(got.Code)
		_, _ = w.Write(got.Body.Bytes())
	}))
	defer server.Close()
	c := newClient(t, server.Listener.Addr().String(), clk)
	list := []work.Instance{{ID: "entry-1", Kind: work.KindEntry, DataCentre: "penang-1", Address: "127.0.0.1:1"}}
	for range 2 {
		store.SetInstances(list)
		for range 2 {
			got, err := c.Instances(t.Context())
			is.NoErr(err)
			is.Equal(got, list)
		}
		list = append(list, work.Instance{ID: "entry-2", Kind: work.KindEntry, DataCentre: "penang-1", Address: "127.0.0.1:2"})
	}
	is.Equal(statuses, []int{200, 304, 200, 304})
}

// TestReadNotRetriedByTransport guards against a read that the HTTP transport
// retries because a kept-alive connection broke, which would bypass the call
// budget.
func TestReadNotRetriedByTransport(t *testing.T) {
	is := is.New(t)
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		io.Copy(io.Discard, r.Body)
		if calls > 1 {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			return
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	c := newClient(t, server.Listener.Addr().String(), nil)
	_, err := c.Get(t.Context(), "k")
	is.NoErr(err)
	_, err = c.Get(t.Context(), "k")
	is.Equal(fault.KindOf(err), fault.StoreUnavailable)
	server.Close()
	is.Equal(calls, 2)
}

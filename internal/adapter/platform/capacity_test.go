package platform_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	standin "hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

// BenchmarkCapacityListRead measures the decoding of the platform's list and
// reports its size in JSON, plain and compressed.
func BenchmarkCapacityListRead(b *testing.B) {
	for _, n := range []int{214, 850} {
		b.Run(fmt.Sprint("rows=", n), func(b *testing.B) {
			rows := listRows(n)
			data, err := platform.EncodeInstances(rows)
			if err != nil {
				b.Fatal(err)
			}
			var compressed bytes.Buffer
			w := gzip.NewWriter(&compressed)
			if _, err := w.Write(data); err != nil {
				b.Fatal(err)
			}
			if err := w.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := platform.DecodeInstances(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/list")
			b.ReportMetric(float64(compressed.Len()), "B/list-gzip")
		})
	}
}

// listRows returns n endpoints with the names and addresses of a large fleet.
func listRows(n int) []work.Instance {
	var rows []work.Instance
	for i := range n {
		rows = append(rows, work.Instance{ID: fmt.Sprintf("worker-%04d", i), Kind: work.KindEndpoint,
			DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%7)), Address: fmt.Sprintf("10.30.%d.%d:7500", i/200, i%200),
			Incarnation: ident.Incarnation(0x019ae3f40a7c0000 + i*7919),
			Service:     ident.Service(fmt.Sprintf("sheet-render-%02d", i/7%20)), Slots: 8, Connections: 64})
	}
	return rows
}

// countingConn counts the bytes that a connection transfers in both directions.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// BenchmarkCapacityListUnchanged measures the time of a read of an unchanged
// list, and the bytes that it transfers in both directions, without TCP
// headers.
func BenchmarkCapacityListUnchanged(b *testing.B) {
	clk := newManualClock()
	store := standin.NewStore(standin.StoreSettings{Clock: clk})
	store.SetInstances(listRows(850))
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	var transferred atomic.Int64
	c, err := platform.New(platform.Settings{Address: server.Listener.Addr().String(), Clock: clk,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &transferred}, err
		}})
	if err != nil {
		b.Fatal(err)
	}
	read := func() {
		clk.advance(time.Second)
		if rows, err := c.Instances(b.Context()); err != nil || len(rows) != 850 {
			b.Fatalf("%d rows: %v", len(rows), err)
		}
	}
	read()
	before := transferred.Load()
	for b.Loop() {
		read()
	}
	b.ReportMetric(float64(transferred.Load()-before)/float64(b.N), "B/read")
}

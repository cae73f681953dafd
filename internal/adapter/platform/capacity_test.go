package platform_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// BenchmarkCapacityListRead measures the decoding of the platform's list and
// reports its size on the wire, plain and compressed.
func BenchmarkCapacityListRead(b *testing.B) {
	for _, n := range []int{214, 850} {
		b.Run(fmt.Sprint("rows=", n), func(b *testing.B) {
			var rows []work.Instance
			for i := range n {
				rows = append(rows, work.Instance{ID: fmt.Sprintf("worker-%04d", i), Kind: work.KindEndpoint,
					DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%7)), Address: fmt.Sprintf("10.30.%d.%d:7500", i/200, i%200),
					Incarnation: ident.Incarnation(0x019ae3f40a7c0000 + i*7919),
					Service:     ident.Service(fmt.Sprintf("sheet-render-%02d", i/7%20)), Slots: 8, Connections: 64})
			}
			data, err := platform.EncodeInstances(rows)
			if err != nil {
				b.Fatal(err)
			}
			var packed bytes.Buffer
			w := gzip.NewWriter(&packed)
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
			b.ReportMetric(float64(packed.Len()), "B/list-gzip")
		})
	}
}

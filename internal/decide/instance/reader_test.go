package instance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// TestReaderLosesStore guards against a data centre that gets no new
// configuration because its store reader can't reach the store, and against
// instances that go on reading after the reader has recovered.
func TestReaderLosesStore(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 3, 1)
	f.advance(3 * time.Second)
	readers := func() (all []*simInstance) {
		for _, n := range f.instances {
			if n.reading {
				all = append(all, n)
			}
		}
		return all
	}
	is.Equal(len(readers()), 1)
	reader := readers()[0]
	reader.storeUnreachable = true
	f.apply(f.revision.File)
	f.advance(15 * time.Second)
	for _, n := range f.instances {
		is.Equal(n.revision, ident.Revision(f.revision.Revision))
	}
	is.Equal(len(readers()), 3)
	reader.storeUnreachable = false
	f.advance(5 * time.Second)
	is.Equal(len(readers()), 1)
}

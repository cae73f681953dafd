package instance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// TestReaderWithoutStore guards against a data centre that gets no new
// configuration because the one instance that reads for it can't reach the
// store, and against all instances reading for good afterwards.
func TestReaderWithoutStore(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 3, 1)
	f.run(3 * time.Second)
	readers := func() (all []*node) {
		for _, n := range f.nodes {
			if n.reading {
				all = append(all, n)
			}
		}
		return all
	}
	is.Equal(len(readers()), 1)
	reader := readers()[0]
	reader.storeless = true
	f.apply(f.revision.File)
	f.run(15 * time.Second)
	for _, n := range f.nodes {
		is.Equal(n.revision, ident.Revision(f.revision.Revision))
	}
	is.Equal(len(readers()), 3)
	reader.storeless = false
	f.run(5 * time.Second)
	is.Equal(len(readers()), 1)
}

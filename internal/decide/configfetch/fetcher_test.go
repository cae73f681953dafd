package configfetch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/configfetch"
)

// TestOnePeerIsAsked guards against a large configuration that all peers send
// to an instance which cannot read the store, and against an instance that
// stays behind because the peer that it has asked does not answer.
func TestOnePeerIsAsked(t *testing.T) {
	is := is.New(t)
	var f configfetch.Fetcher
	now := time.Unix(1_800_000_000, 0)
	asked := 0
	observe := func(own uint64, d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(5 * time.Millisecond) {
			if f.Observe(now, own, 8) { // a heartbeat of one of many peers
				asked++
			}
		}
	}
	observe(8, time.Second)
	is.Equal(asked, 0)
	observe(7, 300*time.Millisecond)
	is.Equal(asked, 0) // the store may be about to answer
	observe(7, 200*time.Millisecond)
	is.Equal(asked, 1)
	observe(7, time.Second)
	is.Equal(asked, 3) // the first peers did not answer
	observe(8, time.Second)
	is.Equal(asked, 3)
	is.True(!f.Observe(now, 7, 7)) // a peer that is behind as well
}

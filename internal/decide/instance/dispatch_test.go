package instance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSendToFasterPeer guards against an instance that runs its tasks on slow
// endpoints while a peer of the data centre has fast ones free, and against one
// that sends its tasks to a slower peer.
func TestSendToFasterPeer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1, 2, 6)
	f.advance(2 * time.Second)
	slow, fast := f.instances[0], f.instances[1]
	for _, e := range f.endpoints {
		e.speed = 1
	}
	for _, sv := range slow.core.Status(f.now).Services {
		is.True(len(sv.Endpoints) > 0)
		for _, row := range sv.Endpoints {
			for _, e := range f.endpoints {
				if e.row.ID == string(row.Endpoint) {
					e.speed = 0.1
				}
			}
		}
	}
	const warmUp, n = 40, 40
	var before uint64
	for i := range warmUp + n {
		if i == warmUp {
			before = slow.core.Counters().Delegated
		}
		for _, in := range f.instances {
			f.submit(in, f.newSubmission(in, sheetRender, "studio", 1, time.Minute))
		}
		f.advance(200 * time.Millisecond)
	}
	is.True(slow.core.Counters().Delegated-before > n*9/10)
	is.Equal(fast.core.Counters().Delegated, uint64(0))
}

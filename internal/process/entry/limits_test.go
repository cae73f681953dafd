package entry_test

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
	"hornbeamlift.example/hornbeamlift/internal/process/entry"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
)

const limitsConfig = `
services:
  - name: sheet-press
    expected-run-time: 50ms
    cost-per-slot-second-micros: 1000
teams:
  - name: studio
    max-running: 3
    floor-share: 1
  - name: shop
    max-cost-per-hour-micros: 10
`

// TestProcessLimits guards against a process whose core gets no limits from the
// configuration, whose reads and writes of the record of shares are not carried
// out, or whose refusals do not reach the caller. Such processes, here on
// loopback, exceed a limit, never write the record of shares, or accept a job
// that can never start.
func TestProcessLimits(t *testing.T) {
	is := is.New(t)
	cfg := fleet.Config{}
	for i := range 2 {
		n := strconv.Itoa(i)
		cfg.Instances = append(cfg.Instances, fleet.Instance{ID: ident.InstanceID("entry-" + n), DataCentre: "dc-1"})
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{
			ID: ident.EndpointID("worker-" + n), DataCentre: "dc-1", Service: "sheet-press", RunTime: 50 * time.Millisecond})
	}
	f, err := fleet.Start(cfg)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer f.Close()
	defer cancel()
	_, err = f.Apply(ctx, []byte(limitsConfig))
	is.NoErr(err)
	is.NoErr(f.Ready(ctx))

	maxBusy := make(chan int, 1)
	done := make(chan struct{})
	go func() {
		var seen []int
		for ; ; time.Sleep(time.Millisecond) {
			busy := 0
			for _, e := range f.Endpoints {
				busy += e.Busy()
			}
			seen = append(seen, busy)
			select {
			case <-done:
				maxBusy <- slices.Max(seen)
				return
			default:
			}
		}
	}()
	job := caller.Call{Service: "sheet-press", Team: "studio", Deadline: 8 * time.Second}
	for range 40 {
		job.Tasks = append(job.Tasks, caller.Task{Input: []byte(`{}`)})
	}
	a, err := f.Instances["entry-0"].Client.Job(ctx, job)
	is.NoErr(err)
	is.Equal(a.State, work.Complete)
	close(done)
	n := <-maxBusy
	is.Equal(n, 3) // one instance may run two tasks without the store, the other one

	store, err := platform.New(platform.Settings{Address: f.StoreAddress})
	is.NoErr(err)
	defer store.Close()
	v, err := store.Get(ctx, entry.SharesKey)
	is.NoErr(err)
	record, err := quota.ParseRecord(v.Data)
	is.NoErr(err)
	is.True(record.DataCentres["dc-1"].Granter != "")

	job.Team, job.Tasks = "shop", job.Tasks[:1]
	_, err = f.Instances["entry-1"].Client.Job(ctx, job)
	is.Equal(fault.KindOf(err), fault.Unplaceable)
	is.NoErr(f.Err())
}

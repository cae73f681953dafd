package main

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// TestDrain guards G7 and G4: on SIGTERM no request in flight is cut off, with
// tasks queued and a kept connection idle; readiness fails before the first
// refusal; refused submissions start nothing and say when to try again; the
// endpoints move to the peer and the exit status is 0.
func TestDrain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := startProcesses(t)
	p.apply(p.fileOf(1))
	resp, err := http.Get("http://" + p.entries["entry-1"].caller + "/")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body) // the connection stays open and idle
	is.NoErr(err)
	is.NoErr(resp.Body.Close())

	const n = 600
	refused := p.newID("entry-1")
	home := p.newID("entry-1")
	jobs := []<-chan answered{p.submit("entry-1", pressJob(home, n)), p.submit("entry-2", pressJob(p.newID("entry-1"), n))}
	for range 20 {
		jobs = append(jobs, p.submit("entry-1", pressJob(p.newID("entry-1"), 1)))
	}
	p.wait("the job to be under way", func() bool { return len(p.starts(home)) > 20 })
	p.signal("entry-1", syscall.SIGTERM)
	p.wait("ids to be refused", func() bool {
		_, err := p.entries["entry-1"].client.IDs(ctx, 1)
		return fault.KindOf(err) == fault.Draining
	})
	is.True(!p.ready("entry-1")) // readiness fails no later than the first refusal
	_, err = p.entries["entry-1"].client.Job(ctx, pressJob(refused, 3))
	f := fault.From(err)
	is.Equal(f.Kind, fault.Draining)
	is.Equal(f.Ran, fault.RanNo)
	is.True(f.RetryAfter > 0)
	is.True(len(p.starts(home)) < n) // the refusal came with work under way
	p.wait("the endpoints to move", func() bool { return p.owned("entry-2") == 2 })
	p.serves("entry-2")
	for _, j := range jobs {
		got := <-j
		is.NoErr(got.err)
		is.Equal(got.answer.State, work.Complete)
	}
	is.NoErr(p.entries["entry-1"].cmd.Wait())
	starts := p.starts(home)
	is.Equal(len(starts), n)
	p.onceEach(home, starts)
	is.Equal(len(p.starts(refused)), 0)
	p.serves("entry-2")
}

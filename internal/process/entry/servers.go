package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

// shutdownTimeout bounds the wait for responses that are being written when the
// process ends.
const shutdownTimeout = 5 * time.Second

// addServer adds an HTTP server to the group. An interrupt waits up to
// shutdownTimeout for responses that are being written.
func (p *Process) addServer(g *run.Group, s *http.Server, address string) {
	g.Add(func() error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithDetail("cannot listen on " + address)
		}
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
			return fault.Wrap(err, fault.Internal, fault.RanUnknown)
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
}

// callerServer returns the server of callers' requests.
func (p *Process) callerServer() *http.Server {
	h := &caller.Handler{
		Clock:    p.cfg.Clock,
		Limits:   caller.Limits{}.Defaults(),
		IssueIDs: p.issueIDs,
		Submit:   p.submit,
		Fetch:    p.fetch,
		Cancel:   p.cancel,
		NextID:   p.nextID,
	}
	return h.Server(p.cfg.CallerAddress)
}

// operatorServer returns the server of status, metrics and health checks for
// operators.
func (p *Process) operatorServer() *http.Server {
	h := &operator.Handler{
		Metrics: p.metrics,
		Token:   p.cfg.Token,
		Ready:   p.readiness,
		Status:  func() any { return p.status.Load() },
	}
	return h.Server(p.cfg.OperatorAddress)
}

// readiness returns nil when the instance accepts submissions, and else why
// not.
func (p *Process) readiness() error {
	switch {
	case p.draining.Load():
		return fault.New(fault.Draining, fault.RanNo)
	case !p.ready.Load():
		return fault.New(fault.ConfigMissing, fault.RanNo)
	}
	return nil
}

func (p *Process) issueIDs(ctx context.Context, n int) ([]ident.SubmissionID, error) {
	r, err := p.ask(ctx, func(ref instance.RequestRef) instance.Event { return instance.IssueIDs{Ref: ref, Count: n} })
	return r.IDs, err
}

// submit passes a submission to the loop. If the caller gave a key of its own,
// the submission first gets the id that the key is bound to.
func (p *Process) submit(ctx context.Context, in caller.Request) (work.Answer, error) {
	if in.Key != "" {
		id, err := p.claims.resolve(ctx, in.Submission.Team, in.Key)
		if err != nil {
			return work.Answer{}, err
		}
		in.Submission.ID = id
	}
	r, err := p.ask(ctx, func(ref instance.RequestRef) instance.Event {
		return instance.Submit{Ref: ref, Submission: in.Submission, Digest: in.Digest}
	})
	return r.Answer, err
}

func (p *Process) fetch(ctx context.Context, id ident.SubmissionID) (work.Answer, error) {
	r, err := p.ask(ctx, func(ref instance.RequestRef) instance.Event { return instance.Fetch{Ref: ref, ID: id} })
	return r.Answer, err
}

func (p *Process) cancel(ctx context.Context, id ident.SubmissionID) (work.Answer, error) {
	r, err := p.ask(ctx, func(ref instance.RequestRef) instance.Event { return instance.Cancel{Ref: ref, ID: id} })
	return r.Answer, err
}

// nextID returns an id for the caller's next submission, or the zero id when
// the pool is empty.
func (p *Process) nextID() ident.SubmissionID {
	select {
	case id := <-p.ids:
		return id
	default:
		return ident.SubmissionID{}
	}
}

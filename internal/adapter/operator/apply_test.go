package operator_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// eager is a clock whose timers fire at once, so that waits take no time.
type eager struct{ clock.System }

func (eager) Now() time.Time { return time.UnixMilli(1_700_000_000_000) }

func (eager) AfterFunc(_ time.Duration, f func()) clock.Timer {
	return clock.System{}.AfterFunc(0, f)
}

// store holds one value. lose tells what happens to the next writes: "" none
// is lost, "reply" takes effect and loses its reply, "write" is lost itself,
// "late" takes effect only after two further reads.
type store struct {
	data     []byte
	revision uint64
	lose     string
	reads    int
	late     func()
	down     bool
}

func (s *store) get(context.Context, string) ([]byte, uint64, error) {
	if s.down {
		return nil, 0, fault.New(fault.StoreUnavailable, fault.RanNo)
	}
	if s.reads++; s.late != nil && s.reads > 2 {
		s.late()
	}
	return s.data, s.revision, nil
}

func (s *store) put(_ context.Context, key string, data []byte, ifRevision uint64) (uint64, error) {
	write := func() { s.data, s.revision, s.late = data, s.revision+1, nil }
	switch {
	case key != "config" || ifRevision != s.revision:
		return 0, fault.New(fault.StoreConflict, fault.RanNo)
	case s.lose == "reply":
		write()
	case s.lose == "late":
		s.reads, s.late = 0, write
	case s.lose == "":
		write()
		return s.revision, nil
	}
	return 0, fault.New(fault.StoreUnknown, fault.RanUnknown)
}

func (s *store) applier(prefix string) *operator.Applier {
	n := 0
	newID := func() string { n++; return prefix + strconv.Itoa(n) }
	return &operator.Applier{Get: s.get, Put: s.put, Clock: eager{}, NewID: newID}
}

func file(maxRunning uint32) *configpb.File {
	return &configpb.File{Services: []*configpb.Service{{Name: "press", MaxRunning: maxRunning}}}
}

// TestApplyTwoOperators guards against a second operator who overwrites the
// first one unseen, or is not told who won.
func TestApplyTwoOperators(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &store{}
	ana, ben := s.applier("a"), s.applier("b")
	planA, err := ana.Plan(ctx, file(1), "ana")
	is.NoErr(err)
	planB, err := ben.Plan(ctx, file(2), "ben")
	is.NoErr(err)
	is.NoErr(ana.Apply(ctx, planA))
	err = ben.Apply(ctx, planB)
	is.Equal(fault.KindOf(err), fault.ApplyConflict)
	is.True(strings.Contains(err.Error(), `operator "ana" applied revision 1`))
	is.Equal(fault.From(err).Ran, fault.RanNo)

	planB, err = ben.Plan(ctx, file(2), "ben")
	is.NoErr(err)
	is.Equal(planB.Changes, []string{"services[press].max-running: 1 -> 2"})
	is.NoErr(ben.Apply(ctx, planB))
	rev, err := config.Unmarshal(s.data)
	is.NoErr(err)
	is.Equal(rev.GetRevision(), uint64(2))
	is.Equal(rev.GetRecentApplyIds(), []string{"b2", "a1"})
}

// TestApplyLostReply guards against an apply that is reported as lost although
// it took effect, or as done although it did not.
func TestApplyLostReply(t *testing.T) {
	cases := map[string]struct {
		lose  string
		after func(*store) // happens between the write and the read back
		kind  fault.Kind
	}{
		"took effect":                {"reply", nil, ""},
		"took effect, then another":  {"reply", func(s *store) { other(s) }, ""},
		"did not take effect":        {"write", nil, fault.StoreUnknown},
		"another came first":         {"write", func(s *store) { other(s) }, fault.ApplyConflict},
		"takes effect while waiting": {"late", nil, ""},
		"store goes down":            {"reply", func(s *store) { s.down = true }, fault.StoreUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			s := &store{lose: c.lose}
			a := s.applier("a")
			plan, err := a.Plan(ctx, file(1), "ana")
			is.NoErr(err)
			put := a.Put
			a.Put = func(ctx context.Context, key string, data []byte, ifRevision uint64) (uint64, error) {
				revision, err := put(ctx, key, data, ifRevision)
				if c.after != nil {
					c.after(s)
				}
				return revision, err
			}
			err = a.Apply(ctx, plan)
			is.Equal(fault.KindOf(err), c.kind)
			if c.kind == fault.StoreUnknown {
				is.Equal(fault.From(err).Ran, fault.RanUnknown)
			}
		})
	}
}

// other applies another operator's file without losses.
func other(s *store) {
	lose := s.lose
	s.lose = ""
	b := s.applier("b")
	plan, err := b.Plan(context.Background(), file(9), "ben")
	if err == nil {
		err = b.Apply(context.Background(), plan)
	}
	if err != nil {
		panic(err)
	}
	s.lose = lose
}

// TestApplyRepeatedWrite guards against a conflict with the apply's own first
// write, which a store client repeated after it lost the reply.
func TestApplyRepeatedWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &store{}
	a := s.applier("a")
	put := a.Put
	a.Put = func(ctx context.Context, key string, data []byte, ifRevision uint64) (uint64, error) {
		_, err := put(ctx, key, data, ifRevision)
		is.NoErr(err)
		return put(ctx, key, data, ifRevision)
	}
	plan, err := a.Plan(ctx, file(1), "ana")
	is.NoErr(err)
	is.NoErr(a.Apply(ctx, plan))
}

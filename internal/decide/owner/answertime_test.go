package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// TestAnswerTime guards against lost answers that hold up tasks far longer than
// answers take, and against answers that are given up though they come.
func TestAnswerTime(t *testing.T) {
	defaults := owner.Config{}.Defaults()
	tests := map[string]struct {
		took  []time.Duration
		least time.Duration
		most  time.Duration
	}{
		"nothing known": {nil, defaults.AnswerMax, defaults.AnswerMax},
		"near":          {[]time.Duration{2 * time.Millisecond}, defaults.AnswerMin, defaults.AnswerMin},
		"far":           {[]time.Duration{45 * time.Millisecond}, 45 * time.Millisecond, defaults.AnswerMax},
		"slow process":  {[]time.Duration{2 * time.Millisecond, 30 * time.Millisecond}, 60 * time.Millisecond, defaults.AnswerMax},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 1)
			for i := range 60 {
				if len(tt.took) == 0 {
					break
				}
				b.place(home1, order(fmt.Sprint("j-", i), 1, 10_000))
				start := b.starts[0]
				b.starts = nil
				b.now = b.now.Add(tt.took[i%len(tt.took)])
				a := b.endpoints["e-0"].Start(b.now, start)
				b.take(b.pool.Answered(b.now, &a))
				b.pass(150 * time.Millisecond)
				b.lookAll()
				b.pass(time.Second)
				b.lookAll()
			}
			b.starts = nil
			b.place(home1, order("last", 1, 10_000))
			is.True(len(b.starts) == 1)

			is.True(b.starts[0].Timeout >= tt.least)
			is.True(b.starts[0].Timeout <= tt.most)
		})
	}
}

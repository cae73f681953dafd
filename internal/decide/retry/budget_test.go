package retry_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/retry"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) { rapidseed.Run(m, map[string]string{"rapid.seed": "1"}) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBudgetMatchesEventLog guards against retries that exceed the budget, and
// against refusals although the budget is not used up. It makes random calls,
// and computes the expected answers from a log of all events.
func TestBudgetMatchesEventLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := retry.Config{
			Fraction:      rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fraction"),
			BaseAllowance: rapid.IntRange(0, 10).Draw(t, "base allowance"),
			Window:        10 * time.Second,
		}
		b := retry.NewBudget(cfg)
		var attempts, spent []int
		b.Remaining(epoch) // the first call sets the origin of the window
		at := time.Duration(0)
		recent := func(log []int) (n int) {
			for _, second := range log {
				if second > int(at/time.Second)-10 {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				at += time.Duration(rapid.IntRange(0, 15_000).Draw(t, "ms")) * time.Millisecond
			},
			"attempt": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "n") {
					b.CountAttempt(epoch.Add(at))
					attempts = append(attempts, int(at/time.Second))
				}
			},
			"allow": func(t *rapid.T) {
				limit := cfg.BaseAllowance + int(math.Round(cfg.Fraction*100))*recent(attempts)/100
				want := recent(spent) < limit
				if got := b.Allow(epoch.Add(at)); got != want {
					t.Fatalf("Allow = %v with %d of %d spent", got, recent(spent), limit)
				}
				if want {
					spent = append(spent, int(at/time.Second))
				}
			},
		})
	})
}

// TestConfigValidate guards against invalid limits that Validate accepts.
func TestConfigValidate(t *testing.T) {
	cases := map[string]struct {
		change func(*retry.Config)
		field  string
	}{
		"defaults":                {func(*retry.Config) {}, ""},
		"fraction above 1":        {func(c *retry.Config) { c.Fraction = 1.1 }, "retry.fraction"},
		"NaN fraction":            {func(c *retry.Config) { c.Fraction = math.NaN() }, "retry.fraction"},
		"negative base allowance": {func(c *retry.Config) { c.BaseAllowance = -1 }, "retry.flat"},
		"zero window":             {func(c *retry.Config) { c.Window = 0 }, "retry.window"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := retry.Defaults()
			c.change(&cfg)
			err := cfg.Validate()
			is.Equal(err == nil, c.field == "")
			if err != nil {
				is.Equal(fault.From(err).Field, c.field)
			}
		})
	}
}

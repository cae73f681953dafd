package admission_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/admission"
)

// TestWorkGoesByScarcestResource guards against a forecast by processors alone,
// and against room that is counted without the speed of its endpoint.
func TestWorkGoesByScarcestResource(t *testing.T) {
	var c admission.Capacity
	for range 10 {
		c.Add(job.Room{CPU: 32_000, Memory: 1000, GPU: 1}, 1)
	}
	c.Add(job.Room{CPU: 32_000, Memory: 1000}, 2) // half as fast
	tests := map[string]struct {
		room job.Room
		want float64
	}{
		"processors":   {job.Room{CPU: 33_600, Memory: 1}, 0.1},
		"memory":       {job.Room{CPU: 1, Memory: 2100}, 0.2},
		"accelerators": {job.Room{CPU: 1, GPU: 5}, 0.5},
		"nothing":      {job.Room{}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(math.Abs(c.Work(tt.room, time.Second)-tt.want) < 1e-9)
		})
	}
	var none admission.Capacity
	is := is.New(t)
	is.True(!none.Known())
	is.True(math.IsInf(none.Work(job.Room{CPU: 1}, time.Second), 1))
}

// TestForecast guards against a wait that ignores what arrives meanwhile, or
// how many starts can be sent.
func TestForecast(t *testing.T) {
	tests := map[string]struct {
		forecast admission.Forecast
		tasks    int
		work     float64
		want     time.Duration
	}{
		"empty":            {admission.Forecast{Spare: 1}, 0, 0, 0},
		"room":             {admission.Forecast{Spare: 1}, 100, 0.01, time.Second},
		"half is left":     {admission.Forecast{Spare: 0.5}, 100, 0.01, 2 * time.Second},
		"starts are bound": {admission.Forecast{Spare: 1, StartInterval: 20 * time.Millisecond}, 100, 0.01, 2 * time.Second},
		"nothing is left":  {admission.Forecast{}, 100_000, 1, time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range tt.tasks {
				tt.forecast.Add(tt.work, 1)
			}
			is.True((tt.forecast.Wait() - tt.want).Abs() < time.Millisecond)
		})
	}
}

// TestMeter guards against a rate that does not follow the load.
func TestMeter(t *testing.T) {
	is := is.New(t)
	var m admission.Meter
	now := time.Unix(1_800_000_000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		m.Add(now, 0.012)
	}
	is.True(math.Abs(m.Rate(now)-1.2) < 0.05)
	is.True(m.Rate(now.Add(2*time.Second)) < 0.05)
}

// TestMeterIgnoresBurst guards against a burst that counts as a lasting load.
func TestMeterIgnoresBurst(t *testing.T) {
	is := is.New(t)
	var m admission.Meter
	now := time.Unix(1_800_000_000, 0)
	m.Add(now, 0.8)
	is.True(m.Rate(now) < 0.5)
}

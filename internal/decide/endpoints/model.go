package endpoints

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The service time model works on natural logarithms of seconds:
//
//	ln(run time) = work + slope*size + slowness + noise
//
// where work belongs to the service, slowness to the endpoint, and size is the
// logarithm of the declared size against the mean one. Run times inside one
// service range from 50 ms to 5 s. A ratio of plain means would let a single
// long task outweigh dozens of short ones; in the log domain a task of a
// hundred times the usual length counts as one deviation of 4.6, and a factor
// between endpoints becomes a shift that does not depend on the mix of tasks.

const (
	// fastWeight and slowWeight are the numbers of observations that the fast
	// and the slow part of an average remember.
	fastWeight = 8
	slowWeight = 64
	// modelWeight is the number of observations that the service-wide parts
	// remember. They see all endpoints, so they may be steadier.
	modelWeight = 256
	// peakErrors is by how many standard errors the fast part must exceed the
	// slow one to count as a peak. At 3, chance alone does so about once in a
	// thousand observations.
	peakErrors = 3
	// expectedWeight is the number of observations that the configured expected
	// run time counts for.
	expectedWeight = 2
	// noisePrior is the variance assumed before anything is observed, and
	// noiseWeight the number of observations that it counts for. The floor
	// keeps services of constant run time from taking jitter for a peak.
	noisePrior  = 0.5
	noiseWeight = 8
	noiseFloor  = 0.01
	// minP95Count is the number of run times below which their 95th percentile
	// says little.
	minP95Count = 20
	// p95Rotation is the number of run times after which the older half of the
	// histogram is dropped.
	p95Rotation = 1000
	// p95Unit is the resolution of the histogram.
	p95Unit = 100 * time.Microsecond
	// The bounds keep extreme observations and estimates finite.
	minRunTime = 100 * time.Microsecond
	maxRunTime = 10 * time.Minute
)

// average follows a value that is observed with noise. It rises to a peak
// within a few observations and decays slowly: when the fast part exceeds the
// slow one by more than noise explains, the slow part takes its value.
type average struct {
	// n is the weight of what was observed.
	n          float64
	slow, fast float64
}

// observe adds v, whose noise has the standard deviation sd.
func (a *average) observe(v, sd, weight float64) {
	a.n = min(a.n+1, weight)
	a.slow += (v - a.slow) / a.n
	a.fast += (v - a.fast) / min(a.n, fastWeight)
	// The variance of an exponential average of weight w is 1/(2w-1) of that
	// of one observation.
	if a.fast-a.slow > peakErrors*sd/math.Sqrt(2*fastWeight-1) {
		a.slow = a.fast
	}
}

// shift moves all that was observed by d.
func (a *average) shift(d float64) {
	a.slow += d
	a.fast += d
}

// towards returns the average together with a prior value that counts for
// weight observations.
func (a *average) towards(prior, weight float64) float64 {
	return (a.n*a.slow + weight*prior) / (a.n + weight)
}

// model is the part of the service time model that belongs to the service.
type model struct {
	cfg *Config
	// expected is the configured run time, ln seconds.
	expected float64
	work     average
	// noise is the variance of ln(run time) that is left unexplained.
	noise, noiseN float64
	// mean is the ratio between the mean run time and that of the mean
	// logarithm, which is lower.
	mean, meanN float64
	// size is the mean logarithm of the declared sizes.
	size, sizeN float64
	// sizeVar and sizeCov are the variance of the size and its covariance with
	// ln(run time), over pairs observations of which all counted once.
	sizeVar, sizeCov, pairs float64
	// times holds the recent run times in units of p95Unit.
	times *hdrhistogram.WindowedHistogram
	p95   time.Duration
	dirty bool
}

func newModel(cfg *Config, expected time.Duration) model {
	m := model{
		cfg:   cfg,
		noise: noisePrior, noiseN: noiseWeight,
		mean: 1, meanN: noiseWeight,
		times: hdrhistogram.NewWindowed(2, 1, int64(maxRunTime/p95Unit), 2),
	}
	m.setExpected(expected)
	return m
}

func (m *model) setExpected(expected time.Duration) { m.expected = logSeconds(expected) }

// logSeconds returns ln(d in seconds), with d held to the model's bounds.
func logSeconds(d time.Duration) float64 {
	return math.Log(min(max(d, minRunTime), maxRunTime).Seconds())
}

// base returns ln(run time) of a task of mean size at an endpoint of mean
// speed.
func (m *model) base() float64 { return m.work.towards(m.expected, expectedWeight) }

// shrinkage returns the weight of the prior slowness of 0, in observations: the
// variance of one observation over that of slowness between endpoints.
func (m *model) shrinkage() float64 {
	return m.noise / (m.cfg.SpeedSpread * m.cfg.SpeedSpread)
}

// sizeOffset returns the logarithm of the size against the mean one, within
// SizeLimit, and false when either is unknown.
func (m *model) sizeOffset(size float64) (float64, bool) {
	if !isSize(size) || m.sizeN == 0 {
		return 0, false
	}
	limit := math.Log(m.cfg.SizeLimit)
	return min(max(math.Log(size)-m.size, -limit), limit), true
}

func isSize(size float64) bool { return size > 0 && !math.IsInf(size, 1) }

// sawSize learns the mean of the declared sizes from a task that starts, so
// that estimates scale from the second task on.
func (m *model) sawSize(size float64) {
	if isSize(size) {
		m.sizeN = min(m.sizeN+1, modelWeight)
		m.size += (math.Log(size) - m.size) / m.sizeN
	}
}

// slope returns how far ln(run time) follows the declared size, from 0 to 1.
// It is a least-squares slope with a prior. The prior begins at 1, the
// declared size at face value, and falls with each observation whatever the
// sizes are, so that only what was observed remains.
func (m *model) slope() float64 {
	trust := m.cfg.SizeTrust
	n := min(m.pairs, modelWeight)
	prior := trust / (trust + m.pairs)
	return min(max((n*m.sizeCov+trust*prior)/(n*m.sizeVar+trust), 0), 1)
}

// estimate returns the mean run time of a task of the size at mean speed, in
// seconds.
func (m *model) estimate(size float64) float64 {
	offset, _ := m.sizeOffset(size)
	return math.Exp(m.base()+m.slope()*offset) * m.mean
}

// slowness returns the slowness that one run time shows.
func (m *model) slowness(took time.Duration, size float64) float64 {
	offset, _ := m.sizeOffset(size)
	return logSeconds(took) - m.base() - m.slope()*offset
}

// learn takes the run time of a task that succeeded at an endpoint of the given
// slowness.
func (m *model) learn(took time.Duration, size, slowness float64) {
	m.recordTime(took)
	atMeanSpeed := logSeconds(took) - slowness
	offset, sized := m.sizeOffset(size)
	rest := atMeanSpeed - m.base() - m.slope()*offset
	if sized {
		m.pairs++
		n := min(m.pairs, modelWeight)
		m.sizeVar += (offset*offset - m.sizeVar) / n
		m.sizeCov += (offset*(atMeanSpeed-m.base()) - m.sizeCov) / n
	}
	m.work.observe(atMeanSpeed-m.slope()*offset, math.Sqrt(m.noise), modelWeight)
	// A deviation of over three standard deviations counts as three. A new
	// straggler would otherwise make the whole service look noisy.
	bound := 3 * math.Sqrt(m.noise)
	rest = min(max(rest, -bound), bound)
	m.noiseN = min(m.noiseN+1, modelWeight)
	m.noise = max(m.noise+(rest*rest-m.noise)/m.noiseN, noiseFloor)
	m.meanN = min(m.meanN+1, modelWeight)
	m.mean += (math.Exp(rest) - m.mean) / m.meanN
}

// recordTime adds a run time to the histogram.
func (m *model) recordTime(took time.Duration) {
	if m.times.Current.TotalCount() >= p95Rotation {
		m.times.Rotate()
	}
	units := int64(min(max(took, minRunTime), maxRunTime) / p95Unit)
	// The value is within the histogram's bounds, so it cannot be refused.
	_ = m.times.Current.RecordValue(units)
	m.dirty = true
}

// refresh computes the 95th percentile again.
func (m *model) refresh() {
	if !m.dirty {
		return
	}
	m.dirty = false
	if all := m.times.Merge(); all.TotalCount() >= minP95Count {
		m.p95 = time.Duration(all.ValueAtQuantile(95)) * p95Unit
	}
}

// seconds converts an estimate to a duration within the model's bounds.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, minRunTime.Seconds()), maxRunTime.Seconds()) * float64(time.Second))
}

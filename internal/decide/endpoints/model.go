package endpoints

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The run time model works on natural logarithms of run times in seconds:
//
//	ln(run time) = logMean + slope*sizeOffset + slowness + noise
//
// Here logMean is the mean of the service. The slowness of an endpoint is its
// deviation from an endpoint of median speed, whose slowness is 0; each
// endpoint has a learned slowness, and each run time gives an observed one.
// sizeOffset is the logarithm of the ratio of the declared size to the mean
// declared size. Run times within a service range from 50 ms to 5 s. In a ratio
// of plain means, a single long task would outweigh dozens of short ones. In
// logarithms, a task of a hundred times the usual length deviates by only
// ln(100) = 4.6, and a speed factor between endpoints is a constant offset that
// does not depend on the mix of tasks.

const (
	// fastWeight and slowWeight are the maximum weights, in observations, of
	// the fast and the slow part of an endpoint's average: a further
	// observation changes the part by at least 1/weight of the difference.
	fastWeight = 8
	slowWeight = 64
	// modelWeight is the maximum weight of the service-wide averages, in
	// observations. They include the tasks of all endpoints, so they can be
	// smoother than the average of one endpoint.
	modelWeight = 256
	// riseStandardErrors is the number of standard errors by which the fast
	// part of an average must exceed the slow part to count as a rise. At 3,
	// about one observation in a thousand exceeds the threshold by chance
	// alone.
	riseStandardErrors = 3
	// expectedWeight is the weight of the configured expected run time, in
	// observations.
	expectedWeight = 2
	// noisePrior is the initial variance of the noise, and noiseWeight its
	// weight in observations and that of the initial meanRatio. noiseFloor is
	// the lower bound of the variance; below it, jitter in a service of
	// constant run time would be taken for a rise.
	noisePrior  = 0.5
	noiseWeight = 8
	noiseFloor  = 0.01
	// minP95Count is the number of run times below which no 95th percentile is
	// computed, because it would be unreliable.
	minP95Count = 20
	// p95Rotation is the number of run times after which the older half of the
	// histogram is dropped.
	p95Rotation = 1000
	// p95Unit is the resolution of the histogram.
	p95Unit = 100 * time.Microsecond
	// minRunTime and maxRunTime bound observations and estimates, so that
	// extreme ones stay finite.
	minRunTime = 100 * time.Microsecond
	maxRunTime = 10 * time.Minute
)

// average is an exponential moving average of a noisy value. It follows a rise
// within a few observations and decays slowly. It consists of a slow and a fast
// part. When the fast part exceeds the slow part by more than noise explains,
// the slow part is set to the value of the fast part.
type average struct {
	// n is the weight of the slow part, in observations.
	n          float64
	slow, fast float64
}

// observe adds the value v, whose noise has the standard deviation sd. The
// weight of the slow part grows to at most weight observations.
func (a *average) observe(v, sd, weight float64) {
	a.n = min(a.n+1, weight)
	a.slow += (v - a.slow) / a.n
	a.fast += (v - a.fast) / min(a.n, fastWeight)
	// An exponential average of weight w has 1/(2w-1) of the variance of a
	// single observation.
	if a.fast-a.slow > riseStandardErrors*sd/math.Sqrt(2*fastWeight-1) {
		a.slow = a.fast
	}
}

// shift adds d to both parts, as if each observation had been higher by d.
func (a *average) shift(d float64) {
	a.slow += d
	a.fast += d
}

// withPrior returns the weighted mean of the slow part and a prior value that
// counts for weight observations.
func (a *average) withPrior(prior, weight float64) float64 {
	return (a.n*a.slow + weight*prior) / (a.n + weight)
}

// model holds the service-wide parameters of the run time model.
type model struct {
	cfg *Config
	// logExpected is ln(configured expected run time).
	logExpected float64
	// logMean is the average ln(run time) of a task of mean size at an endpoint
	// of median speed.
	logMean average
	// noise is the variance of ln(run time) that logMean, sizeOffset and
	// slowness do not explain. noiseN, meanRatioN and sizeN are weights in
	// observations.
	noise, noiseN float64
	// meanRatio is the ratio of the arithmetic mean of run times to their
	// geometric mean exp(mean ln(run time)), which is lower.
	meanRatio, meanRatioN float64
	// meanLogSize is the mean logarithm of the declared sizes.
	meanLogSize, sizeN float64
	// sizeVar is the mean square of sizeOffset, and sizeCov the mean product of
	// sizeOffset and the deviation of ln(run time), taken at median speed, from
	// base. They approximate the variance and the covariance, since the mean of
	// sizeOffset is about 0. pairs is the number of all observations of a size
	// and a run time, not limited to modelWeight.
	sizeVar, sizeCov, pairs float64
	// runTimes holds the recent run times in units of p95Unit.
	runTimes *hdrhistogram.WindowedHistogram
	// p95 is the 95th percentile as of the last refresh, or zero before there
	// are enough run times.
	p95 time.Duration
	// dirty is set if runTimes has changed since the last refresh.
	dirty bool
}

func newModel(cfg *Config, expected time.Duration) model {
	m := model{
		cfg:   cfg,
		noise: noisePrior, noiseN: noiseWeight,
		meanRatio: 1, meanRatioN: noiseWeight,
		runTimes: hdrhistogram.NewWindowed(2, 1, int64(maxRunTime/p95Unit), 2),
	}
	m.setExpected(expected)
	return m
}

func (m *model) setExpected(expected time.Duration) { m.logExpected = logSeconds(expected) }

// logSeconds returns the natural logarithm of d in seconds. It first limits d
// to the range from minRunTime to maxRunTime.
func logSeconds(d time.Duration) float64 {
	return math.Log(min(max(d, minRunTime), maxRunTime).Seconds())
}

// base returns the estimated ln(run time) of a task of mean size at an endpoint
// of slowness 0.
func (m *model) base() float64 { return m.logMean.withPrior(m.logExpected, expectedWeight) }

// shrinkage returns the weight of the prior slowness of 0, in observations. It
// is the ratio of the variance of one observation to the expected variance of
// slowness between endpoints.
func (m *model) shrinkage() float64 {
	return m.noise / (m.cfg.SpeedSpread * m.cfg.SpeedSpread)
}

// sizeOffset returns the logarithm of the ratio of the size to the mean
// declared size, with the ratio limited by SizeLimit. It returns false when
// either of the two is unknown.
func (m *model) sizeOffset(size float64) (float64, bool) {
	if !isSize(size) || m.sizeN == 0 {
		return 0, false
	}
	limit := math.Log(m.cfg.SizeLimit)
	return min(max(math.Log(size)-m.meanLogSize, -limit), limit), true
}

// isSize reports whether a task declares a valid size; zero stands for unknown.
func isSize(size float64) bool { return size > 0 && !math.IsInf(size, 1) }

// recordSize adds the declared size of a starting task to the mean. Recording
// it at the start rather than the end lets estimates scale with the size from
// the second task on.
func (m *model) recordSize(size float64) {
	if isSize(size) {
		m.sizeN = min(m.sizeN+1, modelWeight)
		m.meanLogSize += (math.Log(size) - m.meanLogSize) / m.sizeN
	}
}

// slope returns the slope of ln(run time) over the logarithm of the declared
// size, from 0 to 1. It is a least-squares estimate with a prior. The prior
// starts at 1, which assumes run times proportional to declared sizes, and
// decreases with each observation, whatever its size, until only the
// observations determine the slope.
func (m *model) slope() float64 {
	trust := m.cfg.SizeTrust
	n := min(m.pairs, modelWeight)
	prior := trust / (trust + m.pairs)
	return min(max((n*m.sizeCov+trust*prior)/(n*m.sizeVar+trust), 0), 1)
}

// estimate returns the estimated mean run time, in seconds, of a task of the
// declared size at an endpoint of slowness 0.
func (m *model) estimate(size float64) float64 {
	offset, _ := m.sizeOffset(size)
	return math.Exp(m.base()+m.slope()*offset) * m.meanRatio
}

// observedSlowness returns the slowness of an endpoint as observed by the run
// time of one task.
func (m *model) observedSlowness(took time.Duration, size float64) float64 {
	offset, _ := m.sizeOffset(size)
	return logSeconds(took) - m.base() - m.slope()*offset
}

// learn updates the model with the run time of a task that succeeded at an
// endpoint of the given slowness.
func (m *model) learn(took time.Duration, size, slowness float64) {
	m.recordRunTime(took)
	logAtMedianSpeed := logSeconds(took) - slowness
	offset, hasSize := m.sizeOffset(size)
	residual := logAtMedianSpeed - m.base() - m.slope()*offset
	if hasSize {
		m.pairs++
		n := min(m.pairs, modelWeight)
		m.sizeVar += (offset*offset - m.sizeVar) / n
		m.sizeCov += (offset*(logAtMedianSpeed-m.base()) - m.sizeCov) / n
	}
	m.logMean.observe(logAtMedianSpeed-m.slope()*offset, math.Sqrt(m.noise), modelWeight)
	// The residual is limited to three standard deviations. Otherwise a new
	// straggler would raise the noise estimate of the whole service.
	bound := 3 * math.Sqrt(m.noise)
	residual = min(max(residual, -bound), bound)
	m.noiseN = min(m.noiseN+1, modelWeight)
	m.noise = max(m.noise+(residual*residual-m.noise)/m.noiseN, noiseFloor)
	m.meanRatioN = min(m.meanRatioN+1, modelWeight)
	m.meanRatio += (math.Exp(residual) - m.meanRatio) / m.meanRatioN
}

// recordRunTime adds a run time to the histogram.
func (m *model) recordRunTime(took time.Duration) {
	if m.runTimes.Current.TotalCount() >= p95Rotation {
		m.runTimes.Rotate()
	}
	units := int64(min(max(took, minRunTime), maxRunTime) / p95Unit)
	// RecordValue returns an error only for values outside the histogram's
	// bounds, which cannot occur here.
	_ = m.runTimes.Current.RecordValue(units)
	m.dirty = true
}

// refresh recomputes the 95th percentile if run times were added.
func (m *model) refresh() {
	if !m.dirty {
		return
	}
	m.dirty = false
	if all := m.runTimes.Merge(); all.TotalCount() >= minP95Count {
		m.p95 = time.Duration(all.ValueAtQuantile(95)) * p95Unit
	}
}

// boundedDuration converts a time in seconds, such as an estimate, to a
// duration between minRunTime and maxRunTime.
func boundedDuration(s float64) time.Duration {
	return time.Duration(min(max(s, minRunTime.Seconds()), maxRunTime.Seconds()) * float64(time.Second))
}

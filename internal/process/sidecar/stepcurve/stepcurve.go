package stepcurve

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// coldRatio separates the step time of a cold upstream from the variance of a
	// warm one. slackMillis is added to the limit, so that variance of very short
	// steps does not count.
	coldRatio   = 1.8
	slackMillis = 10
	// decisionWeight is the total weight of consecutive outliers at which the
	// upstream counts as cold or warm. The weight of a slow sample is its step time
	// divided by the limit, at most maxSampleWeight, so that no single sample is
	// enough. The weight of a fast sample is 1.
	decisionWeight  = 5
	maxSampleWeight = 2.5
	// warmSpan is the time that fast samples must span: delayed tokens that arrive
	// together look like a fast engine.
	warmSpan = time.Second
	// firstTokenRatio, firstTokenSlackMillis and firstTokenSamples are the
	// corresponding values for the time to the first token, whose variance is
	// higher because of queued and cached prompts.
	firstTokenRatio       = 2.5
	firstTokenSlackMillis = 50
	firstTokenSamples     = 4
	// minSamples is the number of samples needed before any sample is treated as
	// an outlier.
	minSamples = 12
	// minBinSamples is the number of samples in a bin needed before new samples
	// are compared with them.
	minBinSamples = 4
	// maxExtrapolation bounds the largest batch to this multiple of the largest
	// observed one, plus extrapolationStep.
	maxExtrapolation  = 1.25
	extrapolationStep = 1
	// sampleLifetime is how long a sample is kept.
	sampleLifetime = 10 * time.Minute
	// binsPerOctave is the number of bins per doubling of the batch size above 8.
	binsPerOctave = 4
	// fitBins is the number of bins, those with the largest batches, that the line
	// is fitted to. If the step time is convex in the batch size, the line then
	// follows it near the limit.
	fitBins = 8
	// backoffFactor multiplies the batch while the step time exceeds the target and
	// there is no fitted line with a positive slope to derive the limit from.
	backoffFactor = 0.75
)

// Change is the change of an upstream's state that a sample indicates.
type Change int

// Changes of the state of an upstream.
const (
	// Steady means that the sample indicates no change.
	Steady Change = iota
	// BecameCold means that the times are consistently above those recorded.
	BecameCold
	// BecameWarm means that step times are consistently below those recorded.
	BecameWarm
)

// Curve is the learned step time of one engine. It is not safe for concurrent
// use.
type Curve struct {
	// target is the target step time, in milliseconds.
	target float64
	bins   map[int]*bin
	// firstTokens holds times to the first token by batch size and prompt length.
	firstTokens map[firstTokenClass]*bin
	// slow and fast are the current runs of consecutive outliers.
	slow            outlierRun
	fast            outlierRun
	slowFirstTokens int
	line            fit
	// dirty is true if samples were added since the line was fitted.
	dirty      bool
	lastMillis float64
	lastBatch  int
}

type firstTokenClass struct {
	batch  int
	prompt int
}

type sample struct {
	batch  int
	millis float64
	at     time.Time
}

// outlierRun is a sequence of consecutive outliers in the same direction.
type outlierRun struct {
	weight float64
	since  time.Time
}

func (r *outlierRun) add(weight float64, now time.Time) {
	if r.weight == 0 {
		r.since = now
	}
	r.weight += min(maxSampleWeight, weight)
}

// fit is a fitted line of the step time over the batch size.
type fit struct {
	// base is the step time at batch 0 in milliseconds, and slope the increase per
	// unit of batch size.
	base  float64
	slope float64
	// deviation is the 90th percentile of the samples' distance above the line, in
	// milliseconds.
	deviation float64
	// smallest is the smallest batch that the line was fitted to, and largest the
	// largest batch with a sample.
	smallest int
	largest  int
	// samples is the number of samples in all bins.
	samples int
}

// New returns a curve without samples for the given target step time in
// milliseconds.
func New(targetMillis float64) *Curve {
	c := &Curve{target: targetMillis}
	c.Reset()
	return c
}

// Reset discards all samples.
func (c *Curve) Reset() {
	c.bins = make(map[int]*bin)
	c.firstTokens = make(map[firstTokenClass]*bin)
	c.slow = outlierRun{}
	c.fast = outlierRun{}
	c.slowFirstTokens = 0
	c.line = fit{}
	c.dirty = false
	c.lastMillis = 0
	c.lastBatch = 0
}

// Observe records the step time of a batch and returns the change of state that
// it indicates.
func (c *Curve) Observe(batch int, millis float64, now time.Time) Change {
	if batch <= 0 || !(millis > 0) || math.IsInf(millis, 0) {
		return Steady
	}
	c.lastMillis = millis
	c.lastBatch = batch
	limit, known := c.slowLimit(batch, now)
	switch {
	case known && millis > limit:
		c.fast = outlierRun{}
		return c.observeSlow(millis/limit, now)
	case c.isFast(batch, millis, now):
		c.slow = outlierRun{}
		return c.observeFast(now)
	}
	c.slow = outlierRun{}
	c.fast = outlierRun{}
	c.add(sample{batch, millis, now})
	return Steady
}

func (c *Curve) observeSlow(weight float64, now time.Time) Change {
	c.slow.add(weight, now)
	if c.slow.weight < decisionWeight {
		return Steady
	}
	return BecameCold
}

func (c *Curve) observeFast(now time.Time) Change {
	c.fast.add(1, now)
	if c.fast.weight < decisionWeight || now.Sub(c.fast.since) < warmSpan {
		return Steady
	}
	return BecameWarm
}

// slowLimit returns the step time above which a sample of the batch is an
// outlier. It is derived from the samples in the bin of the batch, or from the
// line if the bin has too few and the line covers the batch.
func (c *Curve) slowLimit(batch int, now time.Time) (millis float64, known bool) {
	c.refit(now)
	if c.line.samples < minSamples {
		return 0, false
	}
	if b := c.bins[binOf(batch)]; b != nil && b.len() >= minBinSamples {
		return coldRatio*b.quantile(0.5) + slackMillis, true
	}
	if batch < c.line.smallest || batch > c.maxKnownBatch() {
		return 0, false
	}
	return coldRatio*max(0, c.line.at(batch)) + slackMillis, true
}

// isFast reports whether the step time is far below that of earlier samples. It
// compares samples in the same bin only, because a line fitted to the step
// times of an overloaded engine does not predict those of small batches.
func (c *Curve) isFast(batch int, millis float64, now time.Time) bool {
	b := c.bins[binOf(batch)]
	if b == nil {
		return false
	}
	b.expire(now)
	return b.len() >= minBinSamples && millis*coldRatio+slackMillis < b.quantile(0.5)
}

// ObserveFirstToken records the time to the first token of a prompt while the
// batch ran, and returns the change of state that it indicates. It never
// returns BecameWarm, because a cached prompt is fast too.
func (c *Curve) ObserveFirstToken(batch, promptTokens int, millis float64, now time.Time) Change {
	if !(millis > 0) || math.IsInf(millis, 0) {
		return Steady
	}
	b := c.firstTokenBin(batch, promptTokens)
	b.expire(now)
	if b.len() >= minSamples && millis > firstTokenRatio*b.quantile(0.9)+firstTokenSlackMillis {
		c.slowFirstTokens++
		if c.slowFirstTokens >= firstTokenSamples {
			return BecameCold
		}
		return Steady
	}
	c.slowFirstTokens = 0
	b.add(sample{batch, millis, now})
	return Steady
}

func (c *Curve) firstTokenBin(batch, promptTokens int) *bin {
	class := firstTokenClass{binOf(batch), bits.Len(uint(max(0, promptTokens)) / 64)}
	b := c.firstTokens[class]
	if b == nil {
		b = &bin{}
		c.firstTokens[class] = b
	}
	return b
}

// LastMillis returns the latest step time in milliseconds, 0 before the first.
func (c *Curve) LastMillis() float64 { return c.lastMillis }

// SetTarget replaces the target step time in milliseconds.
func (c *Curve) SetTarget(millis float64) { c.target = millis }

// WithinTarget reports whether the latest step time was within the target. It is
// true before the first.
func (c *Curve) WithinTarget() bool { return c.lastMillis <= c.target }

// Predict returns the expected step time of the batch in milliseconds. The
// second result is false while there are too few samples.
func (c *Curve) Predict(batch int, now time.Time) (float64, bool) {
	c.refit(now)
	if c.line.samples < minSamples {
		return 0, false
	}
	return c.line.at(batch), true
}

// LargestBatch returns the largest batch whose step time is expected to be
// within the target, at least 1 and at most upper.
func (c *Curve) LargestBatch(upper int, now time.Time) int {
	c.refit(now)
	if c.line.samples < minSamples {
		return c.limitWithoutFit(upper)
	}
	largest := float64(min(upper, c.maxKnownBatch()))
	headroom := c.target - c.line.base - c.line.deviation
	if c.line.slope > 0 {
		largest = min(largest, headroom/c.line.slope)
	} else if headroom < 0 {
		largest = min(largest, float64(c.line.largest)*backoffFactor)
	}
	return max(1, int(largest))
}

// limitWithoutFit returns the limit while there are too few samples for a line:
// a fraction of the latest batch if its step time exceeds the target, else
// upper.
func (c *Curve) limitWithoutFit(upper int) int {
	if c.WithinTarget() {
		return upper
	}
	return max(1, min(upper, int(float64(c.lastBatch)*backoffFactor)))
}

// maxKnownBatch returns the largest batch to which the line may be
// extrapolated.
func (c *Curve) maxKnownBatch() int {
	return int(float64(c.line.largest)*maxExtrapolation + extrapolationStep)
}

func (c *Curve) add(s sample) {
	key := binOf(s.batch)
	b := c.bins[key]
	if b == nil {
		b = &bin{}
		c.bins[key] = b
	}
	b.add(s)
	c.dirty = true
}

// refit fits the line again if there are new samples.
func (c *Curve) refit(now time.Time) {
	if !c.dirty {
		return
	}
	c.dirty = false
	c.line = fit{}
	points := c.points(now)
	if len(points) == 0 {
		return
	}
	c.line.largest = points[len(points)-1].batch
	fitted := points[max(0, len(points)-fitBins):]
	c.line.smallest = fitted[0].batch
	c.line.slope = max(0, medianSlope(fitted))
	c.line.base = medianBase(fitted, c.line.slope)
	c.line.deviation = c.deviation()
}

// points returns the medians of each bin, sorted by batch size.
func (c *Curve) points(now time.Time) []sample {
	points := make([]sample, 0, len(c.bins))
	for key, b := range c.bins {
		b.expire(now)
		if b.len() == 0 {
			delete(c.bins, key)
			continue
		}
		c.line.samples += b.len()
		points = append(points, sample{batch: b.medianBatch(), millis: b.quantile(0.5)})
	}
	slices.SortFunc(points, func(a, b sample) int { return a.batch - b.batch })
	return points
}

// deviation returns the 90th percentile of the samples' distance above the
// line, at least 0.
func (c *Curve) deviation() float64 {
	var excesses []float64
	for _, b := range c.bins {
		for _, s := range b.samples {
			excesses = append(excesses, s.millis-c.line.at(s.batch))
		}
	}
	return max(0, quantile(excesses, 0.9))
}

func (f fit) at(batch int) float64 { return f.base + f.slope*float64(batch) }

func medianSlope(points []sample) float64 {
	var slopes []float64
	for i, a := range points {
		for _, b := range points[i+1:] {
			if b.batch > a.batch {
				slopes = append(slopes, (b.millis-a.millis)/float64(b.batch-a.batch))
			}
		}
	}
	return quantile(slopes, 0.5)
}

func medianBase(points []sample, slope float64) float64 {
	bases := make([]float64, 0, len(points))
	for _, p := range points {
		bases = append(bases, p.millis-slope*float64(p.batch))
	}
	return quantile(bases, 0.5)
}

// binOf returns the key of the bin for a batch size: one bin for each size up
// to 8, then four for each doubling.
func binOf(batch int) int {
	if batch <= 8 {
		return max(0, batch)
	}
	return 9 + int(binsPerOctave*math.Log2(float64(batch)/8))
}

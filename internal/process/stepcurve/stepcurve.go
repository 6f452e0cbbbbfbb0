package stepcurve

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// ratio separates the step time of a cold upstream from the scatter of a
	// warm one, and slackMillis protects very short steps.
	ratio       = 1.8
	slackMillis = 10
	// decision is the sum of the weights of samples in a row that decides. A
	// sample weighs its distance from the line in multiples of ratio, at most
	// maxWeight, so that no single sample decides.
	decision  = 5
	maxWeight = 2.5
	// warmSpan is the time that fast samples must span: tokens that were held up
	// and arrive at once look like a fast engine.
	warmSpan = time.Second
	// firstTokenRatio and firstTokenSamples do the same for the time to the
	// first token, which scatters more because of queued and cached prompts.
	firstTokenRatio       = 2.5
	firstTokenSlackMillis = 50
	firstTokenSamples     = 4
	// history is the number of samples needed before any are called out of
	// line.
	history = 12
	// binHistory is the number of samples of the same batch needed before others
	// are compared with them.
	binHistory = 4
	// reach bounds the largest batch to this multiple of the largest seen, plus
	// reachStep.
	reach     = 1.25
	reachStep = 1
	// lifetime is how long a sample counts.
	lifetime = 10 * time.Minute
	// binsPerOctave sets the width of the bins above a batch of 8.
	binsPerOctave = 4
	// fitBins is the number of bins of the largest batches that the line is
	// fitted through: a step time that bends upwards is then followed where the
	// limit lies.
	fitBins = 8
	// shrink is the factor of the limit while the step time exceeds the bound at
	// the batch in use and no line explains it.
	shrink = 0.75
)

// Change is what a sample shows about an upstream.
type Change int

// Changes of an upstream.
const (
	// Steady states that the sample decides nothing.
	Steady Change = iota
	// TurnedCold states that the step time left the history upwards.
	TurnedCold
	// TurnedWarm states that the step time left the history downwards.
	TurnedWarm
)

// Curve is the learned step time of one engine. It is not safe for concurrent
// use.
type Curve struct {
	target float64
	bins   map[int]*bin
	// firstTokens maps a class of load and prompt length to times to the first
	// token.
	firstTokens map[firstTokenClass]*bin
	// slow and fast are the samples in a row that are out of line.
	slow               run
	fast               run
	suspectFirstTokens int
	line               fit
	dirty              bool
	lastMillis         float64
	lastBatch          int
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

// run is a sequence of samples that are out of line in the same direction.
type run struct {
	weight float64
	since  time.Time
}

func (r *run) add(weight float64, now time.Time) {
	if r.weight == 0 {
		r.since = now
	}
	r.weight += min(maxWeight, weight)
}

// fit is a fitted line and the usual deviation above it.
type fit struct {
	base      float64
	slope     float64
	deviation float64
	// smallest and largest bound the batches that the line was fitted through.
	smallest int
	largest  int
	// samples is the number of samples in the history.
	samples int
}

// New returns a curve without history for the bound on the step time in
// milliseconds.
func New(targetMillis float64) *Curve {
	c := &Curve{target: targetMillis}
	c.Reset()
	return c
}

// Reset forgets the history.
func (c *Curve) Reset() {
	c.bins = make(map[int]*bin)
	c.firstTokens = make(map[firstTokenClass]*bin)
	c.slow = run{}
	c.fast = run{}
	c.suspectFirstTokens = 0
	c.line = fit{}
	c.dirty = false
	c.lastMillis = 0
	c.lastBatch = 0
}

// Observe records the step time of a batch and returns what it shows.
func (c *Curve) Observe(batch int, millis float64, now time.Time) Change {
	if batch <= 0 || !(millis > 0) || math.IsInf(millis, 0) {
		return Steady
	}
	c.lastMillis = millis
	c.lastBatch = batch
	limit, known := c.slowLimit(batch, now)
	switch {
	case known && millis > limit:
		c.fast = run{}
		return c.observeSlow(millis/limit, now)
	case c.isFast(batch, millis, now):
		c.slow = run{}
		return c.observeFast(now)
	}
	c.slow = run{}
	c.fast = run{}
	c.add(sample{batch, millis, now})
	return Steady
}

func (c *Curve) observeSlow(weight float64, now time.Time) Change {
	c.slow.add(weight, now)
	if c.slow.weight < decision {
		return Steady
	}
	return TurnedCold
}

func (c *Curve) observeFast(now time.Time) Change {
	c.fast.add(1, now)
	if c.fast.weight < decision || now.Sub(c.fast.since) < warmSpan {
		return Steady
	}
	return TurnedWarm
}

// slowLimit returns the step time above which a sample of the batch is out of
// line, by the samples of the same batch, else by the line where it reaches the
// batch.
func (c *Curve) slowLimit(batch int, now time.Time) (millis float64, known bool) {
	c.refit(now)
	if c.line.samples < history {
		return 0, false
	}
	if b := c.bins[binOf(batch)]; b != nil && b.len() >= binHistory {
		return ratio*b.quantile(0.5) + slackMillis, true
	}
	if batch < c.line.smallest || batch > c.reachable() {
		return 0, false
	}
	return ratio*max(0, c.line.at(batch)) + slackMillis, true
}

// isFast compares the step time with samples of the same batch only: a line
// through the step times of an overloaded engine says nothing about small
// batches.
func (c *Curve) isFast(batch int, millis float64, now time.Time) bool {
	b := c.bins[binOf(batch)]
	if b == nil {
		return false
	}
	b.expire(now)
	return b.len() >= binHistory && millis*ratio+slackMillis < b.quantile(0.5)
}

// ObserveFirstToken records the time to the first token of a prompt while the
// batch ran, and returns what it shows. It never shows a warm turn, because a
// cached prompt is fast too.
func (c *Curve) ObserveFirstToken(batch, promptTokens int, millis float64, now time.Time) Change {
	if !(millis > 0) || math.IsInf(millis, 0) {
		return Steady
	}
	b := c.firstTokenBin(batch, promptTokens)
	b.expire(now)
	if b.len() >= history && millis > firstTokenRatio*b.quantile(0.9)+firstTokenSlackMillis {
		c.suspectFirstTokens++
		if c.suspectFirstTokens >= firstTokenSamples {
			return TurnedCold
		}
		return Steady
	}
	c.suspectFirstTokens = 0
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

// Last returns the last step time in milliseconds, 0 before the first.
func (c *Curve) Last() float64 { return c.lastMillis }

// SetTarget replaces the bound on the step time in milliseconds.
func (c *Curve) SetTarget(millis float64) { c.target = millis }

// WithinTarget reports whether the last step time was within the bound. It is
// true before the first.
func (c *Curve) WithinTarget() bool { return c.lastMillis <= c.target }

// Predict returns the expected step time of the batch in milliseconds. The
// second result is false while too little is known.
func (c *Curve) Predict(batch int, now time.Time) (float64, bool) {
	c.refit(now)
	if c.line.samples < history {
		return 0, false
	}
	return c.line.at(batch), true
}

// Largest returns the largest batch whose step time is expected to be within
// the bound, at least 1 and at most upper.
func (c *Curve) Largest(upper int, now time.Time) int {
	c.refit(now)
	if c.line.samples < history {
		return c.untrained(upper)
	}
	largest := float64(min(upper, c.reachable()))
	room := c.target - c.line.base - c.line.deviation
	if c.line.slope > 0 {
		largest = min(largest, room/c.line.slope)
	} else if room < 0 {
		largest = min(largest, float64(c.line.largest)*shrink)
	}
	return max(1, int(largest))
}

// untrained is the limit without a fitted line: below the last batch while its
// step time exceeds the bound.
func (c *Curve) untrained(upper int) int {
	if c.WithinTarget() {
		return upper
	}
	return max(1, min(upper, int(float64(c.lastBatch)*shrink)))
}

// reachable returns the largest batch that the history says something about.
func (c *Curve) reachable() int { return int(float64(c.line.largest)*reach + reachStep) }

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

// refit fits the line again after new samples.
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
	near := points[max(0, len(points)-fitBins):]
	c.line.smallest = near[0].batch
	c.line.slope = max(0, medianSlope(near))
	c.line.base = medianBase(near, c.line.slope)
	c.line.deviation = c.deviation()
}

// points returns the median of each bin in the order of the batch size.
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
	var above []float64
	for _, b := range c.bins {
		for _, s := range b.samples {
			above = append(above, s.millis-c.line.at(s.batch))
		}
	}
	return max(0, quantile(above, 0.9))
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

// binOf returns the number of the bin of a batch: one for each size up to 8,
// then four for each doubling.
func binOf(batch int) int {
	if batch <= 8 {
		return max(0, batch)
	}
	return 9 + int(binsPerOctave*math.Log2(float64(batch)/8))
}

package stepcurve

import (
	"slices"
	"time"
)

// binSize is the maximum number of samples in a bin; the oldest are
// overwritten.
const binSize = 32

// bin is a ring buffer of the latest samples of one range of batch sizes.
type bin struct {
	samples []sample
	// next is the index to overwrite once the bin is full.
	next int
}

func (b *bin) len() int { return len(b.samples) }

func (b *bin) add(s sample) {
	if len(b.samples) < binSize {
		b.samples = append(b.samples, s)
		return
	}
	b.samples[b.next] = s
	b.next = (b.next + 1) % binSize
}

// expire removes the samples older than sampleLifetime.
func (b *bin) expire(now time.Time) {
	expired := func(s sample) bool { return now.Sub(s.at) > sampleLifetime }
	if !slices.ContainsFunc(b.samples, expired) {
		return
	}
	b.samples = slices.DeleteFunc(b.samples, expired)
	b.next = 0
}

func (b *bin) quantile(q float64) float64 {
	values := make([]float64, 0, len(b.samples))
	for _, s := range b.samples {
		values = append(values, s.millis)
	}
	return quantile(values, q)
}

func (b *bin) medianBatch() int {
	batches := make([]float64, 0, len(b.samples))
	for _, s := range b.samples {
		batches = append(batches, float64(s.batch))
	}
	return int(quantile(batches, 0.5))
}

// quantile sorts the values and returns the quantile q, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

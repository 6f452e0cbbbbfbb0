package benchmark

import (
	"math"
	"time"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
	"github.com/flamingohold/flamingohold/internal/standin/loadgen"
)

const (
	// capacityIterations is the number of fixed-point iterations for the rate.
	capacityIterations = 20
	// saturationShare is the fraction of the computed bound that one engine
	// without gateway and sidecar reaches under ten times its load (813 of
	// 1,007 tokens/s with 6,000 tokens of memory). The rest is lost to
	// recomputation after preemptions.
	saturationShare = 0.8
)

// capacity returns the prompts per second that one warm, saturated engine
// completes. A sequence occupies memory for its prompt and, on average over its
// lifetime, for half of its output, where long outputs weigh more because they
// last longer. The prefill time depends on the rate, so that the rate is computed
// by iteration.
func capacity(p engine.Profile, l loadgen.LengthDistribution, promptTokens int) float64 {
	meanTokens := float64(promptTokens) + l.Mean*math.Exp(l.Sigma*l.Sigma)/2
	sequences := math.Min(float64(p.MemoryTokens)/meanTokens, float64(p.MaxSequences))
	rate := 1.0
	for range capacityIterations {
		decodeSeconds := p.BaseStep.Seconds() + sequences*meanTokens*p.PerContextToken.Seconds()
		prefillSeconds := rate * decodeSeconds * float64(promptTokens) * p.PerPrefillToken.Seconds()
		rate = sequences / (decodeSeconds + prefillSeconds) / l.Mean
	}
	return rate * saturationShare
}

// burstRate returns a function with the constant rate, which is multiplied by the
// factor between the fractions start and end of the duration.
func burstRate(rate, factor, start, end float64, duration time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if f := float64(t) / float64(duration); f >= start && f < end {
			return rate * factor
		}
		return rate
	}
}

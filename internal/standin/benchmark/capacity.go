package benchmark

import (
	"math"
	"time"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
	"github.com/flamingohold/flamingohold/internal/standin/loadgen"
)

const (
	capacityRounds = 20
	// saturationShare is what one engine without the system reached of the
	// bound under ten times its load (813 of 1,007 tokens/s with 6,000 tokens of
	// memory); the rest is recomputation after preemptions.
	saturationShare = 0.8
)

// capacity returns the prompts per second that one warm engine answers when it
// is saturated. A sequence holds its prompt and, averaged over its life, half of
// its output weighted by length.
func capacity(p engine.Profile, l loadgen.Lengths, promptTokens int) float64 {
	meanHeld := float64(promptTokens) + l.Mean*math.Exp(l.Sigma*l.Sigma)/2
	sequences := math.Min(float64(p.MemoryTokens)/meanHeld, float64(p.MaxSequences))
	rate := 1.0
	for range capacityRounds {
		step := p.BaseStep.Seconds() + sequences*meanHeld*p.PerContextToken.Seconds()
		prefill := rate * step * float64(promptTokens) * p.PerPrefillToken.Seconds()
		rate = sequences / (step + prefill) / l.Mean
	}
	return rate * saturationShare
}

// at returns a rate that is constant but for a factor between two fractions of
// the duration.
func at(rate, factor, from, to float64, duration time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if f := float64(t) / float64(duration); f >= from && f < to {
			return rate * factor
		}
		return rate
	}
}

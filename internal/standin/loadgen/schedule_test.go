package loadgen_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
	"github.com/flamingohold/flamingohold/internal/standin/loadgen"
)

func shape() loadgen.Shape {
	return loadgen.Shape{
		Seed:     7,
		Duration: 100 * time.Second,
		Rate: func(at time.Duration) float64 {
			if at < 50*time.Second {
				return 10
			}
			return 40
		},
		MaxRate:      40,
		Shares:       []loadgen.Share{{Account: "large", Weight: 3}, {Account: "small", Weight: 1}},
		Lengths:      loadgen.LengthDistribution{Mean: 100, Sigma: 1, Max: 2000},
		PromptTokens: 160,
		ReadFraction: 0.1,
		MaxRequests:  100_000,
	}
}

// Guards against policies that are compared under different loads.
func TestScheduleIsDeterministic(t *testing.T) {
	require.Equal(t, loadgen.Schedule(shape()), loadgen.Schedule(shape()))
	other := shape()
	other.Seed++
	require.NotEqual(t, loadgen.Schedule(shape()), loadgen.Schedule(other))
}

// Guards against a load whose rate, mix or lengths differ from its shape.
func TestScheduleMatchesShape(t *testing.T) {
	requests := loadgen.Schedule(shape())
	var early, late, large, reads, tokens, prompts int
	for _, r := range requests {
		if r.At < 50*time.Second {
			early++
		} else {
			late++
		}
		if r.Account == "large" {
			large++
		}
		if r.Kind == loadgen.KindRead {
			reads++
			continue
		}
		prompts++
		tokens += r.Length
		require.Equal(t, r.Length, engine.OutputLength(r.Prompt))
		require.Equal(t, 160, engine.PromptTokens(r.Prompt))
	}
	// The bounds are five standard deviations of the counts.
	require.InDelta(t, 500, early, 112)
	require.InDelta(t, 2000, late, 224)
	require.InDelta(t, 0.75, float64(large)/float64(len(requests)), 0.05)
	require.InDelta(t, 0.1, float64(reads)/float64(len(requests)), 0.03)
	require.InDelta(t, 100, float64(tokens)/float64(prompts), 14)
}

// Guards against a load with more requests than MaxRequests.
func TestScheduleStopsAtMaxRequests(t *testing.T) {
	s := shape()
	s.MaxRequests = 50
	require.Len(t, loadgen.Schedule(s), 50)
}

package selection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

// Guards against an order that differs from the choices that it explains: Choose returns
// the first upstream without chance, and with it only one within MaxJitter of the first.
func TestScoresAgreeWithChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := make([]directory.View, rapid.IntRange(0, 12).Draw(t, "engines"))
		for i := range views {
			v := view(fmt.Sprint(i), rapid.SampledFrom([]string{"dc-1", "dc-2"}).Draw(t, "centre"))
			v.Running, v.Waiting = rapid.IntRange(0, 24).Draw(t, "running"), rapid.IntRange(0, 3).Draw(t, "waiting")
			v.MemoryUsed = rapid.IntRange(0, 32_000).Draw(t, "used")
			v.EventTime = time.Duration(rapid.IntRange(0, 80).Draw(t, "event time")) * time.Millisecond
			v.FailureRate = rapid.Float64Range(0, 1).Draw(t, "failures")
			v.Suspect, v.Cold = rapid.Bool().Draw(t, "suspect"), rapid.Bool().Draw(t, "cold")
			v.Blocked, v.Leaving = rapid.Bool().Draw(t, "blocked"), rapid.Bool().Draw(t, "leaving")
			v.Reported = rapid.Bool().Draw(t, "reported")
			views[i] = v
		}
		r := Request{
			DataCentre: "dc-1", Tokens: 3_000, MemoryTokens: 30_000, OutputEvents: rapid.IntRange(0, 20).Draw(t, "events"),
			MaxEventGap: gap, Exclude: map[string]bool{"0": true},
		}
		ranked := Scores(views, r)
		first, ok := Choose(views, r, func() float64 { return 0 })
		require.Equal(t, len(ranked) > 0, ok)
		if !ok {
			return
		}
		totals := make(map[string]float64)
		for i, s := range ranked {
			p := s.Parts
			require.InDelta(t, p.Load+p.MemoryPressure+p.Remote+p.Suspect+p.Failures+p.Cold+p.Pace, s.Total, 1e-9)
			require.GreaterOrEqual(t, s.Total, ranked[0].Total, i)
			totals[s.View.ID] = s.Total
		}
		require.Equal(t, ranked[0].Total, totals[first.ID])
		v, _ := Choose(views, r, func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
		require.Contains(t, totals, v.ID)
		require.Less(t, totals[v.ID], ranked[0].Total+MaxJitter)
	})
}

func BenchmarkScores(b *testing.B) {
	for _, engines := range []int{64, 1400} {
		random := rand.New(rand.NewPCG(1, 2))
		views := make([]directory.View, engines)
		for i := range views {
			views[i] = view(fmt.Sprint(i), "dc-1")
			views[i].Running = random.IntN(24)
			views[i].EventTime = time.Duration(20+random.IntN(40)) * time.Millisecond
		}
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Scores(views, Request{DataCentre: "dc-1", MaxEventGap: gap, OutputEvents: 186})
			}
		})
	}
}

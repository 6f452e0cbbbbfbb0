package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func names(prefix string, n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("%s-%d", prefix, i))
	}
	return list
}

// Guards against processes that derive different plans, models with more than
// their equal share of slots, and adapters with too few copies.
func TestPlanIsBalancedAndIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := names("model", rapid.IntRange(1, 12).Draw(t, "models"))
		adapters := names("adapter", rapid.IntRange(0, 30).Draw(t, "adapters"))
		slots := names("slot", rapid.IntRange(1, 60).Draw(t, "slots"))
		copies := rapid.IntRange(1, 3).Draw(t, "copies")
		p := New(models, adapters, slots, copies)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for _, list := range [][]string{models, adapters, slots} {
			random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		}
		require.Equal(t, p, New(models, adapters, slots, copies))
		perModel, perAdapter := map[string]int{}, map[string]int{}
		for _, s := range slots {
			require.Contains(t, models, p.Model(s))
			perModel[p.Model(s)]++
			for _, a := range p.Adapters(s) {
				perAdapter[a]++
			}
		}
		for _, n := range perModel {
			require.LessOrEqual(t, n, (len(slots)+len(models)-1)/len(models))
		}
		for _, a := range adapters {
			require.Equal(t, min(copies, len(slots)), perAdapter[a])
		}
	})
}

// Guards against a removed slot that makes many others load another model: on
// average, fewer slots change than half the number of slots per model.
func TestRemovedSlotMovesFewOthers(t *testing.T) {
	models, slots := names("model", 12), names("slot", 120)
	before := New(models, nil, slots, 1)
	moved := 0
	for i := range slots {
		after := New(models, nil, slices.Delete(slices.Clone(slots), i, i+1), 1)
		for _, s := range slots {
			if after.Model(s) != "" && after.Model(s) != before.Model(s) {
				moved++
			}
		}
	}
	mean := float64(moved) / float64(len(slots))
	require.Less(t, mean, float64(len(slots)/len(models))/2)
}

// Guards against sidecars that together exceed the weight store's rate.
func TestRatesSumToAtMostLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.IntRange(1, 2000).Draw(t, "live")
		total := rapid.Int64Range(int64(live), 1<<40).Draw(t, "rate")
		p := New(nil, nil, nil, 1)
		share := p.ReadRate(total, live)
		require.LessOrEqual(t, share*int64(live), total)
		require.Greater(t, (share+1)*int64(live), total)
	})
	require.Zero(t, New(nil, nil, nil, 1).ReadRate(0, 5))
}

// Guards against slots that read the weight store at the same time or in the
// same order.
func TestWeightReadsAreStaggered(t *testing.T) {
	p := New(names("model", 1), names("adapter", 8), names("slot", 20), 20)
	delays, firstAdapters := map[time.Duration]bool{}, map[string]bool{}
	for _, s := range names("slot", 20) {
		d := p.ReadDelay(s, 3, time.Minute)
		require.Equal(t, d, p.ReadDelay(s, 3, time.Minute))
		require.Less(t, d, time.Minute)
		delays[d] = true
		firstAdapters[p.Adapters(s)[0]] = true
	}
	require.Len(t, delays, 20)
	require.Greater(t, len(firstAdapters), 3)
}

func BenchmarkNew(b *testing.B) {
	for _, n := range []int{60, 1400} {
		b.Run(fmt.Sprintf("slots=%d", n), func(b *testing.B) {
			models, adapters, slots := names("model", 12), names("adapter", 100), names("slot", n)
			b.ReportAllocs()
			for b.Loop() {
				New(models, adapters, slots, 2)
			}
		})
	}
}

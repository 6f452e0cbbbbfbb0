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

const gap = 180 * time.Millisecond

func noRandom() float64 { return 0 }

func drawView(t *rapid.T, id string) directory.View {
	return directory.View{
		ID: id, DataCentre: rapid.SampledFrom([]string{"dc-1", "dc-2"}).Draw(t, "centre"), ConcurrencyLimit: 24,
		Reported: rapid.Bool().Draw(t, "reported"), MemoryTotal: 26_864, Running: rapid.IntRange(0, 24).Draw(t, "running"),
		Waiting: rapid.IntRange(0, 8).Draw(t, "waiting"), MemoryUsed: rapid.IntRange(0, 30_000).Draw(t, "used"),
		Calls: rapid.IntRange(0, 5).Draw(t, "calls"), FailureRate: rapid.Float64Range(0, 1).Draw(t, "failures"),
		Suspect: rapid.Bool().Draw(t, "suspect"), Cold: rapid.Bool().Draw(t, "cold"),
	}
}

func drawEventTime(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, label))
}

func drawRequest(t *rapid.T) Request {
	return Request{
		DataCentre: "dc-1", Tokens: rapid.IntRange(0, 6000).Draw(t, "tokens"), MemoryTokens: 26_864, MaxEventGap: gap,
		OutputEvents: rapid.IntRange(0, 400).Draw(t, "events"),
	}
}

// Guards against services without slow engines that are served differently: where
// the pace is the same or unknown, or callers accept any gap, scores are those of
// a request without a gap.
func TestScoresAreUnchangedWithoutDifferencesInPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		views := make([]directory.View, rapid.IntRange(1, 9).Draw(t, "engines"))
		same := drawEventTime(t, "same")
		kind := rapid.SampledFrom([]string{"same", "some unknown", "unknown", "no gap"}).Draw(t, "kind")
		for i := range views {
			views[i] = drawView(t, fmt.Sprint(i))
			switch {
			case kind == "same", kind == "some unknown" && rapid.Bool().Draw(t, "known"):
				views[i].EventTime = same
			case kind == "no gap":
				views[i].EventTime = drawEventTime(t, "event")
			}
		}
		if kind == "no gap" {
			r.MaxEventGap = 0
		}
		if rapid.Bool().Draw(t, "median given") {
			r.MedianEventTime = MedianEventTime(views)
		}
		before := Request{DataCentre: r.DataCentre, Tokens: r.Tokens, MemoryTokens: r.MemoryTokens}
		for i := range views {
			require.Equal(t, score(&views[i], before, summarise(views, before)), score(&views[i], r, summarise(views, r)))
		}
	})
}

// Guards against a long output at a slow engine while a faster one is as free: one
// that exceeds the median by a quarter never wins, whatever the other engines are.
func TestSlowEngineIsNeverPreferredForLongOutputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		r.OutputEvents = rapid.IntRange(minPacedEvents, 400).Draw(t, "long")
		fast := drawView(t, "fast")
		fast.Reported, fast.Suspect = true, false
		fast.EventTime = time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(200*time.Millisecond)).Draw(t, "fast event"))
		slow := fast
		slow.ID = "slow"
		slow.EventTime = time.Duration(float64(fast.EventTime) * rapid.Float64Range(1.3, 20).Draw(t, "ratio"))
		other := fast
		other.ID = "other"
		v, ok := Choose([]directory.View{slow, fast, other}, r, noRandom)
		require.True(t, ok)
		require.NotEqual(t, "slow", v.ID)
	})
}

// Guards against an engine that is chosen because it is slower or because callers
// accept less: the penalty never falls with the event time and never rises with
// the gap. It is bounded, below that of an engine that does not answer.
func TestPenaltyGrowsWithExcessAndShareOfTheGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		v := drawView(t, "a")
		median := drawEventTime(t, "median")
		v.EventTime = drawEventTime(t, "event")
		penalty := pacePenalty(&v, r, median)
		slower := v
		slower.EventTime += drawEventTime(t, "more")
		require.GreaterOrEqual(t, pacePenalty(&slower, r, median), penalty)
		if r.OutputEvents >= minPacedEvents {
			patient := r
			patient.MaxEventGap += drawEventTime(t, "patience")
			require.LessOrEqual(t, pacePenalty(&v, patient, median), penalty)
			require.GreaterOrEqual(t, penalty, 0.0)
			require.LessOrEqual(t, penalty, maxSlowPenalty)
			require.Less(t, penalty, suspectPenalty)
		}
	})
}

func TestChooseByPace(t *testing.T) {
	paced := func(id string, eventTime time.Duration, change func(v *directory.View)) directory.View {
		v := view(id, "dc-1")
		v.EventTime = eventTime
		if change != nil {
			change(&v)
		}
		return v
	}
	full := func(v *directory.View) { v.Running, v.MemoryUsed = 23, 30_000 }
	crowded := func(v *directory.View) { v.Running, v.Waiting, v.MemoryUsed = 23, 3, 39_000 }
	busy := func(v *directory.View) { v.Running, v.MemoryUsed = 8, 9_000 }
	waiting := func(n int) func(v *directory.View) { return func(v *directory.View) { v.Waiting = n } }
	median := func(id string) directory.View { return paced(id, 23*time.Millisecond, full) }
	long := Request{DataCentre: "dc-1", Tokens: 3_000, MemoryTokens: 30_000, MaxEventGap: gap, OutputEvents: 186}
	short := long
	short.OutputEvents = 2
	cases := []struct {
		name  string
		r     Request
		views []directory.View
		want  string
	}{
		{
			"at a third of the gap, a full engine is better than an idle slow one", long,
			[]directory.View{paced("slow", gap/3, nil), paced("fast", 40*time.Millisecond, full), median("m")},
			"fast",
		},
		{
			"an engine far from the gap may be slower than others", long,
			[]directory.View{paced("slow", 30*time.Millisecond, nil), paced("fast", 23*time.Millisecond, busy), median("m")},
			"slow",
		},
		{
			"an engine where prompts wait for memory is worse than a slow one", long,
			[]directory.View{paced("slow", time.Second, nil), paced("a", 23*time.Millisecond, crowded), paced("b", 23*time.Millisecond, crowded)},
			"slow",
		},
		{
			"short outputs are as well off at an idle slow engine", short,
			[]directory.View{paced("slow", gap/3, nil), paced("fast", 23*time.Millisecond, busy), median("m")},
			"slow",
		},
		{
			"prompts before a short output take longer at a slow engine", short,
			[]directory.View{paced("slow", gap/3, waiting(1)), paced("fast", 23*time.Millisecond, waiting(2)), median("m")},
			"fast",
		},
		{
			"an engine of unknown pace counts as the median", long,
			[]directory.View{paced("slow", gap/3, nil), paced("unknown", 0, busy), median("m")},
			"unknown",
		},
		{
			"a slow engine is better than one that does not answer", long,
			[]directory.View{paced("slow", time.Second, nil), paced("suspect", 23*time.Millisecond, func(v *directory.View) { v.Suspect = true })},
			"slow",
		},
	}
	for _, c := range cases {
		require.Equal(t, c.want, chosen(t, c.views, c.r), c.name)
	}
}

// Guards against a median that depends on whether few or many engines are known.
func TestMedianEventTime(t *testing.T) {
	require.Zero(t, MedianEventTime(nil))
	require.Zero(t, MedianEventTime([]directory.View{{}, {}}))
	for _, n := range []int{1, 2, 51, 1400} {
		views := make([]directory.View, n, n+1)
		for i, j := range rand.Perm(n) {
			views[i].EventTime = time.Duration(j + 1)
		}
		require.Equal(t, time.Duration((n-1)/2+1), MedianEventTime(append(views, directory.View{})))
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{64, 1400} {
		random := rand.New(rand.NewPCG(1, 2))
		views := make([]directory.View, engines)
		for i := range views {
			views[i] = view(fmt.Sprint(i), "dc-1")
			views[i].Running = random.IntN(24)
			views[i].EventTime = time.Duration(20+random.IntN(40)) * time.Millisecond
		}
		for _, r := range []Request{{DataCentre: "dc-1"}, {DataCentre: "dc-1", MaxEventGap: gap, OutputEvents: 186}} {
			b.Run(fmt.Sprintf("engines=%d/paced=%t", engines, r.MaxEventGap > 0), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					Choose(views, r, random.Float64)
				}
			})
		}
	}
}

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
		if rapid.Bool().Draw(t, "summary given") {
			r.EventTimes = EventTimesOf(views)
		}
		before := Request{DataCentre: r.DataCentre, Tokens: r.Tokens, MemoryTokens: r.MemoryTokens}
		summaryBefore, summary := summarise(views, before), summarise(views, r)
		for i := range views {
			require.Equal(t, score(&views[i], &before, &summaryBefore, nil), score(&views[i], &r, &summary, nil))
		}
	})
}

// Guards against a long output at a slow engine while a faster one is as free: one
// that exceeds the fastest by 30% never wins, whatever the other engines are.
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
		known := EventTimes{Reference: drawEventTime(t, "reference"), Median: drawEventTime(t, "median")}
		v.EventTime = max(1, drawEventTime(t, "event"))
		penalty := pacePenalty(&v, r, known)
		slower := v
		slower.EventTime += drawEventTime(t, "more")
		require.GreaterOrEqual(t, pacePenalty(&slower, r, known), penalty)
		if r.OutputEvents >= minPacedEvents {
			wider := r
			wider.MaxEventGap += drawEventTime(t, "additional gap")
			require.LessOrEqual(t, pacePenalty(&v, wider, known), penalty)
			require.GreaterOrEqual(t, penalty, 0.0)
			require.LessOrEqual(t, penalty, maxSlowPenalty)
			require.Less(t, penalty, suspectPenalty)
		}
	})
}

// Guards against weights that do not keep the order that callers' needs give: between
// a slow engine and one that is loaded, of unknown pace or does not answer.
func TestChooseByPace(t *testing.T) {
	loaded := func(id string, eventTime time.Duration, running, waiting, used int) directory.View {
		v := view(id, "dc-1")
		v.EventTime, v.Running, v.Waiting, v.MemoryUsed = eventTime, running, waiting, used
		return v
	}
	const fast, third = 23 * time.Millisecond, gap / 3
	slow, full := loaded("slow", third, 0, 0, 0), loaded("full", fast, 23, 0, 30_000)
	suspect := loaded("suspect", fast, 0, 0, 0)
	suspect.Suspect = true
	long := Request{DataCentre: "dc-1", Tokens: 3_000, MemoryTokens: 30_000, MaxEventGap: gap, OutputEvents: 186}
	short := long
	short.OutputEvents = 2
	cases := []struct {
		name, want string
		r          Request
		views      []directory.View
	}{
		{"at a third of the gap, a full engine is better than an idle slow one", "near", long, []directory.View{slow, loaded("near", 47*time.Millisecond, 23, 0, 30_000), loaded("near", 47*time.Millisecond, 23, 0, 30_000)}},
		{"an engine far from the gap may be slower", "late", long, []directory.View{loaded("late", 18*time.Millisecond, 0, 0, 0), loaded("busy", 14*time.Millisecond, 8, 0, 9_000), full}},
		{"an engine where prompts wait for memory is worse than a slow one", "slow", long, []directory.View{loaded("slow", time.Second, 0, 0, 0), loaded("a", fast, 23, 3, 39_000), loaded("b", fast, 23, 3, 39_000)}},
		{"short outputs are as well off at an idle slow engine", "slow", short, []directory.View{slow, loaded("busy", fast, 8, 0, 9_000), full}},
		{"prompts before a short output take longer at a slow engine", "fast", short, []directory.View{loaded("slow", third, 0, 1, 0), loaded("fast", fast, 0, 2, 0), full}},
		{"an engine of unknown pace counts as the median", "unknown", long, []directory.View{slow, loaded("unknown", 0, 8, 0, 9_000), full}},
		{"where most are slow, an idle engine of unknown pace is no better than a slow one", "busy", long, []directory.View{slow, slow, slow, loaded("unknown", 0, 0, 0, 0), loaded("busy", fast, 8, 0, 9_000)}},
		{"a slow engine is better than one that does not answer", "slow", long, []directory.View{loaded("slow", time.Second, 0, 0, 0), suspect}},
	}
	for _, c := range cases {
		require.Equal(t, c.want, chosen(t, c.views, c.r), c.name)
	}
}

// Guards against a reference that depends on whether few or many engines are known, and
// against the median, by which no engine is slow where most are.
func TestEventTimesOf(t *testing.T) {
	require.Zero(t, EventTimesOf(nil))
	require.Zero(t, EventTimesOf([]directory.View{{}, {}}))
	for _, n := range []int{1, 2, 51, 1400} {
		views := make([]directory.View, n, n+1)
		for i, j := range rand.Perm(n) {
			views[i].EventTime = time.Duration(j + 1)
		}
		want := EventTimes{Reference: time.Duration((n-1)/8 + 1), Median: time.Duration((n-1)/2 + 1)}
		require.Equal(t, want, EventTimesOf(append(views, directory.View{})))
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

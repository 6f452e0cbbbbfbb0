package reservation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

const (
	memory = 26864
	slots  = 8
)

var (
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	prompts   = rapid.SampledFrom([]int{1, 2200, 3000, 6000})
	headrooms = rapid.SampledFrom([]float64{0, 0.12, 0.5})
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func engineReport(running, used int) directory.Report {
	return directory.Report{Incarnation: 7, Running: running, MemoryUsed: used, MemoryTotal: memory}
}

func request(id string, prompt int, headroom float64) Request {
	return Request{ID: id, PromptTokens: prompt, OutputTokens: 200, Headroom: headroom}
}

// model is an engine with its granted requests, which arrive within 800 ms of their
// grants or never, in any order.
type model struct {
	*Reservations
	now, reported time.Time
	serial        int
	// expected and running hold the granted requests before and after they arrive.
	expected, running map[string]*work
	// growth holds the tokens by which the runs grew before each report.
	growth map[time.Time]int
}

type work struct {
	tokens    int
	grantedAt time.Time
}

func newModel() *model {
	return &model{
		Reservations: New(), now: start, expected: make(map[string]*work), running: make(map[string]*work), growth: make(map[time.Time]int),
	}
}

func total(works map[string]*work) (tokens int) {
	for _, w := range works {
		tokens += w.tokens
	}
	return tokens
}

func draw(t *rapid.T, works map[string]*work, label string) string {
	ids := slices.Sorted(maps.Keys(works))
	return rapid.SampledFrom(append(ids, "")).Draw(t, label)
}

// step makes a random step of callers, the engine or time.
func (m *model) step(t *rapid.T) {
	expected := draw(t, m.expected, "expected")
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		m.observe(rapid.IntRange(0, 4).Draw(t, "growth"))
	case 1, 2:
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
	case 3:
		m.reserve(t, prompts.Draw(t, "prompt"), headrooms.Draw(t, "headroom"))
	case 4:
		if expected != "" {
			m.running[expected] = m.expected[expected]
			delete(m.expected, expected)
		}
	case 5:
		delete(m.running, draw(t, m.running, "running"))
	case 6:
		m.Release(expected)
		delete(m.expected, expected)
	}
	for id, w := range m.expected {
		if m.now.Sub(w.grantedAt) > 800*time.Millisecond {
			delete(m.expected, id)
		}
	}
	if m.now.Sub(m.reported) > 100*time.Millisecond {
		m.observe(0)
	}
}

func (m *model) observe(growth int) {
	for _, w := range m.running {
		w.tokens += growth
	}
	m.growth[m.now] += growth * len(m.running)
	m.reported = m.now
	m.Observe(engineReport(len(m.running), total(m.running)), m.now)
}

// reserve reserves for a new request and checks what is granted. A repeated identifier
// must be granted without a second reservation.
func (m *model) reserve(t *rapid.T, prompt int, headroom float64) {
	m.serial++
	r := request(fmt.Sprint(m.serial), prompt, headroom)
	r.ConcurrencyLimit = slots
	if !m.Reserve(r, m.now).Granted {
		return
	}
	before := m.State(m.now)
	require.Equal(t, Decision{Granted: true}, m.Reserve(r, m.now))
	require.Equal(t, before, m.State(m.now), "reserved twice")
	m.expected[r.ID] = &work{prompt, m.now}
	recentGrowth := 0
	for grownAt, tokens := range m.growth {
		if m.now.Sub(grownAt) <= lifetime {
			recentGrowth += tokens
		}
	}
	claimed := total(m.running) + total(m.expected)
	require.LessOrEqual(t, float64(claimed), (1-headroom)*memory+float64(recentGrowth))
	require.LessOrEqual(t, len(m.running)+len(m.expected), slots)
}

// Guards against the same room granted to several requests, which a report of other
// work, a lost or late request, a release or a retry with the same identifier could
// cause. What a run grows can be taken for the arrival of a prompt, so that the bound
// holds up to the growth during the lifetime of a reservation.
func TestGrantedWorkFitsIntoMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.observe(0)
		for range 120 {
			m.step(t)
		}
	})
}

// Guards against an urgent request that is refused where a less urgent one, which must
// leave memory free, would be granted.
func TestUrgentRequestIsGrantedWhereAnotherWouldBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.observe(0)
		for range 40 {
			m.step(t)
		}
		other := request("other", prompts.Draw(t, "prompt"), headrooms.Draw(t, "headroom"))
		other.Priority, other.ConcurrencyLimit = 5, slots
		if m.Reserve(other, m.now).Granted {
			m.Release("other")
			urgent := other
			urgent.ID, urgent.Priority, urgent.Headroom = "urgent", 0, 0
			require.True(t, m.Reserve(urgent, m.now).Granted)
		}
	})
}

// Guards against room that stays reserved after its work has appeared, was released or
// never arrives, and against a report of earlier work that ends a reservation.
func TestReservationsEnd(t *testing.T) {
	s := New()
	s.Observe(engineReport(0, 0), at(0))
	s.Observe(engineReport(2, 6000), at(5))
	for _, id := range []string{"shown", "lost", "released"} {
		require.True(t, s.Reserve(request(id, 3000, 0), at(10)).Granted)
	}
	require.True(t, s.Release("released"))
	require.False(t, s.Release("released"))
	s.Observe(engineReport(3, 9000), at(30))
	s.Observe(engineReport(3, 9000), at(109))
	require.Equal(t, 2, s.State(at(109)).Open, "younger than 100 ms")
	s.Observe(engineReport(3, 9000), at(110))
	require.Equal(t, 1, s.State(at(110)).Open, "the report shows one of two")
	s.Observe(engineReport(4, 9100), at(500))
	require.Equal(t, 3000, s.State(at(1009)).Reserved, "a request of 100 tokens is not the expected one")
	require.Zero(t, s.State(at(1010)).Reserved)
	require.Equal(t, 1, s.State(at(1010)).Expired)
}

// Guards against an engine that gets no work because its reporter has no recent report,
// and against reservations of an engine that has restarted.
func TestDecisionsWithoutReportAreUnconfirmed(t *testing.T) {
	unconfirmed := Decision{Granted: true, Unconfirmed: true}
	s := New()
	require.Equal(t, unconfirmed, s.Reserve(request("a", 30000, 0), at(0)))
	s.Observe(directory.Report{Incarnation: 7}, at(0))
	require.Equal(t, unconfirmed, s.Reserve(request("a", 30000, 0), at(0)), "no memory total")
	s.Observe(engineReport(0, 0), at(10))
	require.Equal(t, Decision{Granted: true}, s.Reserve(request("a", 9000, 0), at(1509)))
	require.Equal(t, unconfirmed, s.Reserve(request("b", 9000, 0), at(1510)))
	require.Equal(t, 1, s.State(at(1510)).Open)
	restarted := engineReport(0, 0)
	restarted.Incarnation = 8
	s.Observe(restarted, at(1520))
	require.Zero(t, s.State(at(1520)).Open)
}

// Guards against reservations without bound, and against a refusal that does not say
// when to try again.
func TestNumberIsBounded(t *testing.T) {
	s := New()
	s.Observe(engineReport(0, 0), at(0))
	for i := range MaxOpen {
		require.True(t, s.Reserve(request(fmt.Sprint(i), 1, 0), at(100)).Granted)
	}
	require.Equal(t, Decision{Reason: ReasonTooMany, RetryIn: 600 * time.Millisecond}, s.Reserve(request("more", 1, 0), at(500)))
	require.True(t, s.Reserve(request("more", 1, 0), at(1100)).Granted)
}

// Guards against refusals without a reason, and against estimates that are longer or
// shorter than the engine takes to free the memory or the slots.
func TestRefusalsHaveReasonAndEstimate(t *testing.T) {
	s := New()
	s.Observe(engineReport(4, 20000), at(0))
	require.Equal(t, Decision{Reason: ReasonMemory}, s.Reserve(request("a", 12000, 0), at(0)), "the rate is unknown")
	// Each 100 ms a run of 2,000 tokens ends, and one that takes up its room arrives.
	for i := range 100 {
		s.Observe(engineReport(3, 18000), at(100*i+50))
		s.Observe(engineReport(4, 20000), at(100*i+100))
	}
	now := at(10000)
	refusal := s.Reserve(request("a", 12000, 0), now)
	require.Equal(t, ReasonMemory, refusal.Reason)
	require.InDelta(t, 0.31, refusal.RetryIn.Seconds(), 0.03, "6,200 tokens at 20,000 a second")
	require.Equal(t, Decision{Reason: ReasonTooLarge}, s.Reserve(request("a", 24000, 0.12), now))
	full := request("a", 1, 0)
	full.ConcurrencyLimit = 4
	refusal = s.Reserve(full, now)
	require.Equal(t, ReasonSlots, refusal.Reason)
	require.InDelta(t, 0.1, refusal.RetryIn.Seconds(), 0.01)
	leaving := engineReport(0, 0)
	leaving.Leaving = true
	s.Observe(leaving, at(10010))
	require.Equal(t, Decision{Reason: ReasonLeaving}, s.Reserve(request("a", 1, 0), at(10010)))
}

// Guards against memory that running generations need for their output and that is
// granted to a prompt, or that is kept free although they do not grow.
func TestGrowthIsMeasured(t *testing.T) {
	s := New()
	s.Observe(engineReport(8, 10000), at(0))
	require.Equal(t, 8*2*defaultGrowth, s.State(at(0)).Growth)
	for i := range 1000 {
		s.Observe(engineReport(8, 10000+8*i), at(20*i))
	}
	require.InDelta(t, 8*2*50, s.State(at(20000)).Growth, 8, "a token each 20 ms")
	for i := range 1000 {
		s.Observe(engineReport(8, 18000), at(20000+20*i))
	}
	require.InDelta(t, 0, s.State(at(40000)).Growth, 8)
}

// Guards against values out of range that overflow, refuse work or free memory that is
// taken.
func TestValuesOutOfRangeGetDefaults(t *testing.T) {
	numbers := rapid.SampledFrom([]int{math.MinInt, -1, 0, 1, 9, 10, maxTokens, maxTokens + 1, math.MaxInt})
	shares := rapid.SampledFrom([]float64{math.NaN(), math.Inf(-1), -0.1, 0, 0.12, 1, 1.1, math.Inf(1)})
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		s.Observe(directory.Report{MemoryTotal: 1 << 40, MemoryUsed: numbers.Draw(t, "used") >> 20, Running: numbers.Draw(t, "running") >> 40}, at(0))
		r := Request{
			ID: "a", Priority: numbers.Draw(t, "priority"), PromptTokens: numbers.Draw(t, "prompt"),
			OutputTokens: numbers.Draw(t, "output"), Headroom: shares.Draw(t, "headroom"), ConcurrencyLimit: numbers.Draw(t, "limit"),
		}
		usable, _ := r.WithDefaults()
		_, again := usable.WithDefaults()
		require.False(t, again)
		if s.Reserve(r, at(0)).Granted {
			require.Equal(t, usable.PromptTokens, s.State(at(0)).Reserved)
		}
		require.Equal(t, Decision{Granted: true, Unconfirmed: true}, s.Reserve(Request{}, at(0)), "no identifier")
	})
}

// BenchmarkReserve decides on a request at an engine with 24 runs and 64 open
// reservations. Decisions share a lock with the polls, one each 15 ms.
func BenchmarkReserve(b *testing.B) {
	s := New()
	s.Observe(directory.Report{Incarnation: 7, Running: 24, MemoryUsed: 10000, MemoryTotal: 1 << 20}, at(0))
	for i := range 64 {
		s.Reserve(request(fmt.Sprint("request-", i), 3000, 0), at(0))
	}
	r := request("request-new", 3000, 0.12)
	b.ReportAllocs()
	for b.Loop() {
		if !s.Reserve(r, at(1)).Granted {
			b.Fatal("refused")
		}
		s.Release(r.ID)
	}
}

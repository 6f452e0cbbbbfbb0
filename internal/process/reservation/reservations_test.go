package reservation

import (
	"fmt"
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

// work is a granted request, which arrives within 800 ms of its grant or never.
type work struct {
	id        string
	tokens    int
	grantedAt time.Time
	running   bool
}

// model is an engine with the granted work, in any order of events.
type model struct {
	*Reservations
	now, reported time.Time
	works         []work
	// growth holds the tokens by which the runs grew before each recent report.
	growth map[time.Time]int
}

func (m *model) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "us")) * time.Microsecond)
	m.works = slices.DeleteFunc(m.works, func(w work) bool { return !w.running && m.now.Sub(w.grantedAt) > 800*time.Millisecond })
	i := rapid.IntRange(0, max(0, len(m.works)-1)).Draw(t, "work")
	switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
	case step == 0 || m.now.Sub(m.reported) > 100*time.Millisecond:
		m.observe(rapid.IntRange(0, 4).Draw(t, "growth"))
	case step <= 2 || len(m.works) == 0:
		m.reserve(t, prompts.Draw(t, "prompt"), headrooms.Draw(t, "headroom"))
	case step == 3:
		m.works[i].running = true
	default:
		if !m.works[i].running {
			m.Release(m.works[i].id)
		}
		m.works = slices.Delete(m.works, i, i+1)
	}
}

func (m *model) observe(growth int) {
	running, used := 0, 0
	for i := range m.works {
		if w := &m.works[i]; w.running {
			w.tokens += growth
			running++
			used += w.tokens
		}
	}
	m.growth[m.now] = growth * running
	m.reported = m.now
	m.Observe(engineReport(running, used), m.now)
}

// reserve reserves for a new request and checks what is granted.
func (m *model) reserve(t *rapid.T, prompt int, headroom float64) {
	r := request(m.now.String(), prompt, headroom)
	r.Priority, r.ConcurrencyLimit = 5, slots
	urgent := r
	urgent.ID, urgent.Priority, urgent.Headroom = "urgent", 0, 0
	grantsUrgent := m.Reserve(urgent, m.now).Granted
	m.Release("urgent")
	if !m.Reserve(r, m.now).Granted {
		return
	}
	require.True(t, grantsUrgent)
	before := m.State(m.now)
	require.Equal(t, Decision{Granted: true}, m.Reserve(r, m.now))
	require.Equal(t, before, m.State(m.now), "reserved twice")
	m.works = append(m.works, work{r.ID, prompt, m.now, false})
	claimed := 0
	for _, w := range m.works {
		claimed += w.tokens
	}
	for grownAt, tokens := range m.growth {
		if m.now.Sub(grownAt) <= lifetime {
			claimed -= tokens
		}
	}
	require.LessOrEqual(t, float64(claimed), (1-headroom)*memory)
	require.LessOrEqual(t, len(m.works), slots)
}

// Guards against the same room granted to several requests, which a report of other
// work, a lost or late request, a release or a retry with the same identifier could
// cause, and against an urgent request that is refused where one that must leave memory
// free is granted. What a run grows can be taken for the arrival of a prompt, so that
// the bound holds up to the growth during the lifetime of a reservation.
func TestGrantedWorkFitsIntoMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{Reservations: New(), now: start, growth: make(map[time.Time]int)}
		m.observe(0)
		for range 120 {
			m.step(t)
		}
	})
}

// Guards against short generations that are refused for the growth of others in a time in
// which they have ended, and against long ones that are granted without it.
func TestGrowthCountsForTheTimeOfTheRequest(t *testing.T) {
	s := New()
	s.Observe(engineReport(8, 22700), at(0))
	short, long := request("short", 2200, 0), request("long", 2200, 0)
	short.OutputTokens, long.OutputTokens = 8, 750
	require.Equal(t, ReasonMemory, s.Reserve(long, at(0)).Reason)
	require.Equal(t, ReasonMemory, s.Reserve(request("unknown", 2200, 0), at(0)).Reason)
	require.True(t, s.Reserve(short, at(0)).Granted)
}

// Guards against a prompt that counts twice for a second, because the engine had a part of
// it in its memory before.
func TestReservationEndsWithTheFirstEventOfItsRun(t *testing.T) {
	s := New()
	s.Observe(engineReport(2, 6000), at(0))
	require.True(t, s.Reserve(request("a", 3000, 0), at(10)).Granted)
	shown := engineReport(3, 7000)
	s.Observe(shown, at(200))
	require.Equal(t, 1, s.State(at(200)).Open)
	shown.Runs = []directory.Run{{ID: "b"}, {ID: "a", Events: 1}}
	s.Observe(shown, at(215))
	require.Zero(t, s.State(at(215)).Open)
}

// Guards against prompts that count twice until their first event, for the rest of an
// engine's life, because the rise of one run was hidden by the end of another: the rise
// of each later request would then be taken for that of the request before.
func TestHiddenRiseOfOneRunDoesNotDelayLaterReservations(t *testing.T) {
	s := New()
	s.Observe(engineReport(1, 3000), at(0))
	require.True(t, s.Reserve(request("a", 3000, 0), at(1)).Granted)
	// A run ends, and the prompt of a arrives between the same two reports.
	listed := engineReport(1, 3000)
	listed.Runs = []directory.Run{{ID: "a", MemoryTokens: 3000, Events: 1}}
	s.Observe(listed, at(200))
	require.Zero(t, s.State(at(200)).Open)
	require.True(t, s.Reserve(request("b", 3000, 0), at(201)).Granted)
	arrived := engineReport(1, 6000)
	arrived.Waiting, arrived.Runs = 1, listed.Runs
	s.Observe(arrived, at(400))
	require.Zero(t, s.State(at(400)).Open)
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

// Guards against refusals without a reason, against estimates that are longer or shorter
// than the engine takes to free the memory or the slots, and against reservations without
// bound.
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
	for i := range MaxOpen {
		require.True(t, s.Reserve(request(fmt.Sprint(i), 1, 0), now).Granted)
	}
	require.Equal(t, Decision{Reason: ReasonTooMany, RetryIn: time.Second}, s.Reserve(request("a", 1, 0), now))
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
	require.Equal(t, 8*2*defaultGrowth, s.Growth(Request{}))
	used, ms := 10000, 0
	for _, perRun := range []int{1, 0} {
		for range 1000 {
			used, ms = used+8*perRun, ms+20
			s.Observe(engineReport(8, used), at(ms))
		}
		require.InDelta(t, 8*2*50*perRun, s.Growth(Request{}), 8, "tokens in 20 ms")
	}
}

// Guards against values out of range that overflow, refuse work or free memory that is
// taken.
func TestValuesOutOfRangeGetDefaults(t *testing.T) {
	s := New()
	s.Observe(directory.Report{Running: -1, MemoryUsed: -1, MemoryTotal: 1 << 40}, at(0))
	require.Equal(t, Decision{Granted: true, Unconfirmed: true}, s.Reserve(Request{}, at(0)), "no identifier")
	for _, r := range []Request{
		{ID: "a", Priority: -1, PromptTokens: -1, OutputTokens: math.MinInt, Headroom: math.NaN(), ConcurrencyLimit: -1},
		{ID: "a", PromptTokens: math.MaxInt, OutputTokens: math.MaxInt, Headroom: math.Inf(1)},
	} {
		usable, changed := r.WithDefaults()
		require.True(t, changed)
		require.Equal(t, Request{ID: "a", PromptTokens: defaultPromptTokens}, usable)
		require.Equal(t, Decision{Granted: true}, s.Reserve(r, at(0)))
		require.Equal(t, defaultPromptTokens, s.State(at(0)).Reserved)
	}
	usable, _ := Request{Priority: 10, PromptTokens: 1, Headroom: 1}.WithDefaults()
	require.Equal(t, Request{Priority: 9, PromptTokens: 1, Headroom: 1}, usable)
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

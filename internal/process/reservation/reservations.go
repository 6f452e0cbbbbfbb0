package reservation

import (
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

// Reasons of refusals.
const (
	// ReasonMemory says that the memory is taken, reserved or needed by the growth of
	// running generations.
	ReasonMemory = "memory"
	// ReasonTooLarge says that the prompt does not fit beside the headroom even if the
	// engine is idle.
	ReasonTooLarge = "too_large"
	// ReasonSlots says that all slots of the engine are taken or reserved.
	ReasonSlots = "slots"
	// ReasonLeaving says that the engine is about to stop.
	ReasonLeaving = "leaving"
	// ReasonTooMany says that the number of open reservations has reached its bound.
	ReasonTooMany = "too_many_reservations"
)

const (
	// MaxOpen is the maximum number of open reservations.
	MaxOpen = 256
	// lifetime is how long a reservation holds if no report shows its work.
	lifetime = time.Second
	// minAge is the age from which a report may end a reservation. A request arrives
	// within it, so that work of others that a report shows in the meantime is not
	// taken for it.
	minAge = 100 * time.Millisecond
	// reportLifetime is how long a report is valid, as for the routers' directory.
	reportLifetime = 1500 * time.Millisecond
	// growthPeriod is the longest time for which running generations are expected to
	// grow. A request that ends earlier leaves its memory to them.
	growthPeriod = 2 * time.Second
	// prefillPeriod is the time that an engine is expected to need for a prompt beside
	// running generations.
	prefillPeriod = 400 * time.Millisecond
	// defaultGrowth is the assumed growth of a run in tokens per second until reports
	// show it: 4 tokens per event and 30 ms between events.
	defaultGrowth = 133
	// maxGrowth bounds a sample of the growth in tokens per second. An engine that
	// makes 4 tokens in 7 ms makes 571, and 16 tokens that are allocated at once look
	// like 1,067 between two reports; more is a prompt.
	maxGrowth = 2000
	// minElapsed is assumed between reports of the same time, as a rate needs a time
	// above 0.
	minElapsed = time.Microsecond
	// minRetryIn is the time between two reports, before which nothing changes.
	minRetryIn = 15 * time.Millisecond
	// maxRetryIn bounds the estimates, since a rate measured over 2 s says little about
	// a longer time.
	maxRetryIn = 2 * time.Second
)

// reservation is an open reservation.
type reservation struct {
	id        string
	prompt    int
	grantedAt time.Time
	// arrivals and rise are those of the Reservations at the time of the grant.
	arrivals, rise int
}

// Reservations holds the open reservations at one engine. It is not safe for concurrent
// use.
type Reservations struct {
	report directory.Report
	// reportedAt is when the report was taken, zero if there is none.
	reportedAt time.Time
	// open is sorted by the time of the grant and has at most MaxOpen elements.
	open []reservation
	// reserved is the sum of the prompts in open.
	reserved int
	// arrivals is the number of requests by which successive reports have risen, and
	// rise the number of tokens. Both omit rises that coincide with the end of a run.
	arrivals, rise int
	// usedArrivals and usedRise are the values of them up to which they have ended
	// reservations.
	usedArrivals, usedRise int
	// growth is in tokens per second and run, freed in tokens per second, ended in
	// requests per second.
	growth, freed, ended rate
	// shown and expired count the reservations that reports and their lifetime ended.
	shown, expired int
}

// New returns the reservations at an engine that has not reported yet.
func New() *Reservations { return &Reservations{growth: defaultGrowth} }

// Reserve decides on a request, and reserves its prompt and a slot if it is granted. A
// request whose ID has an open reservation is granted again without a second
// reservation. Without a recent report, or with an ID that identifies nothing, the
// decision is granted and Unconfirmed. Values out of range are replaced by defaults.
func (s *Reservations) Reserve(r Request, now time.Time) Decision {
	r, _ = r.WithDefaults()
	s.expire(now)
	switch {
	case !r.HasValidID() || !s.isCurrent(now):
		return Decision{Granted: true, Unconfirmed: true}
	case s.find(r.ID) >= 0:
		return Decision{Granted: true}
	}
	if refusal := s.refusal(r, now); refusal.Reason != "" {
		return refusal
	}
	s.open = append(s.open, reservation{id: r.ID, prompt: r.PromptTokens, grantedAt: now, arrivals: s.arrivals, rise: s.rise})
	s.reserved += r.PromptTokens
	return Decision{Granted: true}
}

// refusal returns the decision that refuses the request, the zero Decision if there is
// room for it. It does not depend on the priority: urgent requests ask with a smaller
// headroom.
func (s *Reservations) refusal(r Request, now time.Time) Decision {
	limit := (1 - r.Headroom) * float64(s.report.MemoryTotal)
	missing := float64(s.report.MemoryUsed+s.reserved+r.PromptTokens+s.Growth(r)) - limit
	requests := s.report.Waiting + s.report.Running + len(s.open)
	switch {
	case s.report.Leaving:
		return Decision{Reason: ReasonLeaving}
	case float64(r.PromptTokens) > limit:
		return Decision{Reason: ReasonTooLarge}
	case len(s.open) >= MaxOpen:
		return Decision{Reason: ReasonTooMany, RetryIn: max(minRetryIn, lifetime-now.Sub(s.open[0].grantedAt))}
	case r.ConcurrencyLimit > 0 && requests >= r.ConcurrencyLimit:
		return Decision{Reason: ReasonSlots, RetryIn: s.ended.timeFor(float64(requests - r.ConcurrencyLimit + 1))}
	case missing > 0:
		return Decision{Reason: ReasonMemory, RetryIn: s.freed.timeFor(missing)}
	default:
		return Decision{}
	}
}

// Release ends the reservation of the ID, if it is open.
func (s *Reservations) Release(id string) bool {
	i := s.find(id)
	if i < 0 {
		return false
	}
	s.reserved -= s.open[i].prompt
	s.open = append(s.open[:i], s.open[i+1:]...)
	return true
}

// Observe records a report that was taken at the time now, and ends the reservations
// whose work it shows. A report of another incarnation ends all. A report older than the
// latest one is ignored.
func (s *Reservations) Observe(r directory.Report, now time.Time) {
	r.Waiting, r.Running = max(0, r.Waiting), max(0, r.Running)
	r.MemoryUsed, r.MemoryTotal = max(0, r.MemoryUsed), max(0, r.MemoryTotal)
	switch {
	case s.reportedAt.IsZero() || r.Incarnation != s.report.Incarnation:
		*s = Reservations{growth: defaultGrowth, shown: s.shown, expired: s.expired}
	case now.Before(s.reportedAt):
		return
	default:
		s.measure(r, max(minElapsed, now.Sub(s.reportedAt)))
	}
	s.report, s.reportedAt = r, now
	s.expire(now)
	s.endShown(now)
}

// measure compares a report with the previous one.
func (s *Reservations) measure(r directory.Report, elapsed time.Duration) {
	requests := r.Waiting + r.Running - s.report.Waiting - s.report.Running
	tokens := r.MemoryUsed - s.report.MemoryUsed
	s.arrivals += max(0, requests)
	s.rise += max(0, tokens)
	s.ended.add(float64(max(0, -requests)), elapsed)
	s.freed.add(float64(max(0, -tokens)), elapsed)
	steady := r.Waiting == 0 && s.report.Waiting == 0 && r.Running > 0 && requests == 0
	if grown := float64(tokens) / float64(max(1, r.Running)); steady && grown >= 0 && grown <= maxGrowth*elapsed.Seconds() {
		s.growth.add(grown, elapsed)
	}
}

// endShown ends the reservations whose work the report shows. Each uses up a request and
// as many tokens as its prompt of the rises since its grant, the oldest first. So the
// prompts of all that end do not exceed what has appeared, whichever of the expected
// requests it was, and no room is granted twice.
func (s *Reservations) endShown(now time.Time) {
	kept := s.open[:0]
	for _, o := range s.open {
		arrivals, rise := max(o.arrivals, s.usedArrivals)+1, max(o.rise, s.usedRise)+o.prompt
		isShown := now.Sub(o.grantedAt) >= minAge && arrivals <= s.arrivals && rise <= s.rise
		if !isShown && !s.isRunning(o.id) {
			kept = append(kept, o)
			continue
		}
		// A run whose rise was not seen is listed now, so that its rise cannot follow.
		// Beyond the present values, it would be taken from that of a later request.
		s.usedArrivals, s.usedRise = min(arrivals, s.arrivals), min(rise, s.rise)
		s.reserved -= o.prompt
		s.shown++
	}
	s.open = kept
}

// isRunning reports whether the report lists a run of the request. A run is listed from
// its first event on, and its prompt is part of the memory in use then, also where a
// rise by the whole prompt was not seen.
func (s *Reservations) isRunning(id string) bool {
	return slices.ContainsFunc(s.report.Runs, func(r directory.Run) bool { return r.ID == id })
}

// expire ends the reservations whose lifetime has ended.
func (s *Reservations) expire(now time.Time) {
	count := 0
	for count < len(s.open) && now.Sub(s.open[count].grantedAt) >= lifetime {
		s.reserved -= s.open[count].prompt
		count++
	}
	s.expired += count
	s.open = append(s.open[:0], s.open[count:]...)
}

func (s *Reservations) find(id string) int {
	for i := range s.open {
		if s.open[i].id == id {
			return i
		}
	}
	return -1
}

// isCurrent reports whether the latest report is recent and states the memory.
func (s *Reservations) isCurrent(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportLifetime && s.report.MemoryTotal > 0
}

// runTime returns the time for which the request is expected to hold its memory, at
// most growthPeriod. Unknown outputs count as long.
func (s *Reservations) runTime(r Request) time.Duration {
	if r.OutputTokens == 0 || s.growth <= 0 {
		return growthPeriod
	}
	output := float64(r.OutputTokens) / float64(s.growth) * float64(time.Second)
	return time.Duration(min(float64(growthPeriod), float64(prefillPeriod)+output))
}

// Growth returns the tokens by which the running generations are expected to grow while
// the request runs, in growthPeriod at most.
func (s *Reservations) Growth(r Request) int {
	return int(float64(s.growth) * s.runTime(r).Seconds() * float64(s.report.Running))
}

// State is what a decision depends on, for logs and metrics.
type State struct {
	Report directory.Report
	// ReportAge is 0 if there is no report.
	ReportAge time.Duration
	// Open is the number of open reservations, and Reserved the sum of their prompts
	// in tokens.
	Open, Reserved int
	// Shown and Expired count the reservations that ended because a report showed
	// their work, and because none did.
	Shown, Expired int
}

// State returns the present state.
func (s *Reservations) State(now time.Time) State {
	s.expire(now)
	state := State{
		Report: s.report, Open: len(s.open), Reserved: s.reserved, Shown: s.shown, Expired: s.expired,
	}
	if !s.reportedAt.IsZero() {
		state.ReportAge = now.Sub(s.reportedAt)
	}
	return state
}

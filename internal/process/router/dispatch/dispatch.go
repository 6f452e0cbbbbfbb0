package dispatch

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/version/route"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

const (
	// DefaultHeadroom is the share of an engine's memory that must stay free beside a
	// request that can wait. It is enough for one urgent prompt, or for one run that
	// moves to the engine.
	DefaultHeadroom = 0.12
	// maxPriority is the priority of the least urgent requests.
	maxPriority = 9
	// defaultRank is the rank of a request at engines, which they also assume without
	// one, and lateRank that of a late one.
	defaultRank = 5
	lateRank    = 6
	// minTargetExcess is how much longer the latency target of a route that can wait
	// is than that of the most urgent route. Less leaves no time to wait after the
	// prompt's own.
	minTargetExcess = time.Second
	// maxPromptTokens bounds the size of a prompt also where the memory of the engines is
	// unknown or implausible, so that the time of the prompt cannot overflow.
	maxPromptTokens = 1 << 31
	// promptTokensPerMillisecond is the assumed rate at which an engine processes
	// prompts while it also generates.
	promptTokensPerMillisecond = 7
	// sendMargin is the time from the send of a request to the start of its prompt,
	// and from the end of its prompt to the first event at the caller.
	sendMargin = 300 * time.Millisecond
)

// Policy is the policy of one version of the route table. It is immutable.
type Policy struct {
	// services holds the services for which the policy is enabled.
	services map[string]urgentRoutes
}

// urgentRoutes describes the most urgent streaming routes of a service.
type urgentRoutes struct {
	priority int
	// target is the shortest latency target of these routes.
	target time.Duration
}

// New returns the policy of the route table.
func New(t *routetable.Table) *Policy {
	p := &Policy{services: make(map[string]urgentRoutes)}
	mostUrgent := make(map[string]urgentRoutes)
	eachStream(t, func(r *route.Route, service string) {
		u, known := mostUrgent[service]
		priority, _ := clamp(r.Priority)
		if !known || priority < u.priority || priority == u.priority && r.LatencyTarget < u.target {
			mostUrgent[service] = urgentRoutes{priority: priority, target: r.LatencyTarget}
		}
	})
	eachStream(t, func(r *route.Route, service string) {
		priority, _ := clamp(r.Priority)
		if u := mostUrgent[service]; u.allowsWait(r, priority) {
			p.services[service] = u
		}
	})
	return p
}

// eachStream calls f with each streaming route that has a latency target, and each
// service with engines to which it sends requests.
func eachStream(t *routetable.Table, f func(r *route.Route, service string)) {
	routes := t.Routes()
	for i := range routes {
		r := &routes[i]
		if r.Kind != route.Streaming || r.LatencyTarget <= 0 {
			continue
		}
		for _, share := range r.Shares {
			s := t.Service(share.Service)
			if share.Weight > 0 && s != nil && s.Engine != nil {
				f(r, share.Service)
			}
		}
	}
}

// allowsWait reports whether a request of the route with the priority can wait for
// the most urgent ones.
func (u urgentRoutes) allowsWait(r *route.Route, priority int) bool {
	return r.Kind == route.Streaming && priority > u.priority && r.LatencyTarget >= u.target+minTargetExcess
}

// clamp returns the priority within its range, and whether it was outside.
func clamp(priority int) (clamped int, invalid bool) {
	clamped = max(0, min(maxPriority, priority))
	return clamped, clamped != priority
}

// Request describes a request of a caller.
type Request struct {
	Route   *route.Route
	Service *routetable.Service
	// AccountPriority overrides the priority of the route; nil keeps the route's.
	AccountPriority *int
	// PromptTokens is the size of the prompt in tokens, 0 for unknown.
	PromptTokens int
	// Received is when the router received the request, Deadline when it must be
	// answered.
	Received, Deadline time.Time
}

// Decision is how a request is dispatched.
type Decision struct {
	// Enabled is true if the policy is enabled for the service. The other fields are
	// zero otherwise.
	Enabled bool
	// Priority is the priority of the request, from 0 for the most urgent to 9.
	Priority int
	// CanWait is true if the request may wait at the router until SendBy.
	CanWait bool
	SendBy  time.Time
	// Target is the time after which the request is late, zero for never.
	Target time.Time
	// PromptTokens is the expected size of the prompt, and PromptTime the time that it is
	// expected to need at an engine.
	PromptTokens int
	PromptTime   time.Duration
	// DeadlineTooShort is true if the deadline leaves less than the stated prompt needs.
	DeadlineTooShort bool
	// InvalidPriority is true if the configured priority is out of range, InvalidSize if
	// the size of the prompt is missing or exceeds an engine's memory. Both are replaced.
	InvalidPriority, InvalidSize bool
}

// Decide returns how the request is dispatched.
func (p *Policy) Decide(r Request) Decision {
	u, enabled := p.services[r.Service.Name]
	if !enabled {
		return Decision{}
	}
	d := Decision{Enabled: true}
	configured := r.Route.Priority
	if r.AccountPriority != nil {
		configured = *r.AccountPriority
	}
	d.Priority, d.InvalidPriority = clamp(configured)
	d.PromptTokens, d.InvalidSize = plausibleSize(r.PromptTokens, r.Service.Engine.MemoryTokens)
	d.PromptTime = time.Duration(d.PromptTokens) * time.Millisecond / promptTokensPerMillisecond
	// A request is not refused for a size that is only assumed.
	d.DeadlineTooShort = r.PromptTokens > 0 && r.Deadline.Sub(r.Received) < d.PromptTime
	if r.Route.LatencyTarget <= 0 {
		return d
	}
	d.Target = r.Received.Add(r.Route.LatencyTarget)
	d.CanWait = u.allowsWait(r.Route, d.Priority)
	d.SendBy = earlier(d.Target, r.Deadline).Add(-d.PromptTime - sendMargin)
	return d
}

// plausibleSize returns the size of a prompt for an engine with the memory, both in
// tokens, and whether the stated size is missing or exceeds the memory, or
// maxPromptTokens if the memory is unknown. A missing size is assumed to be that of a
// prompt for which DefaultHeadroom is enough.
func plausibleSize(stated, memory int) (tokens int, invalid bool) {
	memory = min(max(0, memory), maxPromptTokens)
	limit := memory
	if memory == 0 {
		limit = maxPromptTokens
	}
	switch {
	case stated <= 0:
		return int(DefaultHeadroom * float64(memory)), true
	case stated > limit:
		return limit, true
	default:
		return stated, false
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Rank returns the rank that an engine gets with the request. It is less urgent for a late
// request and does not depend on the priority: an engine whose memory is full preempts
// running generations for a more urgent request, and what it has to process again costs
// callers more than the wait.
func (d Decision) Rank(now time.Time) int {
	if d.Target.IsZero() || !now.After(d.Target) {
		return defaultRank
	}
	return lateRank
}

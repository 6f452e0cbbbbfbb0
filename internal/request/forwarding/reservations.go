package forwarding

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/reservation"
	"github.com/flamingohold/flamingohold/internal/process/router/dispatch"
	"github.com/flamingohold/flamingohold/internal/process/router/selection"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// maxReservationsAsked is the number of engines that a request asks for room at a time.
// Each call delays the request by a round trip.
const maxReservationsAsked = 3

// maxUnevenAsked is maxReservationsAsked where the engines are uneven: fast engines are
// asked first, and more calls are needed to reach a slower one with room.
const maxUnevenAsked = 6

// tablePolicy is the dispatch policy of a route table.
type tablePolicy struct {
	table  *routetable.Table
	policy *dispatch.Policy
}

// policyOf returns the dispatch policy of the route table.
func (f *Forwarder) policyOf(t *routetable.Table) *dispatch.Policy {
	if cached := f.policy.Load(); cached != nil && cached.table == t {
		return cached.policy
	}
	p := dispatch.New(t)
	f.policy.Store(&tablePolicy{table: t, policy: p})
	return p
}

// decideDispatch decides how the request is dispatched, or returns why it is refused.
func (c *call) decideDispatch() *refusal {
	c.dispatch = c.dispatchDecision()
	if c.dispatch.InvalidPriority {
		c.Metrics.invalidInput("priority")
	}
	if c.dispatch.InvalidSize {
		c.Metrics.invalidInput("prompt_tokens")
	}
	return c.refuseTooShort()
}

// dispatchDecision returns how the request is dispatched.
func (c *call) dispatchDecision() dispatch.Decision {
	if c.Reservations == nil {
		return dispatch.Decision{}
	}
	return c.policyOf(c.table).Decide(dispatch.Request{
		Route: c.route, Service: c.service, AccountPriority: c.accountPriority,
		PromptTokens: c.sizes.Prompt, Received: c.received, Deadline: c.deadline,
	})
}

// refuseTooShort refuses a request whose deadline leaves less than its prompt needs.
func (c *call) refuseTooShort() *refusal {
	if !c.dispatch.DeadlineTooShort {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "deadline_too_short", retryAfter: busyRetryAfter,
		err: errors.Newf("%s are left, but the prompt needs %s", c.deadline.Sub(c.received), c.dispatch.PromptTime),
	}
}

// reservationState is the state of a request's reservations in one attempt.
type reservationState struct {
	// id identifies the request to reporters.
	id string
	// granted is true from the grant until the reservation is released or used.
	granted bool
	// asked is the number of engines asked, last the decision of the last one.
	asked int
	last  reservation.Decision
}

// String returns the result of the last reservation in logs.
func (s reservationState) String() string {
	switch {
	case s.asked == 0:
		return "none"
	case s.last.Unconfirmed:
		return "unconfirmed"
	case s.last.Granted:
		return "granted"
	default:
		return "refused"
	}
}

// searchMode is how an upstream is chosen for a request.
type searchMode int

const (
	// searchByScore: the upstream with the lowest score gets the request.
	searchByScore searchMode = iota
	// searchForRoom: the best engines are asked for room at once, before searchByScore.
	searchForRoom
	// searchByPace is searchForRoom for a long output at a service whose engines are
	// uneven. All routers prefer the same few fast engines there, and would together
	// preempt generations.
	searchByPace
	// searchInQueue: the request waits in the queue until an engine grants room.
	searchInQueue
)

// searchMode returns how an upstream is chosen for the request. The function request
// returns the request for the selection.
func (c *call) searchMode(now time.Time, request func() selection.Request) searchMode {
	switch {
	case c.dispatch.Enabled && (!c.dispatch.CanWait || c.mayHaveRun):
		// A request that may have run cannot be rejected as not run, so that it must not
		// enter the queue.
		return searchForRoom
	case c.dispatch.Enabled && (!now.Before(c.dispatch.SendBy) || !c.Queue.CanHold(len(c.body))):
		return searchByScore
	case c.dispatch.Enabled:
		return searchInQueue
	case c.Reservations == nil || c.route.MaxEventGap <= 0 || c.mayHaveRun:
		return searchByScore
	}
	if r := request(); selection.IsLong(r) && r.EventTimes.AreUneven() {
		return searchByPace
	}
	return searchByScore
}

// room returns the search for room in the mode. In the queue, it is the first search of
// a request.
func (m searchMode) room(headroom float64) roomSearch {
	switch m {
	case searchInQueue:
		return roomSearch{headroom: headroom}
	case searchByPace:
		return roomSearch{engines: maxUnevenAsked, skipFull: true}
	default:
		return roomSearch{}
	}
}

// roomSearch describes a search for room.
type roomSearch struct {
	// headroom is the share of an engine's memory that must stay free.
	headroom float64
	// skipFull is true if engines whose report shows no room are not asked.
	skipFull bool
	// engines is the largest number of engines that are asked, 0 for
	// maxReservationsAsked.
	engines int
	// until is when no further engine is asked, zero for no limit.
	until time.Time
}

// maxAsked returns the number of engines that are asked at a time.
func (s roomSearch) maxAsked() int { return max(maxReservationsAsked, s.engines) }

// ended reports whether no further engine is asked.
func (s roomSearch) ended(ctx context.Context, now time.Time) bool {
	return ctx.Err() != nil || !s.until.IsZero() && !now.Before(s.until)
}

// roomResult is the result of asking engines for room.
type roomResult int

const (
	// roomGranted: an engine granted a reservation.
	roomGranted roomResult = iota
	// roomRefused: no engine granted one.
	roomRefused
	// noCandidate: no upstream may get the request.
	noCandidate
)

// reserve asks upstreams in order of their scores for a reservation and chooses the
// first that grants one.
func (c *call) reserve(ctx context.Context, s roomSearch) (directory.View, func(), roomResult) {
	views, request := c.candidates()
	return c.reserveAmong(ctx, views, request, s)
}

// reserveAmong is reserve among the candidates. It changes them.
func (c *call) reserveAmong(ctx context.Context, views []directory.View, request selection.Request, s roomSearch) (directory.View, func(), roomResult) {
	if !selection.HasCandidate(views, request) {
		return directory.View{}, nil, noCandidate
	}
	request.Exclude = maps.Clone(c.tried)
	c.blockWithoutPermit(views)
	if s.skipFull {
		c.blockFull(views, request, s.headroom)
	}
	for range s.maxAsked() {
		if s.ended(ctx, c.Clock()) || !selection.HasCandidate(views, request) {
			break
		}
		v, _ := selection.Choose(views, request, rand.Float64)
		request.Exclude[v.ID] = true
		if c.reserveAt(ctx, v, s.headroom) {
			c.tried[v.ID] = true
			return v, c.begin(v, views, request), roomGranted
		}
	}
	return directory.View{}, nil, roomRefused
}

// promptTokens returns the size of the prompt for which room is needed, in tokens: the one
// that the policy assumes, or the stated one where the policy is not enabled.
func (c *call) promptTokens() int {
	if c.dispatch.Enabled {
		return c.dispatch.PromptTokens
	}
	return c.sizes.Prompt
}

// blockFull blocks the upstreams whose report shows no room for the request and the
// headroom.
func (c *call) blockFull(views []directory.View, r selection.Request, headroom float64) {
	for i := range views {
		if v := &views[i]; !c.hasRoom(v, r, headroom) {
			v.Blocked = true
		}
	}
}

// blockWithoutPermit blocks the upstreams that refused the request for a limit or a pause
// which has not ended. A reservation there could not be used.
func (c *call) blockWithoutPermit(views []directory.View) {
	if len(c.admitsAt) == 0 {
		return
	}
	now := c.Clock()
	for i := range views {
		if now.Before(c.admitsAt[views[i].ID]) {
			views[i].Blocked = true
		}
	}
}

// hasRoom reports whether the report of the upstream shows room for the request and the
// headroom.
func (c *call) hasRoom(v *directory.View, r selection.Request, headroom float64) bool {
	r.Tokens = c.promptTokens() + int(headroom*float64(max(v.MemoryTotal, r.MemoryTokens)))
	return selection.HasRoom(v, r)
}

// reserveAt reports whether the upstream grants a reservation and may get the request.
func (c *call) reserveAt(ctx context.Context, v directory.View, headroom float64) bool {
	s := &c.reservation
	if s.id == "" {
		s.id = c.reservationID()
	}
	s.last = c.Reservations.Reserve(ctx, v, reservation.Request{
		ID: s.id, Priority: c.dispatch.Priority, PromptTokens: c.promptTokens(), OutputTokens: c.sizes.Output, Headroom: headroom,
	})
	s.asked++
	c.Metrics.reservation(s.String())
	if !s.last.Granted {
		return false
	}
	s.granted = true
	if ctx.Err() == nil && c.acquire(ctx, v, func() bool { return false }) {
		return true
	}
	c.releaseReservation(v)
	return false
}

// reservationID returns the identifier of the request if reporters accept it, else a
// random one.
func (c *call) reservationID() string {
	if (reservation.Request{ID: c.id}).HasValidID() {
		return c.id
	}
	return strconv.FormatUint(rand.Uint64(), 36)
}

// releaseReservation releases the reservation at the upstream, if there is one. The
// reporter may hold one that was not confirmed.
func (c *call) releaseReservation(v directory.View) {
	if !c.reservation.granted {
		return
	}
	c.reservation.granted = false
	c.Reservations.ReleaseReservation(v, c.reservation.id)
}

// endReservation ends the reservation of a request that was sent to the upstream. The
// reporter ends that of a request that runs when it sees the work.
func (c *call) endReservation(v directory.View, o outcome) {
	switch o {
	case unsent, withdrawn, misaddressed, declined:
		c.releaseReservation(v)
	case answered, lost:
		c.reservation.granted = false
	}
}

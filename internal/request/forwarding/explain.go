package forwarding

import (
	"cmp"
	"slices"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/router/explanation"
	"github.com/flamingohold/flamingohold/internal/process/router/selection"
	"github.com/flamingohold/flamingohold/internal/process/router/waitqueue"
	"github.com/flamingohold/flamingohold/internal/request/headers"
)

// The reasons of an explanation whose outcome is not a refusal.
const (
	// reasonLowestScore: the request goes to the engine with the lowest score.
	reasonLowestScore = "lowest_score"
	// reasonAsksForRoom: it goes to the first engine that grants room, or else to the
	// one with the lowest score.
	reasonAsksForRoom = "asks_for_room"
	// reasonReportShowsRoom: the request can wait, but reports show room for it.
	reasonReportShowsRoom = "report_shows_room"
	// reasonBehindOthers: other requests of the service are before it in the queue.
	reasonBehindOthers = "behind_others"
	// reasonNoRoom: no report of an engine that would be asked shows room.
	reasonNoRoom = "no_room"
)

// Explain returns what the forwarder would do now with a request that is described by the
// query. It uses the functions that decide on requests, but only those that change
// nothing: it asks for no reservation and no permit, counts nothing and takes no token of
// a rate. What only these would tell, it cannot know.
func (f *Forwarder) Explain(q explanation.Query) explanation.Explanation {
	c := &call{Forwarder: f, received: f.Clock(), tried: make(map[string]bool)}
	c.sizes = headers.Sizes{Prompt: q.PromptTokens, Output: q.OutputTokens, MaxOutput: q.OutputTokens}
	e := explanation.Explanation{
		Time: c.received, DataCentre: f.DataCentre, Engines: []explanation.Engine{}, Excluded: []explanation.Exclusion{},
	}
	refused := c.explainPreparation(q, &e)
	if refused == nil {
		refused = c.explainChoice(&e)
	}
	if refused != nil {
		e.Outcome, e.Reason, e.Status = explanation.Refuse, refused.reason, refused.status
	}
	return e
}

// explainPreparation does what prepare does for a request without header and body.
func (c *call) explainPreparation(q explanation.Query, e *explanation.Explanation) *refusal {
	refused := c.findRoute(q.Host, q.Path)
	if c.table != nil {
		e.TableVersion = c.table.Version()
	}
	if refused != nil {
		return refused
	}
	e.Route, e.Kind = c.route.Name, c.route.Kind.String()
	account, known := c.table.AccountNamed(q.Account)
	if refused := c.admitAccount(account, known && q.Account != ""); refused != nil {
		return refused
	}
	e.Account = c.account
	e.Service, e.Services = c.explainShares()
	if refused := c.findService(e.Service); refused != nil {
		return refused
	}
	c.setRouteDeadline()
	if refused := c.refuseUnfinishable(c.received); refused != nil {
		return refused
	}
	c.dispatch = c.dispatchDecision()
	c.explainDispatch(e)
	return c.refuseTooShort()
}

// explainShares returns the service with the largest weight, and all services if there
// are several.
func (c *call) explainShares() (service string, all []explanation.Share) {
	largest := c.route.Shares[0]
	for _, s := range c.route.Shares {
		if s.Weight > largest.Weight {
			largest = s
		}
		all = append(all, explanation.Share{Service: s.Service, Weight: s.Weight})
	}
	if len(all) == 1 {
		return largest.Service, nil
	}
	return largest.Service, all[:min(len(all), explanation.MaxEngines)]
}

func (c *call) explainDispatch(e *explanation.Explanation) {
	d := c.dispatch
	if !d.Enabled {
		return
	}
	rank := d.Rank(c.received)
	e.PolicyEnabled, e.Priority, e.Rank, e.CanWait = true, &d.Priority, &rank, d.CanWait
	if d.CanWait {
		e.SendBy = &d.SendBy
	}
	if d.InvalidSize {
		e.PromptTokens = d.PromptTokens
	}
}

// explainChoice sets the upstreams and the outcome, as chooseUpstream would choose.
func (c *call) explainChoice(e *explanation.Explanation) *refusal {
	views, unusable := c.Directory.Inspect(c.service.Name, c.received)
	request := c.selectionOf(views)
	c.explainExcluded(views, unusable, e)
	mode := c.searchMode(c.received, func() selection.Request { return request })
	scores := selection.Scores(views, request)
	e.TieMargin = selection.MaxJitter
	search := mode.room(c.Headroom)
	asked, hasRoom := c.explainEngines(scores, request, mode, search, e)
	if mode != searchByScore {
		e.Reservation = &explanation.Reservation{Engines: search.maxAsked(), Headroom: search.headroom}
	}
	if mode == searchInQueue {
		if refused := c.explainQueue(e); refused != nil {
			return refused
		}
	}
	if len(scores) == 0 {
		refused := c.noUpstream()
		return &refused
	}
	e.Outcome, e.Reason = explanation.Send, reasonLowestScore
	switch {
	case mode == searchInQueue && e.Queue.Ahead > 0:
		e.Outcome, e.Reason = explanation.Wait, reasonBehindOthers
	case mode == searchInQueue && !hasRoom:
		e.Outcome, e.Reason = explanation.Wait, reasonNoRoom
	case mode == searchInQueue:
		e.Reason = reasonReportShowsRoom
	case asked > 0:
		e.Reason = reasonAsksForRoom
	}
	return nil
}

// explainQueue sets the place in the queue, or returns the refusal of a request for which
// the queue has no space. The size of the body is not known and counts as 0.
func (c *call) explainQueue(e *explanation.Explanation) *refusal {
	o := c.Queue.Inspect(waitqueue.Request{Service: c.service.Name, Priority: c.dispatch.Priority, Arrived: c.received})
	e.Queue = &explanation.Queue{Ahead: o.Ahead, Queued: o.Queued}
	if o.IsFull {
		return queueFull(0)
	}
	return nil
}

// explainEngines sets the upstreams that may get the request. It returns how many would be
// asked for room, and whether the report of one of these shows room.
func (c *call) explainEngines(scores []selection.Scored, r selection.Request, m searchMode, s roomSearch, e *explanation.Explanation) (asked int, hasRoom bool) {
	for i := range scores {
		engine := c.explainEngine(&scores[i], r, s)
		engine.IsTied = i > 0 && scores[i].Total < scores[0].Total+selection.MaxJitter
		if m != searchByScore && asked < s.maxAsked() && (engine.HasRoom || !s.skipFull) {
			engine.IsAsked = true
			asked++
			hasRoom = hasRoom || engine.HasRoom
		}
		if i < explanation.MaxEngines {
			e.Engines = append(e.Engines, engine)
		}
	}
	e.EnginesOmitted = len(scores) - len(e.Engines)
	return asked, hasRoom
}

func (c *call) explainEngine(s *selection.Scored, r selection.Request, search roomSearch) explanation.Engine {
	v := &s.View
	engine := explanation.Engine{
		ID: v.ID, DataCentre: v.DataCentre, Score: s.Total, Parts: explanation.PartsOf(s.Parts), HasRoom: c.hasRoom(v, r, search.headroom),
		Reported: v.Reported, ReportAge: explanation.Milliseconds(v.ReportAge), Running: v.Running, Waiting: v.Waiting,
		MemoryUsed: v.MemoryUsed, MemoryTotal: v.MemoryTotal, EventTime: explanation.Milliseconds(v.EventTime),
		Calls: v.Calls, FailureRate: v.FailureRate,
	}
	if limit := c.Limits.Limit(incarnation(*v)); limit.Limited {
		engine.StatedLimit = &limit.PerSecond
	}
	return engine
}

// explainExcluded sets the upstreams that may not get the request: the blocked ones of the
// usable views, and the unusable ones.
func (c *call) explainExcluded(usable, unusable []directory.View, e *explanation.Explanation) {
	for i := range usable {
		v := &usable[i]
		if !v.Blocked {
			continue
		}
		left := c.Gate.PauseLeft(*v)
		x := explanation.Exclusion{ID: v.ID, DataCentre: v.DataCentre, Reason: explanation.Paused, TimeLeft: explanation.Milliseconds(left)}
		if left <= 0 && v.Cold {
			x.Reason = explanation.RateUsedUp
		}
		e.Excluded = append(e.Excluded, x)
	}
	for i := range unusable {
		v := &unusable[i]
		x := explanation.Exclusion{ID: v.ID, DataCentre: v.DataCentre, Reason: explanation.DataCentreOut}
		switch {
		case v.Removed:
			x.Reason = explanation.Removed
		case v.Leaving:
			x.Reason = explanation.Leaving
		}
		e.Excluded = append(e.Excluded, x)
	}
	slices.SortFunc(e.Excluded, func(a, b explanation.Exclusion) int { return cmp.Compare(a.ID, b.ID) })
	shown := min(len(e.Excluded), explanation.MaxEngines)
	e.ExcludedOmitted = len(e.Excluded) - shown
	e.Excluded = e.Excluded[:shown]
}

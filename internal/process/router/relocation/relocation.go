package relocation

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/router/selection"
	"github.com/flamingohold/flamingohold/internal/process/router/sendgate"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

const (
	// finalCopyThreshold is the duration of a copy below which little memory is
	// left to copy, so that the final copy stops the run only briefly.
	finalCopyThreshold = 25 * time.Millisecond
	// maxPreCopies bounds the number of copies before the final one.
	maxPreCopies = 6
	// maxTargets bounds the number of upstreams tried as target of one move.
	maxTargets = 4
	// maxTargetProbes bounds the number of upstreams queried in one pass for a
	// free link.
	maxTargetProbes = 5
	// maxTargetWait bounds the wait for an upstream whose link is free.
	maxTargetWait = 500 * time.Millisecond
	// retryDelay is the time before a step that may soon succeed is retried.
	retryDelay = 20 * time.Millisecond
	// moveTimeout bounds a whole move.
	moveTimeout = 6 * time.Second
	// copyTimeout bounds one copy.
	copyTimeout = 3 * time.Second
	// freeTimeout bounds the call that releases a copy.
	freeTimeout = 500 * time.Millisecond
	// finalTimeout bounds the final copy, during which the run is stopped.
	finalTimeout = 2 * time.Second
)

// Directory returns the known upstreams.
type Directory interface {
	Service(service string, now time.Time) []directory.View
	Upstream(id string, now time.Time) (directory.View, bool)
}

// Turns grants the link of an upstream to one copy at a time.
type Turns interface {
	// Acquire waits for the source's link. The run with the highest priority gets
	// it first. The caller must always call release.
	Acquire(ctx context.Context, source directory.View, requestID string, priority float64) (release func())
	// TryAcquire acquires the target's link if it is free.
	TryAcquire(ctx context.Context, target directory.View, requestID string) (release func(), ok bool)
}

// Gate decides whether requests may be sent to upstreams.
type Gate interface {
	// Acquire returns whether a request may be sent to the upstream, without waiting if
	// maxWait is nil.
	Acquire(ctx context.Context, v directory.View, maxWait func() time.Duration) sendgate.Decision
}

// Relocator moves the runs of one process.
type Relocator struct {
	client    CopyClient
	directory Directory
	turns     Turns
	gate      Gate
	log       *eventlog.Log
	clock     func() time.Time
	random    func() float64
	// engine returns the engine settings of the service, nil if its runs cannot
	// be moved.
	engine func(service string) *routetable.Engine

	mu sync.Mutex
	// runs holds the runs by upstream ID.
	runs map[string]map[*Run]struct{}
}

// Options are the dependencies of a relocator.
type Options struct {
	CopyClient CopyClient
	Directory  Directory
	Turns      Turns
	Gate       Gate
	Log        *eventlog.Log
	Clock      func() time.Time
	// Random returns a random number from [0, 1).
	Random func() float64
	// Engine returns the engine settings of the service, nil if its runs cannot
	// be moved.
	Engine func(service string) *routetable.Engine
}

// New returns a relocator without runs.
func New(o Options) *Relocator {
	return &Relocator{
		client: o.CopyClient, directory: o.Directory, turns: o.Turns, gate: o.Gate, log: o.Log, clock: o.Clock,
		random: o.Random, engine: o.Engine, runs: make(map[string]map[*Run]struct{}),
	}
}

// Begin starts tracking the run. If its upstream is already leaving, the run is
// moved at once.
func (m *Relocator) Begin(ctx context.Context, r *Run) {
	m.add(r)
	m.moveIfLeaving(ctx, r)
}

func (m *Relocator) moveIfLeaving(ctx context.Context, r *Run) {
	v, ok := m.directory.Upstream(r.Source().ID, m.clock())
	if ok && v.Leaving {
		go m.move(ctx, r)
	}
}

func (m *Relocator) add(r *Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := r.Source().ID
	if m.runs[id] == nil {
		m.runs[id] = make(map[*Run]struct{})
	}
	m.runs[id][r] = struct{}{}
}

func (m *Relocator) remove(r *Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := r.Source().ID
	delete(m.runs[id], r)
	if len(m.runs[id]) == 0 {
		delete(m.runs, id)
	}
}

// End stops tracking the run, which has ended.
func (m *Relocator) End(r *Run) {
	r.end()
	m.remove(r)
}

// RecordMove records that the run has resumed at the target.
func (m *Relocator) RecordMove(ctx context.Context, r *Run, target directory.View) {
	m.remove(r)
	r.setSource(target)
	m.add(r)
	m.moveIfLeaving(ctx, r)
}

// MoveAll starts a move of every run at the upstream, which is leaving.
func (m *Relocator) MoveAll(ctx context.Context, id string) {
	m.mu.Lock()
	runs := make([]*Run, 0, len(m.runs[id]))
	for r := range m.runs[id] {
		runs = append(runs, r)
	}
	m.mu.Unlock()
	for _, r := range runs {
		go m.move(ctx, r)
	}
}

// move copies the run to another upstream and sets its handoff.
func (m *Relocator) move(ctx context.Context, r *Run) {
	engine := m.engine(r.service)
	if engine == nil || !r.beginMove() {
		return
	}
	defer r.endMove()
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	if !r.awaitStart(ctx) {
		return
	}
	source := r.Source()
	release := m.turns.Acquire(ctx, source, r.requestID, r.priority(engine.EventTokens))
	defer release()
	excluded := map[string]bool{source.ID: true}
	for range maxTargets {
		target, releaseTarget, ok := m.chooseTarget(ctx, r, engine, source, excluded)
		if !ok {
			m.logFailure(r, source, directory.View{}, "choose_target", errors.New("no upstream has room"))
			return
		}
		excluded[target.ID] = true
		if err := m.admit(ctx, target); err != nil {
			releaseTarget()
			m.logFailure(r, source, target, "admit", err)
			continue
		}
		err := m.moveTo(ctx, r, source, target)
		releaseTarget()
		if err == nil || r.hasEnded() || ctx.Err() != nil || !errors.Is(err, ErrNoRoom) {
			return
		}
	}
}

// admit returns an error if no run may continue at the target now.
func (m *Relocator) admit(ctx context.Context, target directory.View) error {
	if d := m.gate.Acquire(ctx, target, nil); !d.Granted {
		return errors.Newf("the target may not get the run: %s", d.Reason)
	}
	return nil
}

// chooseTarget waits for an upstream whose link is free. If there is none within
// maxTargetWait, it returns a random one of the upstreams that were queried, so
// that the routers do not all choose the same target.
func (m *Relocator) chooseTarget(ctx context.Context, r *Run, engine *routetable.Engine, source directory.View, excluded map[string]bool) (directory.View, func(), bool) {
	deadline := m.clock().Add(maxTargetWait)
	for {
		candidates, release := m.probeTargets(ctx, r, engine, source, excluded)
		switch {
		case len(candidates) == 0:
			return directory.View{}, nil, false
		case release != nil:
			return candidates[len(candidates)-1], release, true
		case !m.clock().Before(deadline):
			return candidates[int(m.random()*float64(len(candidates)))], func() {}, true
		}
		if m.awaitRetry(ctx, r) != nil {
			return directory.View{}, nil, false
		}
	}
}

// probeTargets tries to acquire the link of the best upstreams, one after
// another, and returns the upstreams that it queried. If release is not nil,
// the link of the last of them has been acquired.
func (m *Relocator) probeTargets(ctx context.Context, r *Run, engine *routetable.Engine, source directory.View, excluded map[string]bool) (candidates []directory.View, release func()) {
	views := m.directory.Service(r.service, m.clock())
	request := selection.Request{
		DataCentre: source.DataCentre, Tokens: r.tokens(engine.EventTokens), MemoryTokens: engine.MemoryTokens,
		Exclude: maps.Clone(excluded), RemotePenalty: moveRemotePenalty, MaxEventGap: r.maxEventGap,
		OutputEvents: r.remainingEvents(engine.EventTokens), EventTimes: selection.EventTimesOf(views),
	}
	views = withRoom(views, request)
	for range maxTargetProbes {
		v, ok := selection.Choose(views, request, m.random)
		if !ok {
			return candidates, nil
		}
		candidates = append(candidates, v)
		if release, free := m.turns.TryAcquire(ctx, v, r.requestID); free {
			return candidates, release
		}
		request.Exclude[v.ID] = true
	}
	return candidates, nil
}

// withRoom returns the upstreams that report room for the request. If there are
// none, it returns the upstreams without a report, and if there are none of
// these either, all upstreams.
func withRoom(views []directory.View, r selection.Request) []directory.View {
	var reported, unknown []directory.View
	for _, v := range views {
		switch {
		case r.Exclude[v.ID] || !selection.HasRoom(&v, r):
		case v.Reported:
			reported = append(reported, v)
		default:
			unknown = append(unknown, v)
		}
	}
	switch {
	case len(reported) > 0:
		return reported
	case len(unknown) > 0:
		return unknown
	default:
		return views
	}
}

// moveRemotePenalty is the penalty for a target in another data centre, as a
// share of an upstream's capacity. A copy within the data centre takes half the
// time.
const moveRemotePenalty = 1.2

func (m *Relocator) moveTo(ctx context.Context, r *Run, source, target directory.View) error {
	request := CopyRequest{RequestID: r.requestID, SourceAddress: source.Address, TargetAddress: target.Address}
	handle, err := m.preCopy(ctx, r, request, source, target)
	if err != nil {
		m.logFailure(r, source, target, "copy", err)
		return err
	}
	request.Final = true
	start := m.clock()
	result, err := m.copyOnce(ctx, request, finalTimeout)
	switch {
	case err == nil:
		r.SetHandoff(Handoff{Target: target, CopySource: m.client.CopySource(source.Address, result.Handle), Events: result.Events, Source: source})
		m.log.Emit(eventlog.GenerationMoved).Str("request_id", r.requestID).Str("from", source.ID).Str("to", target.ID).
			Int("events", result.Events).Dur("pause", m.clock().Sub(start)).Send()
		return nil
	case errors.Is(err, ErrNoRoom) && result.Handle != "":
		// The run is stopped and its memory is still at the source.
		r.SetHandoff(Handoff{Target: source, CopySource: m.client.CopySource(source.Address, result.Handle), Events: result.Events})
	case errors.Is(err, ErrNoSuchRun), errors.Is(err, ErrNoRoom):
		r.clearHandoff()
		m.free(source, handle)
	default:
		// The request may have been carried out. The previous copy holds nearly all
		// of the memory.
		r.SetHandoff(Handoff{Target: target, CopySource: m.client.CopySource(source.Address, handle), Source: source})
	}
	m.logFailure(r, source, target, "final_copy", err)
	return err
}

// preCopy copies the memory of the run while it continues, until little is
// left to copy. It returns the handle of the last copy.
func (m *Relocator) preCopy(ctx context.Context, r *Run, request CopyRequest, source, target directory.View) (string, error) {
	handle := ""
	for copies := 0; copies < maxPreCopies; {
		start := m.clock()
		result, err := m.copyOnce(ctx, request, copyTimeout)
		switch {
		case errors.Is(err, ErrBusy):
			if err := m.awaitRetry(ctx, r); err != nil {
				return "", err
			}
			continue
		case err != nil:
			return "", err
		}
		copies++
		handle = result.Handle
		r.SetHandoff(Handoff{Target: target, CopySource: m.client.CopySource(source.Address, handle)})
		if m.clock().Sub(start) < finalCopyThreshold {
			return handle, nil
		}
	}
	return handle, nil
}

// awaitRetry waits for retryDelay. It fails once the run has ended.
func (m *Relocator) awaitRetry(ctx context.Context, r *Run) error {
	if !pause.For(ctx, retryDelay) {
		return ctx.Err()
	}
	if r.hasEnded() {
		return ErrNoSuchRun
	}
	return nil
}

func (m *Relocator) copyOnce(ctx context.Context, request CopyRequest, timeout time.Duration) (Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.client.Copy(ctx, request)
}

// free releases an unused copy, so that it does not occupy memory.
func (m *Relocator) free(source directory.View, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := m.client.Free(ctx, source.Address, handle); err != nil {
		m.log.Emit(eventlog.CopyNotFreed).Str("from", source.ID).Str("handle", handle).Err(err).Send()
	}
}

func (m *Relocator) logFailure(r *Run, source, target directory.View, step string, err error) {
	if r.hasEnded() || errors.Is(err, ErrNoSuchRun) {
		return
	}
	m.log.Emit(eventlog.GenerationMoveFailed).Str("request_id", r.requestID).Str("from", source.ID).
		Str("to", target.ID).Str("step", step).Err(err).Send()
}

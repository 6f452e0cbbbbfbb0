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
	"github.com/flamingohold/flamingohold/internal/process/selection"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

const (
	// quickCopy is the time of a copy below which little is new, so that the
	// final copy stops the run only briefly.
	quickCopy = 25 * time.Millisecond
	// maxCopies bounds the copies ahead of the final one.
	maxCopies = 6
	// maxTargets bounds the upstreams that are tried as target.
	maxTargets = 4
	// maxAsked bounds the upstreams that are asked whether their link is free.
	maxAsked = 5
	// targetWait bounds the wait for an upstream whose link is free.
	targetWait = 500 * time.Millisecond
	// retryPause is the time before a step that may soon succeed is tried again.
	retryPause = 20 * time.Millisecond
	// moveTimeout bounds a whole move.
	moveTimeout = 6 * time.Second
	// copyTimeout bounds one copy.
	copyTimeout = 3 * time.Second
	// freeTimeout bounds the call that gives up a copy.
	freeTimeout = 500 * time.Millisecond
	// finalTimeout bounds the final copy, during which nothing is generated.
	finalTimeout = 2 * time.Second
)

// Directory gives the upstreams to move to.
type Directory interface {
	Service(service string, now time.Time) []directory.View
	Upstream(id string, now time.Time) (directory.View, bool)
}

// Turns lets the runs of one upstream be copied one after another.
type Turns interface {
	// Acquire waits for the turn; the run of the highest worth comes first. The
	// release must be called in any case.
	Acquire(ctx context.Context, source directory.View, requestID string, worth float64) (release func())
	// TryAcquire takes the turn at the target if it is free.
	TryAcquire(ctx context.Context, target directory.View, requestID string) (release func(), ok bool)
}

// Relocator moves the runs of one process.
type Relocator struct {
	engines   Engines
	directory Directory
	turns     Turns
	log       *eventlog.Log
	clock     func() time.Time
	draw      func() float64
	// engine returns the engines of the service, nil if runs of the service
	// cannot be moved.
	engine func(service string) *routetable.Engine

	mu sync.Mutex
	// runs holds the runs by upstream.
	runs map[string]map[*Run]struct{}
}

// Options are the dependencies of a relocator.
type Options struct {
	Engines   Engines
	Directory Directory
	Turns     Turns
	Log       *eventlog.Log
	Clock     func() time.Time
	// Draw returns a random number from [0, 1).
	Draw func() float64
	// Engine returns the engines of the service, nil if runs of the service
	// cannot be moved.
	Engine func(service string) *routetable.Engine
}

// New returns a relocator without runs.
func New(o Options) *Relocator {
	return &Relocator{
		engines: o.Engines, directory: o.Directory, turns: o.Turns, log: o.Log, clock: o.Clock,
		draw: o.Draw, engine: o.Engine, runs: make(map[string]map[*Run]struct{}),
	}
}

// Begin takes charge of the run. It moves at once if its upstream leaves.
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

// End gives up the run.
func (m *Relocator) End(r *Run) {
	r.end()
	m.remove(r)
}

// Moved records that the run goes on at the target.
func (m *Relocator) Moved(ctx context.Context, r *Run, target directory.View) {
	m.remove(r)
	r.setSource(target)
	m.add(r)
	m.moveIfLeaving(ctx, r)
}

// Departed moves all runs away from the upstream.
func (m *Relocator) Departed(ctx context.Context, id string) {
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

// move copies the run to another upstream and hands it off.
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
	release := m.turns.Acquire(ctx, source, r.requestID, r.worth(engine.EventTokens))
	defer release()
	tried := map[string]bool{source.ID: true}
	for range maxTargets {
		target, releaseTarget, ok := m.target(ctx, r, engine, source, tried)
		if !ok {
			m.failed(r, source, directory.View{}, "choose_target", errors.New("no upstream has room"))
			return
		}
		tried[target.ID] = true
		err := m.moveTo(ctx, r, source, target)
		releaseTarget()
		if err == nil || r.isOver() || ctx.Err() != nil || !errors.Is(err, ErrNoRoom) {
			return
		}
	}
}

// target waits for an upstream whose link is free. If none is for long, it draws
// one of those that were asked, so that the routers do not all take the same one.
func (m *Relocator) target(ctx context.Context, r *Run, engine *routetable.Engine, source directory.View, tried map[string]bool) (directory.View, func(), bool) {
	last := m.clock().Add(targetWait)
	for {
		asked, release := m.ask(ctx, r, engine, source, tried)
		switch {
		case len(asked) == 0:
			return directory.View{}, nil, false
		case release != nil:
			return asked[len(asked)-1], release, true
		case !m.clock().Before(last):
			return asked[int(m.draw()*float64(len(asked)))], func() {}, true
		}
		if m.pause(ctx, r) != nil {
			return directory.View{}, nil, false
		}
	}
}

// ask asks the best upstreams in turn whether their link is free. The last one
// that was asked has given its turn unless release is nil.
func (m *Relocator) ask(ctx context.Context, r *Run, engine *routetable.Engine, source directory.View, tried map[string]bool) (asked []directory.View, release func()) {
	request := selection.Request{
		DataCentre: source.DataCentre, Tokens: r.tokens(engine.EventTokens), MemoryTokens: engine.MemoryTokens,
		Exclude: maps.Clone(tried), StayPenalty: moveStayPenalty,
	}
	views := withRoom(m.directory.Service(r.service, m.clock()), request)
	for range maxAsked {
		v, ok := selection.Choose(views, request, m.draw)
		if !ok {
			return asked, nil
		}
		asked = append(asked, v)
		if release, free := m.turns.TryAcquire(ctx, v, r.requestID); free {
			return asked, release
		}
		request.Exclude[v.ID] = true
	}
	return asked, nil
}

// withRoom returns the upstreams that report room, else those that may have it,
// else all.
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

// moveStayPenalty is the load that is accepted at the target for a copy within
// the data centre, which takes half the time.
const moveStayPenalty = 1.2

func (m *Relocator) moveTo(ctx context.Context, r *Run, source, target directory.View) error {
	order := CopyOrder{RequestID: r.requestID, SourceAddress: source.Address, TargetAddress: target.Address}
	handle, err := m.copyAhead(ctx, r, order, source, target)
	if err != nil {
		m.failed(r, source, target, "copy", err)
		return err
	}
	order.Final = true
	began := m.clock()
	result, err := m.copyOnce(ctx, order, finalTimeout)
	switch {
	case err == nil:
		r.SetHandoff(Handoff{Target: target, From: m.engines.CopySource(source.Address, result.Handle), Events: result.Events, Source: source})
		m.log.Emit(eventlog.GenerationMoved).Str("request_id", r.requestID).Str("from", source.ID).Str("to", target.ID).
			Int("events", result.Events).Dur("pause", m.clock().Sub(began)).Send()
		return nil
	case errors.Is(err, ErrNoRoom) && result.Handle != "":
		// The run has stopped; its memory is at the source.
		r.SetHandoff(Handoff{Target: source, From: m.engines.CopySource(source.Address, result.Handle), Events: result.Events})
	case errors.Is(err, ErrNoSuchRun), errors.Is(err, ErrNoRoom):
		r.clearHandoff()
		m.free(source, handle)
	default:
		// The order may have been carried out: the copy holds nearly all.
		r.SetHandoff(Handoff{Target: target, From: m.engines.CopySource(source.Address, handle), Source: source})
	}
	m.failed(r, source, target, "final_copy", err)
	return err
}

// copyAhead copies the run's memory while it goes on until little is new.
func (m *Relocator) copyAhead(ctx context.Context, r *Run, order CopyOrder, source, target directory.View) (string, error) {
	handle := ""
	for copies := 0; copies < maxCopies; {
		began := m.clock()
		result, err := m.copyOnce(ctx, order, copyTimeout)
		switch {
		case errors.Is(err, ErrBusy):
			if err := m.pause(ctx, r); err != nil {
				return "", err
			}
			continue
		case err != nil:
			return "", err
		}
		copies++
		handle = result.Handle
		r.SetHandoff(Handoff{Target: target, From: m.engines.CopySource(source.Address, handle)})
		if m.clock().Sub(began) < quickCopy {
			return handle, nil
		}
	}
	return handle, nil
}

// pause waits before another try. It fails once the run has ended.
func (m *Relocator) pause(ctx context.Context, r *Run) error {
	if !pause.For(ctx, retryPause) {
		return ctx.Err()
	}
	if r.isOver() {
		return ErrNoSuchRun
	}
	return nil
}

func (m *Relocator) copyOnce(ctx context.Context, order CopyOrder, timeout time.Duration) (Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.engines.Copy(ctx, order)
}

// free gives up a copy that is not used, so that it does not take memory.
func (m *Relocator) free(source directory.View, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := m.engines.Free(ctx, source.Address, handle); err != nil {
		m.log.Emit(eventlog.CopyNotFreed).Str("from", source.ID).Str("handle", handle).Err(err).Send()
	}
}

func (m *Relocator) failed(r *Run, source, target directory.View, step string, err error) {
	if r.isOver() || errors.Is(err, ErrNoSuchRun) {
		return
	}
	m.log.Emit(eventlog.GenerationMoveFailed).Str("request_id", r.requestID).Str("from", source.ID).
		Str("to", target.ID).Str("step", step).Err(err).Send()
}

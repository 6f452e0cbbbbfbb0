package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
)

const (
	// watchWait is how long the store holds a watch without a change. It bounds
	// the time after which a connection that went silent is noticed.
	watchWait = 700 * time.Millisecond
	// watchGrace is how much longer than watchWait a watch may take.
	watchGrace = 700 * time.Millisecond
	// snapshotTimeout bounds a read of all items.
	snapshotTimeout = 2500 * time.Millisecond
	// idlePause is the time between two looks at whether the store must be asked.
	idlePause = 50 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// unconfirmedFor is how long after the store's return a deletion is
	// unconfirmed.
	unconfirmedFor = 3 * time.Second
)

// ErrCompacted is returned by a watch whose start the store has forgotten.
var ErrCompacted = errors.New("the history after the revision is gone")

// Store is the watched store.
type Store interface {
	// Snapshot returns all items. Its revision is that of the first read.
	Snapshot(ctx context.Context) (Batch, error)
	// Watch returns what changed after the revision as soon as there is
	// something, or nothing after the wait.
	Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error)
}

// Follower keeps a mirror in step with the store.
type Follower struct {
	mirror *Mirror
	store  Store
	log    *eventlog.Log
	clock  func() time.Time
	// pace is the pause between two watches that returned changes.
	pace time.Duration
	// needed reports whether this process has to ask the store itself.
	needed func() bool

	// lost is true while the store does not answer.
	lost bool
	// snapshotDue is true if the store has forgotten what the mirror lacks.
	snapshotDue bool
}

// NewFollower returns a follower of the store. Between two answers with changes
// it pauses, so that several changes share a call. While needed returns false,
// others keep the mirror and the store is not asked.
func NewFollower(m *Mirror, s Store, log *eventlog.Log, clock func() time.Time, pace time.Duration, needed func() bool) *Follower {
	return &Follower{mirror: m, store: s, log: log, clock: clock, pace: pace, needed: needed}
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		if !f.needed() {
			pause.For(ctx, idlePause)
			continue
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			retry = firstRetry
			continue
		case errors.Is(err, ErrCompacted):
			f.snapshotDue = true
			f.log.Emit(eventlog.StoreHistoryGone).Send()
			continue
		}
		f.failed(err)
		pause.For(ctx, retry)
		retry = min(lastRetry, 2*retry)
	}
}

func (f *Follower) step(ctx context.Context) error {
	revision, _ := f.mirror.Revision()
	if f.snapshotDue || revision == 0 {
		return f.snapshot(ctx)
	}
	return f.watch(ctx, revision)
}

func (f *Follower) snapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	batch, err := f.store.Snapshot(ctx)
	if err != nil {
		return err
	}
	f.answered()
	f.mirror.Apply(batch, f.clock())
	f.snapshotDue = false
	return nil
}

func (f *Follower) watch(ctx context.Context, after int64) error {
	call, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	batch, err := f.store.Watch(call, after, watchWait)
	if err != nil {
		return err
	}
	f.answered()
	f.mirror.Apply(batch, f.clock())
	if len(batch.Items) > 0 {
		pause.For(ctx, f.pace)
	}
	return nil
}

func (f *Follower) answered() {
	now := f.clock()
	f.mirror.RecordContact(now)
	if !f.lost {
		return
	}
	f.lost = false
	f.mirror.MarkUnstable(now.Add(unconfirmedFor))
	f.log.Emit(eventlog.StoreReachable).Send()
}

func (f *Follower) failed(err error) {
	f.mirror.MarkUnstable(f.clock().Add(unconfirmedFor))
	if f.lost {
		return
	}
	f.lost = true
	f.log.Emit(eventlog.StoreUnreachable).Err(err).Send()
}

package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
)

const (
	// watchWait is how long the store holds a watch open without a change. It
	// bounds the time until a dead connection is detected.
	watchWait = 700 * time.Millisecond
	// idlePollInterval is the time between two checks of whether the store must be
	// queried.
	idlePollInterval = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// unconfirmedPeriod is how long deletions stay unconfirmed after the store has
	// become reachable again.
	unconfirmedPeriod = 3 * time.Second
)

// ErrCompacted is returned by a watch if the store no longer holds all
// changes after the requested revision.
var ErrCompacted = errors.New("the store has compacted its history after the revision")

// errRestored means that the store has been restored from a copy.
var errRestored = errors.New("the store has been restored from a copy")

// Store is the platform's metadata store. Its calls end by themselves if the
// store stops sending.
type Store interface {
	// Snapshot returns all items, read in one era. The revision of the batch is the
	// one at which the first item was read.
	Snapshot(ctx context.Context) (Batch, error)
	// Watch returns the changes after the revision as soon as there are any, or an
	// empty batch after the wait.
	Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error)
}

// Follower keeps a mirror up to date with the store.
type Follower struct {
	mirror *Mirror
	store  Store
	log    *eventlog.Log
	clock  func() time.Time
	// changeDelay is the pause after a watch that returned changes.
	changeDelay time.Duration
	// needed reports whether this process has to query the store itself.
	needed func() bool

	// storeLost is true while the store does not answer.
	storeLost bool
	// snapshotDue is true if the store has compacted changes that the mirror lacks, or
	// has been restored from a copy.
	snapshotDue bool
}

// NewFollower returns a follower of the store. After each watch that returned
// changes it waits for changeDelay, so that several changes share a call. While
// needed returns false, the mirror is updated by others and the store is not
// queried.
func NewFollower(m *Mirror, s Store, log *eventlog.Log, clock func() time.Time, changeDelay time.Duration, needed func() bool) *Follower {
	return &Follower{mirror: m, store: s, log: log, clock: clock, changeDelay: changeDelay, needed: needed}
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		if !f.needed() {
			pause.For(ctx, idlePollInterval)
			continue
		}
		start := f.clock()
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			retry = minRetryDelay
			continue
		case errors.Is(err, ErrCompacted):
			f.snapshotDue = true
			held, _ := f.mirror.Position()
			f.log.Emit(eventlog.StoreHistoryGone).Int64("era", held.Era).Int64("after", held.Revision).Send()
			continue
		case errors.Is(err, errRestored):
			f.snapshotDue = true
			continue
		}
		f.noteFailure(err, f.clock().Sub(start))
		pause.For(ctx, retry)
		retry = min(maxRetryDelay, 2*retry)
	}
}

func (f *Follower) step(ctx context.Context) error {
	held, _ := f.mirror.Position()
	if f.snapshotDue || held.Revision == 0 {
		return f.snapshot(ctx, held)
	}
	return f.watch(ctx, held)
}

func (f *Follower) snapshot(ctx context.Context, held Position) error {
	batch, err := f.store.Snapshot(ctx)
	if err != nil {
		return err
	}
	if batch.Era < held.Era {
		return errors.Newf("store answered in era %d, but era %d is known", batch.Era, held.Era)
	}
	f.noteSuccess()
	LogRestored(f.log, StoreSource, batch.Position(), held)
	batch.Source = StoreSource
	changed := f.mirror.Apply(batch, f.clock())
	f.snapshotDue = false
	f.log.Emit(eventlog.StoreReadCompletely).Int64("era", batch.Era).Int64("revision", batch.Revision).
		Int64("held_revision", held.Revision).Int("items", len(batch.Items)).Int("changed", changed).Send()
	return nil
}

// watch applies the changes after the position. Changes of another era do not follow
// on it.
func (f *Follower) watch(ctx context.Context, held Position) error {
	batch, err := f.store.Watch(ctx, held.Revision, watchWait)
	if err != nil {
		return err
	}
	if batch.Era != held.Era {
		return errRestored
	}
	f.noteSuccess()
	batch.Source = StoreSource
	f.mirror.Apply(batch, f.clock())
	if len(batch.Items) > 0 {
		pause.For(ctx, f.changeDelay)
	}
	return nil
}

func (f *Follower) noteSuccess() {
	now := f.clock()
	f.mirror.RecordContact(now)
	if !f.storeLost {
		return
	}
	f.storeLost = false
	f.mirror.MarkUnstable(now.Add(unconfirmedPeriod))
	f.log.Emit(eventlog.StoreReachable).Send()
}

func (f *Follower) noteFailure(err error, elapsed time.Duration) {
	f.mirror.MarkUnstable(f.clock().Add(unconfirmedPeriod))
	if f.storeLost {
		return
	}
	f.storeLost = true
	held, _ := f.mirror.Position()
	f.log.Emit(eventlog.StoreUnreachable).Int64("held_era", held.Era).Int64("held_revision", held.Revision).Dur("elapsed", elapsed).Err(err).Send()
}

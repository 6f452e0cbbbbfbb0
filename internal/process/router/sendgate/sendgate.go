package sendgate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/router/ratepermit"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

// Directory knows which upstreams leave or are cold.
type Directory interface {
	// Admit reports whether a request may be sent to the upstream, which may be cold.
	Admit(id string, now time.Time) bool
	// IsUsable reports whether the upstream of the view may still get new work.
	IsUsable(v directory.View, now time.Time) bool
}

// Limits holds the rate limits that upstreams state.
type Limits interface {
	Limit(u statedlimit.Upstream) statedlimit.Limit
}

// Permits keeps all routers together within the limits that upstreams state.
type Permits interface {
	// Acquire returns whether a request may be sent to the upstream, at once or within
	// maxWait.
	Acquire(ctx context.Context, u statedlimit.Upstream, maxWait time.Duration) ratepermit.Decision
}

// Pauses holds for how long upstreams want no requests from this process.
type Pauses interface {
	// Left returns the time until the upstream may get a request again.
	Left(id string, incarnation int64, now time.Time) time.Duration
	// TakeReturn reports whether a run may return to the upstream that holds it.
	TakeReturn(id string, incarnation int64, now time.Time) bool
}

// Reason is why a request may not be sent to an upstream.
type Reason string

const (
	// Paused means that the upstream wants no requests from this process for a while.
	Paused Reason = "paused"
	// LimitUsedUp means that the limit which the upstream states is used up.
	LimitUsedUp Reason = "limit_used_up"
	// Unavailable means that the upstream is leaving or unknown, or that it is cold and
	// its rate is used up.
	Unavailable Reason = "unavailable"
	// Cancelled means that the request ended while it waited for a permit.
	Cancelled Reason = "cancelled"
)

// ErrWithdrawn is the error of a request that is not sent after all.
var ErrWithdrawn = errors.New("the upstream may no longer get the request")

// Decision is whether a request may be sent to an upstream.
type Decision struct {
	Granted bool
	// Reason is why the request was not granted.
	Reason Reason
	// RetryIn is the time until a refused request may be granted, 0 if unknown.
	RetryIn time.Duration
	// Limit is the limit on which a refusal for LimitUsedUp is based, and MaxWait how
	// long the request would have waited.
	Limit   statedlimit.Limit
	MaxWait time.Duration
}

// Options are the dependencies of a gate.
type Options struct {
	Directory Directory
	Pauses    Pauses
	Limits    Limits
	Permits   Permits
	Clock     func() time.Time
}

// Gate decides on requests. It is safe for concurrent use.
type Gate struct{ options Options }

// New returns a gate.
func New(o Options) *Gate { return &Gate{options: o} }

// Acquire returns whether a request may be sent to the upstream, and counts it if so.
// It waits for a permit for as long as maxWait returns, which is called only if the
// upstream states a limit; nil stands for no wait.
func (g *Gate) Acquire(ctx context.Context, v directory.View, maxWait func() time.Duration) Decision {
	if left := g.PauseLeft(v); left > 0 {
		return Decision{Reason: Paused, RetryIn: left}
	}
	if d := g.acquirePermit(ctx, v, maxWait); !d.Granted {
		return d
	}
	if !g.options.Directory.Admit(v.ID, g.options.Clock()) {
		return Decision{Reason: Unavailable}
	}
	return Decision{Granted: true}
}

func (g *Gate) acquirePermit(ctx context.Context, v directory.View, maxWait func() time.Duration) Decision {
	u := statedlimit.Upstream{ID: v.ID, Incarnation: v.Incarnation}
	if !g.options.Limits.Limit(u).Limited {
		return Decision{Granted: true}
	}
	wait := time.Duration(0)
	if maxWait != nil {
		wait = maxWait()
	}
	permit := g.options.Permits.Acquire(ctx, u, wait)
	if !permit.Granted {
		return Decision{Reason: LimitUsedUp, RetryIn: max(time.Millisecond, permit.RetryIn), Limit: permit.Limit, MaxWait: wait}
	}
	if permit.Wait > 0 && !pause.For(ctx, permit.Wait) {
		return Decision{Reason: Cancelled}
	}
	return Decision{Granted: true}
}

// PauseLeft returns the time until the upstream wants requests from this process again,
// 0 for now.
func (g *Gate) PauseLeft(v directory.View) time.Duration {
	return g.options.Pauses.Left(v.ID, v.Incarnation, g.options.Clock())
}

// Confirm returns ErrWithdrawn if the upstream, which was chosen a while ago, has
// started to leave or has asked for a pause. It is asked right before the request is
// sent.
func (g *Gate) Confirm(v directory.View) error {
	if !g.options.Directory.IsUsable(v, g.options.Clock()) {
		return errors.Wrapf(ErrWithdrawn, "upstream %s is leaving", v.ID)
	}
	if g.PauseLeft(v) > 0 {
		return errors.Wrapf(ErrWithdrawn, "upstream %s has asked for a pause", v.ID)
	}
	return nil
}

// ConfirmReturn is Confirm for a run that continues at the upstream that holds it. The
// upstream got the request before, so that it may be leaving.
func (g *Gate) ConfirmReturn(v directory.View) error {
	if !g.options.Pauses.TakeReturn(v.ID, v.Incarnation, g.options.Clock()) {
		return errors.Wrapf(ErrWithdrawn, "upstream %s has asked for a pause", v.ID)
	}
	return nil
}

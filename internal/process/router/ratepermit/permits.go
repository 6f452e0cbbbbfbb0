package ratepermit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

const (
	// issuerCount is the number of routers that issue permits for an upstream.
	issuerCount = 2
	// minPerSecond is the least rate, in requests per second, at which permits for an
	// upstream are issued. Without requests no answer could lift its limit.
	minPerSecond = 0.25
	// maxBackoff bounds the time in which a refused router does not ask the same
	// issuer again.
	maxBackoff = 30 * time.Second
	// failureBackoff is the time in which an issuer that did not answer is not asked.
	failureBackoff = time.Second
	// maxEntries is the number of upstreams, and of backoffs, above which those that
	// are not in use are removed. idleLifetime is when an upstream is not in use.
	maxEntries   = 256
	idleLifetime = time.Minute
	// latePermitLifetime is the time after the request for a permit within which the
	// permit is used if the answer is late. Permits that are used up to 2 s late keep
	// within 1.5 times the limit in each 4 s, which is what upstreams tolerate.
	latePermitLifetime = 1500 * time.Millisecond
)

// Peers names the routers that are alive.
type Peers interface {
	// Ranked returns the addresses of the first n routers, this one included, in an
	// order that depends on the name. Routers that know the same routers agree on it.
	Ranked(name string, n int) []string
}

// Limits holds the limits that upstreams state.
type Limits interface {
	Limit(u statedlimit.Upstream) statedlimit.Limit
	Merge(shared []statedlimit.Limit, now time.Time)
}

// Decision is whether a request may be sent to an upstream.
type Decision struct {
	Granted bool
	// Wait is the time until a granted request may be sent.
	Wait time.Duration
	// RetryIn is the time until a refused request may be granted.
	RetryIn time.Duration
	// Limit is the limit on which the decision is based.
	Limit statedlimit.Limit
}

// Options are the dependencies of Permits.
type Options struct {
	// Address is this router's peer address.
	Address string
	Peers   Peers
	Limits  Limits
	Pool    *upstreamclient.Pool
	Log     *eventlog.Log
	Scope   tally.Scope
	Clock   func() time.Time
}

// Permits issues and obtains permits. It is safe for concurrent use.
type Permits struct {
	address string
	peers   Peers
	limits  Limits
	fetcher *upstreamclient.Fetcher
	log     *eventlog.Log
	metrics *metrics
	clock   func() time.Time

	mu sync.Mutex
	// issued holds what this router issues, by upstream.
	issued map[statedlimit.Upstream]*issue
	// backoffs holds when an issuer may be asked again.
	backoffs map[source]time.Time
	// late holds the permits that arrived after the request for them had given up.
	late map[source][]latePermit
	// silent holds the issuers that did not answer the last request for a permit.
	silent map[string]bool
}

// issue is what an issuer has issued for one upstream.
type issue struct {
	limiter *rate.Limiter
	// refusals counts the refusals since the last permit.
	refusals int
	usedAt   time.Time
}

// source is an issuer of permits under one version of an upstream's limit.
type source struct {
	limit  statedlimit.Limit
	issuer string
}

// New returns Permits that have issued nothing.
func New(o Options) *Permits {
	return &Permits{
		address: o.Address, peers: o.Peers, limits: o.Limits, fetcher: upstreamclient.NewFetcher(o.Pool, requestLimits),
		log: o.Log, metrics: newMetrics(o.Scope), clock: o.Clock, issued: make(map[statedlimit.Upstream]*issue),
		backoffs: make(map[source]time.Time), late: make(map[source][]latePermit), silent: make(map[string]bool),
	}
}

// Acquire returns whether a request may be sent to the upstream, at once or within
// maxWait.
func (p *Permits) Acquire(ctx context.Context, u statedlimit.Upstream, maxWait time.Duration) Decision {
	limit := p.limits.Limit(u)
	refused := Decision{RetryIn: maxBackoff, Limit: limit}
	if !limit.Limited {
		return Decision{Granted: true, Limit: limit}
	}
	issuers := p.peers.Ranked(u.ID, issuerCount)
	rand.Shuffle(len(issuers), func(i, j int) { issuers[i], issuers[j] = issuers[j], issuers[i] })
	for _, issuer := range issuers {
		s := source{limit, issuer}
		d, found := p.takeLate(s, maxWait)
		if backoff := p.backoff(s); !found && backoff > maxWait {
			refused.RetryIn = min(refused.RetryIn, backoff)
			continue
		}
		if !found {
			d = p.request(ctx, s, maxWait)
		}
		if d.Granted {
			p.metrics.granted.Inc(1)
			return d
		}
		refused.RetryIn = min(refused.RetryIn, d.RetryIn)
	}
	p.metrics.refused.Inc(1)
	return refused
}

// request obtains a permit from the issuer. After a refusal the issuer is not asked
// again for the time that it states.
func (p *Permits) request(ctx context.Context, s source, maxWait time.Duration) Decision {
	d := Decision{RetryIn: failureBackoff, Limit: s.limit}
	if s.issuer == p.address {
		d = p.issue(s.limit, maxWait, p.clock())
	} else if answer, err := p.ask(ctx, s, maxWait); err == nil {
		d = answer
	} else if ctx.Err() != nil {
		return d
	}
	if !d.Granted {
		p.setBackoff(s, d.RetryIn)
	}
	return d
}

// issue decides whether this router, as an issuer, grants a permit under the limit.
// The more routers it has refused since the last permit, the later they ask again.
func (p *Permits) issue(limit statedlimit.Limit, maxWait time.Duration, now time.Time) Decision {
	if !limit.Limited {
		return Decision{Granted: true, Limit: limit}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	perSecond := rate.Limit(max(minPerSecond, limit.PerSecond) / issuerCount)
	i := p.issued[limit.Upstream]
	if i == nil {
		p.removeIdle(now)
		i = &issue{limiter: rate.NewLimiter(perSecond, 1)}
		p.issued[limit.Upstream] = i
	}
	i.usedAt = now
	if i.limiter.Limit() != perSecond {
		i.limiter.SetLimitAt(now, perSecond)
	}
	reservation := i.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait <= maxWait {
		i.refusals = 0
		return Decision{Granted: true, Wait: wait, Limit: limit}
	}
	reservation.CancelAt(now)
	i.refusals++
	return Decision{RetryIn: min(maxBackoff, time.Duration(i.refusals)*wait), Limit: limit}
}

// removeIdle removes the upstreams for which no permit was requested for
// idleLifetime, once there are many.
func (p *Permits) removeIdle(now time.Time) {
	if len(p.issued) < maxEntries {
		return
	}
	for u, i := range p.issued {
		if now.Sub(i.usedAt) > idleLifetime {
			delete(p.issued, u)
		}
	}
}

// backoff returns the time until the issuer may be asked again, 0 for at once.
func (p *Permits) backoff(s source) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.backoffs[s].Sub(p.clock()))
}

func (p *Permits) setBackoff(s source, backoff time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if len(p.backoffs) >= maxEntries {
		for other, until := range p.backoffs {
			if until.Before(now) {
				delete(p.backoffs, other)
			}
		}
	}
	p.backoffs[s] = now.Add(backoff)
}

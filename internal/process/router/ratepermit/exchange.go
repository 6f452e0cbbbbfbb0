package ratepermit

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

const (
	// permitPath is the path of requests for permits on the peer address.
	permitPath = "/v1/peers/permits"
	// maxMessageBytes bounds a message.
	maxMessageBytes = 64 << 10
)

// answerWait is how long a caller's request waits for the answer of an issuer.
const answerWait = 150 * time.Millisecond

// requestLimits bound a request for a permit. An answer after answerWait still counts,
// because the issuer has issued the permit and gives it to nobody else.
var requestLimits = upstreamclient.FetchLimits{
	Head: latePermitLifetime, Stall: answerWait, Total: latePermitLifetime, MaxBytes: maxMessageBytes,
}

// errLate is the error of an answer that does not arrive within answerWait.
var errLate = errors.Newf("no answer within %s", answerWait)

// permitRequest is a request for a permit.
type permitRequest struct {
	// Limit is the limit that the sender knows.
	Limit statedlimit.Limit `json:"limit"`
	// MaxWaitMillis is the time within which the permit must become valid.
	MaxWaitMillis int64 `json:"max_wait_ms,omitempty"`
}

// permitResponse is the issuer's decision.
type permitResponse struct {
	Granted bool `json:"granted"`
	// Limit is the limit on which the decision is based, nil if it is that of the
	// request.
	Limit         *statedlimit.Limit `json:"limit,omitempty"`
	WaitMillis    int64              `json:"wait_ms,omitempty"`
	RetryInMillis int64              `json:"retry_in_ms,omitempty"`
}

// Path returns the URL path at which ServeHTTP must be served.
func Path() string { return permitPath }

// answer is the answer of an issuer.
type answer struct {
	decision Decision
	err      error
}

// ask asks another router for a permit and waits for its answer for answerWait at most.
// A permit that arrives later is kept for the next request.
func (p *Permits) ask(ctx context.Context, s source, maxWait time.Duration) (Decision, error) {
	waiting, stop := context.WithTimeout(ctx, answerWait)
	defer stop()
	asked := p.clock()
	answers := make(chan answer)
	go func() {
		var a answer
		a.decision, a.err = p.fetch(context.WithoutCancel(ctx), s, maxWait)
		select {
		case answers <- a:
		case <-waiting.Done():
			p.keepLate(s, a, asked)
		}
	}()
	a := answer{err: errLate}
	select {
	case a = <-answers:
	case <-waiting.Done():
	}
	if ctx.Err() == nil {
		p.noteAnswer(s.issuer, s.limit, a.err)
	}
	return a.decision, a.err
}

// fetch sends a request for a permit to another router and returns its answer.
func (p *Permits) fetch(ctx context.Context, s source, maxWait time.Duration) (Decision, error) {
	limit := s.limit
	request := permitRequest{Limit: limit, MaxWaitMillis: maxWait.Milliseconds()}
	var response permitResponse
	if _, err := p.fetcher.PostJSON(ctx, s.issuer, permitPath, request, &response, 0); err != nil {
		return Decision{}, err
	}
	if response.Limit != nil {
		limit = *response.Limit
		p.limits.Merge([]statedlimit.Limit{limit}, p.clock())
	}
	return Decision{
		Granted: response.Granted, Limit: limit,
		Wait:    time.Duration(response.WaitMillis) * time.Millisecond,
		RetryIn: time.Duration(response.RetryInMillis) * time.Millisecond,
	}, nil
}

// noteAnswer logs when an issuer no longer answers, or answers again.
func (p *Permits) noteAnswer(issuer string, limit statedlimit.Limit, err error) {
	p.mu.Lock()
	wasSilent := p.silent[issuer]
	if err != nil {
		p.silent[issuer] = true
	} else {
		delete(p.silent, issuer)
	}
	p.mu.Unlock()
	switch {
	case err != nil:
		p.metrics.failed.Inc(1)
		if !wasSilent {
			p.log.Emit(eventlog.PermitsLost).Str("peer", issuer).Str("upstream", limit.ID).Err(err).Send()
		}
	case wasSilent:
		p.log.Emit(eventlog.PermitsRegained).Str("peer", issuer).Send()
	}
}

// ServeHTTP decides on a permit that another router has requested.
func (p *Permits) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request permitRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&request); err != nil {
		http.Error(w, "the request for a permit cannot be decoded", http.StatusBadRequest)
		return
	}
	now := p.clock()
	p.limits.Merge([]statedlimit.Limit{request.Limit}, now)
	limit := p.limits.Limit(request.Limit.Upstream)
	if limit.Version < request.Limit.Version {
		// This router does not know the upstream yet.
		limit = request.Limit
	}
	d := p.issue(limit, time.Duration(request.MaxWaitMillis)*time.Millisecond, now)
	response := permitResponse{Granted: d.Granted, WaitMillis: roundUp(d.Wait), RetryInMillis: roundUp(d.RetryIn)}
	if d.Limit != request.Limit {
		response.Limit = &d.Limit
	}
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, "the permit cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// roundUp returns the duration in whole milliseconds, rounded up.
func roundUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

package ratepermit

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

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

// requestLimits bound a request for a permit, for which a caller's request waits.
var requestLimits = upstreamclient.FetchLimits{
	Head: 150 * time.Millisecond, Stall: 150 * time.Millisecond, Total: 300 * time.Millisecond, MaxBytes: maxMessageBytes,
}

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

// fetch asks another router for a permit.
func (p *Permits) fetch(ctx context.Context, issuer string, limit statedlimit.Limit, maxWait time.Duration) (Decision, error) {
	request := permitRequest{Limit: limit, MaxWaitMillis: maxWait.Milliseconds()}
	var response permitResponse
	_, err := p.fetcher.PostJSON(ctx, issuer, permitPath, request, &response, 0)
	if ctx.Err() == nil {
		p.noteAnswer(issuer, limit, err)
	}
	if err != nil {
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

package upstreamclient

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/flamingohold/flamingohold/internal/connection/stall"
)

// FetchLimits bound a fetch by its progress instead of its duration, since the
// duration depends on the size of the answer and on the link.
type FetchLimits struct {
	// Head is the time until the head of the answer, in addition to the time for
	// which the peer may hold the request.
	Head time.Duration
	// Stall is the longest time between two reads of the body.
	Stall time.Duration
	// Total bounds the fetch if the peer sends slowly without end.
	Total time.Duration
	// MaxBytes bounds the body.
	MaxBytes int64
}

// Fetcher sends requests and reads complete answers. It is safe for concurrent
// use.
type Fetcher struct {
	pool   *Pool
	limits FetchLimits
}

// NewFetcher returns a fetcher that uses the pool.
func NewFetcher(p *Pool, l FetchLimits) *Fetcher { return &Fetcher{pool: p, limits: l} }

// Reply is a complete answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Fetch sends the request, which the peer may hold for the given time, and reads
// the complete answer.
func (f *Fetcher) Fetch(ctx context.Context, address string, r *Request, hold time.Duration) (Reply, error) {
	ctx, end := context.WithTimeout(ctx, hold+f.limits.Total)
	defer end()
	ctx, guard := stall.New(ctx, hold+f.limits.Head)
	defer guard.Stop()
	answer, err := f.pool.Send(ctx, address, r)
	if err != nil {
		return Reply{}, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(guard.Reader(answer, f.limits.Stall), f.limits.MaxBytes+1))
	if err != nil {
		return Reply{}, err
	}
	if int64(len(body)) > f.limits.MaxBytes {
		return Reply{}, answer.tooLarge(f.limits.MaxBytes)
	}
	return Reply{Status: answer.Status, Header: answer.Header, Body: body}, nil
}

package configwatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/version/manifest"
)

const (
	manifestKey = "flamingohold/manifest"
	chunkPrefix = "flamingohold/chunks/"

	manifestPath    = "/v1/configuration/manifest"
	chunkPathPrefix = "/v1/configuration/chunks/"

	indexHeader = "X-Consul-Index"
)

var (
	errNotFound    = errors.New("not found")
	errNotModified = errors.New("not modified")
	errTooLarge    = errors.Newf("value exceeds %d bytes", manifest.MaxValueBytes)
)

// source is a place from which the chunks of a bundle are read.
type source interface {
	// chunk returns the data of the chunk without verifying it.
	chunk(ctx context.Context, hash string) ([]byte, error)
	String() string
}

// fullResponse is a response whose body has been read completely.
type fullResponse struct {
	header http.Header
	body   []byte
}

// get sends the request and returns the response. Its errors name the address
// read from.
func get(client *http.Client, request *http.Request) (fullResponse, error) {
	address := request.URL.Host
	propagation.TraceContext{}.Inject(request.Context(), propagation.HeaderCarrier(request.Header))
	response, err := client.Do(request)
	if err != nil {
		return fullResponse{}, errors.Wrapf(err, "read configuration from %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, manifest.MaxValueBytes+1))
	if err != nil {
		return fullResponse{}, errors.Wrapf(err, "read configuration from %s", address)
	}
	switch {
	case response.StatusCode == http.StatusNotModified:
		err = errNotModified
	case response.StatusCode == http.StatusNotFound:
		err = errNotFound
	case response.StatusCode != http.StatusOK:
		err = errors.Newf("status %d", response.StatusCode)
	case len(body) > manifest.MaxValueBytes:
		err = errTooLarge
	}
	return fullResponse{response.Header, body}, errors.Wrapf(err, "read configuration from %s", address)
}

// peerSource reads from another process, such as a gateway or sidecar.
type peerSource struct {
	client  *http.Client
	address string
	secret  string
	timeout time.Duration
}

func (p *peerSource) String() string { return p.address }

// manifest returns the peer's manifest, or errNotModified if its hash is the
// known one.
func (p *peerSource) manifest(ctx context.Context, known string) (*manifest.Manifest, error) {
	body, err := p.get(ctx, manifestPath, known)
	if err != nil {
		return nil, err
	}
	return manifest.Decode(body)
}

func (p *peerSource) chunk(ctx context.Context, hash string) ([]byte, error) {
	return p.get(ctx, chunkPathPrefix+hash, "")
}

func (p *peerSource) get(ctx context.Context, path, known string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "build request to peer %s", p.address)
	}
	request.Header.Set("Authorization", "Bearer "+p.secret)
	if known != "" {
		request.Header.Set("If-None-Match", quote(known))
	}
	r, err := get(p.client, request)
	return r.body, err
}

// serviceSource reads from the configuration service, a Consul key-value store.
type serviceSource struct {
	client  *http.Client
	address string
	limiter *readLimiter
	timing  *timing
}

func (s *serviceSource) String() string { return s.address }

func (s *serviceSource) chunk(ctx context.Context, hash string) ([]byte, error) {
	r, err := s.get(ctx, chunkPrefix+hash, url.Values{}, s.timing.serviceRead)
	return r.body, err
}

// watch returns the manifest's value once it has changed since the index, or
// after the wait. With index 0 it returns immediately. The result next is the
// index for the next call. It is 0 if the service's index went backwards, as
// the Consul protocol requires.
func (s *serviceSource) watch(ctx context.Context, index uint64, wait time.Duration) (body []byte, next uint64, err error) {
	query := url.Values{}
	if index > 0 {
		query.Set("index", strconv.FormatUint(index, 10))
		query.Set("wait", fmt.Sprintf("%dms", wait.Milliseconds()))
	}
	r, err := s.get(ctx, manifestKey, query, wait+wait/8+s.timing.watchSlack)
	next, _ = strconv.ParseUint(r.header.Get(indexHeader), 10, 64)
	if next < index {
		next = 0
	}
	return r.body, next, err
}

func (s *serviceSource) get(ctx context.Context, key string, query url.Values, timeout time.Duration) (fullResponse, error) {
	if !pause.For(ctx, s.limiter.reserve(time.Now())) {
		return fullResponse{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := "http://" + s.address + "/v1/kv/" + key + "?raw"
	if len(query) > 0 {
		address += "&" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return fullResponse{}, errors.Wrapf(err, "build request to configuration service %s", s.address)
	}
	return get(s.client, request)
}

func quote(hash string) string { return `"` + hash + `"` }

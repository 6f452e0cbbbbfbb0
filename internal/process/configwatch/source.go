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

// source is where the chunks of a bundle are read from.
type source interface {
	// chunk returns the unverified data of the chunk.
	chunk(ctx context.Context, hash string) ([]byte, error)
	String() string
}

// answer is a response whose body has been read whole.
type answer struct {
	header http.Header
	body   []byte
}

// get returns the answer to a request. Its errors state the peer.
func get(client *http.Client, request *http.Request) (answer, error) {
	peer := request.URL.Host
	propagation.TraceContext{}.Inject(request.Context(), propagation.HeaderCarrier(request.Header))
	response, err := client.Do(request)
	if err != nil {
		return answer{}, errors.Wrapf(err, "read configuration from %s", peer)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, manifest.MaxValueBytes+1))
	if err != nil {
		return answer{}, errors.Wrapf(err, "read configuration from %s", peer)
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
	return answer{response.Header, body}, errors.Wrapf(err, "read configuration from %s", peer)
}

// peerSource is a gateway or sidecar.
type peerSource struct {
	client  *http.Client
	address string
	secret  string
	timeout time.Duration
}

func (p *peerSource) String() string { return p.address }

// manifest returns the peer's manifest, or errNotModified if it has the given
// hash.
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
		return nil, errors.Wrapf(err, "address peer %s", p.address)
	}
	request.Header.Set("Authorization", "Bearer "+p.secret)
	if known != "" {
		request.Header.Set("If-None-Match", quote(known))
	}
	a, err := get(p.client, request)
	return a.body, err
}

// serviceSource is the configuration service, a Consul key-value store.
type serviceSource struct {
	client  *http.Client
	address string
	rate    *readRate
	timing  *timing
}

func (s *serviceSource) String() string { return s.address }

func (s *serviceSource) chunk(ctx context.Context, hash string) ([]byte, error) {
	a, err := s.get(ctx, chunkPrefix+hash, url.Values{}, s.timing.serviceRead)
	return a.body, err
}

// watch returns the manifest's value when it has changed since the index, or
// after the wait. Index 0 asks for an answer at once. The result's index is the
// one for the next call; it is 0 after the service's index went backwards, as
// the protocol demands.
func (s *serviceSource) watch(ctx context.Context, index uint64, wait time.Duration) (body []byte, next uint64, err error) {
	query := url.Values{}
	if index > 0 {
		query.Set("index", strconv.FormatUint(index, 10))
		query.Set("wait", fmt.Sprintf("%dms", wait.Milliseconds()))
	}
	a, err := s.get(ctx, manifestKey, query, wait+wait/8+s.timing.watchSlack)
	next, _ = strconv.ParseUint(a.header.Get(indexHeader), 10, 64)
	if next < index {
		next = 0
	}
	return a.body, next, err
}

func (s *serviceSource) get(ctx context.Context, key string, query url.Values, timeout time.Duration) (answer, error) {
	if !pause.For(ctx, s.rate.reserve(time.Now())) {
		return answer{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := "http://" + s.address + "/v1/kv/" + key + "?raw"
	if len(query) > 0 {
		address += "&" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return answer{}, errors.Wrapf(err, "address configuration service %s", s.address)
	}
	return get(s.client, request)
}

func quote(hash string) string { return `"` + hash + `"` }

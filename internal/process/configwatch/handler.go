package configwatch

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strings"

	"github.com/flamingohold/flamingohold/internal/version/manifest"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// servedBundle is the bundle in force in the form in which peers read it. It is
// immutable.
type servedBundle struct {
	manifest []byte
	hash     string
	chunks   map[string]servedChunk
}

// servedChunk is a chunk with and without gzip compression. A gateway serves
// each changed chunk to about four sidecars. Without compression, 1,600 changes
// a day would take 7 KB/s.
type servedChunk struct{ plain, compressed []byte }

// newServedBundle returns the bundle. It reuses the compressed chunks of the
// previous bundle, which may be nil.
func newServedBundle(m *manifest.Manifest, chunks map[string][]byte, previous *servedBundle) (*servedBundle, error) {
	data, err := m.Encode()
	if err != nil {
		return nil, err
	}
	s := &servedBundle{manifest: data, hash: m.Hash, chunks: make(map[string]servedChunk, len(chunks))}
	for hash, plain := range chunks {
		if previous != nil {
			if c, ok := previous.chunks[hash]; ok {
				s.chunks[hash] = c
				continue
			}
		}
		s.chunks[hash] = servedChunk{plain, compress(plain)}
	}
	return s, nil
}

func compress(plain []byte) []byte {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	_, _ = w.Write(plain) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	return buffer.Bytes()
}

// Handler serves the bundle in force to peers under /v1/configuration/. It does
// not check the peer secret; its caller must.
func (w *Watcher) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+manifestPath, w.serveManifest)
	mux.HandleFunc("GET "+chunkPathPrefix+"{sha256}", w.serveChunk)
	return mux
}

func (w *Watcher) serveManifest(response http.ResponseWriter, request *http.Request) {
	s := w.served.Load()
	if s == nil {
		_ = problem.New("no_configuration", http.StatusNotFound, problem.OutcomeRejected, "no configuration is in force yet").Write(response)
		return
	}
	response.Header().Set("Etag", quote(s.hash))
	if strings.Contains(request.Header.Get("If-None-Match"), quote(s.hash)) {
		response.WriteHeader(http.StatusNotModified)
		return
	}
	response.Header().Set("Content-Type", "application/json")
	_, _ = response.Write(s.manifest)
}

func (w *Watcher) serveChunk(response http.ResponseWriter, request *http.Request) {
	s := w.served.Load()
	if s != nil {
		if c, ok := s.chunks[request.PathValue("sha256")]; ok {
			c.write(response, request)
			return
		}
	}
	_ = problem.New("no_chunk", http.StatusNotFound, problem.OutcomeRejected, "the bundle in force has no such chunk").Write(response)
}

func (c servedChunk) write(response http.ResponseWriter, request *http.Request) {
	response.Header().Set("Content-Type", "application/json")
	if strings.Contains(request.Header.Get("Accept-Encoding"), "gzip") {
		response.Header().Set("Content-Encoding", "gzip")
		_, _ = response.Write(c.compressed)
		return
	}
	_, _ = response.Write(c.plain)
}

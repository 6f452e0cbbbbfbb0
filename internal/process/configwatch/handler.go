package configwatch

import (
	"net/http"
	"strings"

	"github.com/flamingohold/flamingohold/internal/version/manifest"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// served is the bundle in force as peers read it. It is never changed.
type served struct {
	manifest []byte
	hash     string
	chunks   map[string][]byte
}

func newServed(m *manifest.Manifest, chunks map[string][]byte) (*served, error) {
	data, err := m.Encode()
	if err != nil {
		return nil, err
	}
	return &served{manifest: data, hash: m.Hash, chunks: chunks}, nil
}

// Handler serves the bundle in force to peers under /v1/configuration/. The
// caller checks the peer secret.
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
		if data, ok := s.chunks[request.PathValue("sha256")]; ok {
			response.Header().Set("Content-Type", "application/json")
			_, _ = response.Write(data)
			return
		}
	}
	_ = problem.New("no_chunk", http.StatusNotFound, problem.OutcomeRejected, "the bundle in force has no such chunk").Write(response)
}

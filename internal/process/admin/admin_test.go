package admin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/admin"
)

// Guards against a load balancer that keeps sending requests to a draining
// process.
func TestDrainEndsReadiness(t *testing.T) {
	ready := true
	a := admin.New(func() bool { return ready }, func() { ready = false }, http.NotFoundHandler())
	require.Equal(t, http.StatusOK, status(a, http.MethodGet, "/readyz"))
	require.Equal(t, http.StatusMethodNotAllowed, status(a, http.MethodGet, "/drain"))
	require.Equal(t, http.StatusAccepted, status(a, http.MethodPost, "/drain"))
	require.Equal(t, http.StatusServiceUnavailable, status(a, http.MethodGet, "/readyz"))
	require.Equal(t, http.StatusOK, status(a, http.MethodGet, "/healthz"))
}

func status(a *admin.Admin, method, path string) int {
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
	return recorder.Code
}

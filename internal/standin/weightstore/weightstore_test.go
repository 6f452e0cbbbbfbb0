package weightstore_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/standin/weightstore"
)

// Guards against a rate limit that applies to each reader separately.
func TestReadersShareRateLimit(t *testing.T) {
	server := httptest.NewServer(weightstore.New(4<<20, 512<<10).Handler())
	t.Cleanup(server.Close)
	before := time.Now()
	lengths := make(chan int64, 2)
	for range 2 {
		go func() {
			response, err := http.Get(server.URL + "/v1/weights/m")
			if err != nil {
				lengths <- 0
				return
			}
			defer func() { _ = response.Body.Close() }()
			n, _ := io.Copy(io.Discard, response.Body)
			lengths <- n
		}()
	}
	require.Equal(t, int64(512<<10), <-lengths)
	require.Equal(t, int64(512<<10), <-lengths)
	// 1 MiB at 4 MiB/s takes 250 ms, less the time of one chunk: there is no wait
	// before the first or after the last.
	require.GreaterOrEqual(t, time.Since(before), 200*time.Millisecond)
}

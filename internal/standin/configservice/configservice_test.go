package configservice_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/standin/configservice"
)

func get(t *testing.T, url string) (status int, body, index string) {
	t.Helper()
	response, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(content), response.Header.Get("X-Consul-Index")
}

func newServer(t *testing.T) (*configservice.Service, string) {
	t.Helper()
	s := configservice.New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server.URL
}

// Guards against a blocking query that misses a change of its key, or that returns
// without one.
func TestBlockingQueryReturnsOnChange(t *testing.T) {
	s, url := newServer(t)
	s.Put("a", []byte("1"))
	_, body, index := get(t, url+"/v1/kv/a?raw")
	require.Equal(t, "1", body)
	answered := make(chan string, 1)
	go func() {
		_, changed, _ := get(t, url+"/v1/kv/a?raw&wait=60s&index="+index)
		answered <- changed
	}()
	s.Put("b", []byte("other"))
	select {
	case <-answered:
		require.Fail(t, "blocking query returned on a change of another key")
	case <-time.After(100 * time.Millisecond):
	}
	s.Put("a", []byte("2"))
	require.Equal(t, "2", <-answered)
}

// Guards against a blocking query that exceeds its wait time, and against a missing
// key without an index for the next query.
func TestBlockingQueryReturnsAfterWait(t *testing.T) {
	_, url := newServer(t)
	status, _, index := get(t, url+"/v1/kv/none?raw")
	require.Equal(t, http.StatusNotFound, status)
	status, _, unchanged := get(t, url+"/v1/kv/none?raw&wait=10ms&index="+index)
	require.Equal(t, http.StatusNotFound, status)
	require.Equal(t, index, unchanged)
}

// Guards against the current value being served in ModeStale and ModeOlder, and
// against any value being served in ModeDown.
func TestModesSelectServedValue(t *testing.T) {
	s, url := newServer(t)
	s.Put("a", []byte("1"))
	s.Put("a", []byte("2"))
	s.SetMode(configservice.ModeStale)
	s.Put("a", []byte("3"))
	_, body, _ := get(t, url+"/v1/kv/a?raw")
	require.Equal(t, "2", body)
	s.SetMode(configservice.ModeOlder)
	_, body, _ = get(t, url+"/v1/kv/a?raw")
	require.Equal(t, "2", body)
	s.SetMode(configservice.ModeUp)
	_, body, _ = get(t, url+"/v1/kv/a?raw")
	require.Equal(t, "3", body)
	s.SetMode(configservice.ModeDown)
	status, _, _ := get(t, url+"/v1/kv/a?raw")
	require.Equal(t, http.StatusInternalServerError, status)
	_, state, _ := get(t, url+"/admin/configuration")
	require.Contains(t, state, `"calls":4`)
}

// Guards against a stored value that exceeds the platform's limit of 1 MiB.
func TestValueAboveLimitIsRejected(t *testing.T) {
	_, url := newServer(t)
	body := strings.NewReader(strings.Repeat("x", 1<<20+1))
	request, err := http.NewRequest(http.MethodPut, url+"/v1/kv/a", body)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}

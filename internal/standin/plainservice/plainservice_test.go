package plainservice_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/standin/plainservice"
)

func post(t *testing.T, s *plainservice.Service, path, key, body string) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Idempotency-Key", key)
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, request)
	return recorder
}

// Guards against a duplicate execution that is missing from the counts.
func TestCountsEachExecution(t *testing.T) {
	s := plainservice.New(plainservice.Options{Name: "hire"})
	post(t, s, "/bookings", "k1", "a")
	post(t, s, "/bookings", "k1", "a")
	post(t, s, "/bookings", "k1", "b")
	executions := map[int]int{}
	for _, c := range s.Counts() {
		executions[c.Executions]++
	}
	require.Equal(t, map[int]int{1: 1, 2: 1}, executions)
}

// Guards against a deduplicating service that executes a key twice.
func TestDeduplicatedKeyRunsOnce(t *testing.T) {
	s := plainservice.New(plainservice.Options{Deduplicate: true})
	first := post(t, s, "/bookings", "k1", "a")
	second := post(t, s, "/bookings", "k1", "a")
	require.Equal(t, first.Body.String(), second.Body.String())
	require.Len(t, s.Counts(), 1)
	require.Equal(t, 1, s.Counts()[0].Executions)
}

// Guards against an execution that is not counted because its response is lost,
// and against a rejected request that is counted.
func TestFailuresBeforeAndAfterExecution(t *testing.T) {
	s := plainservice.New(plainservice.Options{})
	post(t, s, "/admin/fault", "", `{"fail":"before"}`)
	require.Equal(t, http.StatusInternalServerError, post(t, s, "/bookings", "k1", "a").Code)
	require.Empty(t, s.Counts())
	post(t, s, "/admin/fault", "", `{"fail":"after"}`)
	require.Panics(t, func() { post(t, s, "/bookings", "k1", "a") })
	require.Len(t, s.Counts(), 1)
}

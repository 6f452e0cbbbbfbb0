package decisions_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/decisions"
)

// Guards against memory use that grows with the number of requests, and against
// the loss of the newest records.
func TestRingIsBoundedAndKeepsNewestRecords(t *testing.T) {
	r := decisions.New("gateway-1", 64)
	for i := range 10_000 {
		r.Add(decisions.Record{RequestID: fmt.Sprint(i), Step: "route"})
	}
	r.Add(decisions.Record{RequestID: "last", Step: "route"})
	r.Add(decisions.Record{RequestID: "last", Step: "retry"})
	kept := 0
	for i := range 10_000 {
		kept += len(r.Find(fmt.Sprint(i)))
	}
	require.LessOrEqual(t, kept, 64)
	found := r.Find("last")
	require.Len(t, found, 2)
	require.Equal(t, "route", found[0].Step)
	require.Equal(t, "retry", found[1].Step)
}

// Guards against a response with records of another request, and against a data
// race between requests.
func TestHandlerReturnsRecordsOfOneRequest(t *testing.T) {
	r := decisions.New("gateway-1", decisions.DefaultCapacity)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() { r.Add(decisions.Record{RequestID: fmt.Sprint(i), Time: time.Unix(int64(i), 0)}) })
	}
	group.Wait()
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, decisions.Path+"3", nil))
	var response decisions.Response
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response))
	require.Equal(t, "gateway-1", response.Process)
	require.Len(t, response.Decisions, 1)
	require.Equal(t, "3", response.Decisions[0].RequestID)

	w = httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, decisions.Path, nil))
	require.Equal(t, http.StatusNotFound, w.Code)
}

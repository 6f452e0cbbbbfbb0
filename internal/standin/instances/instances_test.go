package instances_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/standin/instances"
)

// Guards against a list that makes a change visible at once, loses the other fields
// of a changed instance, or does not notify a waiting reader.
func TestChangeBecomesVisibleAfterLag(t *testing.T) {
	l := instances.New([]instance.Instance{{Name: "lm-1", Service: "lm", State: instance.StateLive}}, 100*time.Millisecond)
	server := httptest.NewServer(l.Handler())
	t.Cleanup(server.Close)
	request, err := http.NewRequest(http.MethodPut, server.URL+"/admin/instances/lm-1", strings.NewReader(`{"state":"leaving"}`))
	require.NoError(t, err)
	before := time.Now()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	response, err = http.Get(server.URL + "/v1/instances?index=1&wait=60s")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.GreaterOrEqual(t, time.Since(before), 100*time.Millisecond)
	var document struct{ Instances []instance.Instance }
	require.NoError(t, json.NewDecoder(response.Body).Decode(&document))
	require.Equal(t, []instance.Instance{{Name: "lm-1", Service: "lm", State: instance.StateLeaving}}, document.Instances)
}

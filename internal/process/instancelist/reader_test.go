package instancelist

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

const deliveryTimeout = 30 * time.Second

// scriptedService responds with its bodies one after another and repeats the
// last one. An empty body stands for a failure.
type scriptedService struct {
	mu     sync.Mutex
	bodies []string
}

func (s *scriptedService) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := s.bodies[0]
	if len(s.bodies) > 1 {
		s.bodies = s.bodies[1:]
	}
	if body == "" {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprint(w, body)
}

// Guards against a failed, malformed, truncated or suddenly empty response that
// replaces the last valid list, and against a reader that does not follow a
// service which restarts with a lower index.
func TestInvalidAnswersKeepLastList(t *testing.T) {
	const firstList = `{"index":9,"instances":[{"name":"lm-1","service":"lm","state":"live"}]}`
	const secondList = `{"index":2,"instances":[{"name":"lm-2","service":"lm","state":"leaving"}]}`
	server := httptest.NewServer(&scriptedService{bodies: []string{
		"", firstList, `{"index":10,"instances":[]}`, firstList[:30], `{"index":11,"instances":[{"name":"lm-1","service":"lm","state":"dead"}]}`, "", secondList,
	}})
	defer server.Close()
	var log bytes.Buffer
	delivered := make(chan []instance.Instance, 100)
	r := New(strings.TrimPrefix(server.URL, "http://"), eventlog.New(&log, zerolog.InfoLevel, "test"), func(l []instance.Instance, _ time.Time) { delivered <- l })
	r.retry, r.pause = time.Millisecond, time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = r.Run(ctx) })
	for _, name := range []string{"lm-1", "lm-2"} {
		select {
		case l := <-delivered:
			require.Len(t, l, 1)
			require.Equal(t, name, l[0].Name)
		case <-time.After(deliveryTimeout):
			require.Fail(t, "no list was delivered")
		}
	}
	cancel()
	group.Wait()
	require.Equal(t, 3, strings.Count(log.String(), `"event":4008`))
}

// Guards against a list that is taken from an answer with a malformed head, or that is
// read until the service closes the connection because its length is in a malformed line.
func TestListWithAMalformedHeadIsRefused(t *testing.T) {
	const list = `{"index":9,"instances":[]}`
	for _, head := range []string{"000 Error\r\n", "200 OK\r\nContent-Length : 26\r\n"} {
		address := rawanswer.Serve(t, "HTTP/1.1 "+head+"\r\n"+list)
		_, err := Read(t.Context(), address)
		require.ErrorIs(t, err, answerhead.ErrMalformed)
	}
}

// Guards against a list without a length that is used after its service reset the connection.
func TestListThatAResetCutsIsRefused(t *testing.T) {
	address := rawanswer.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\n"+`{"index":9,"instances":[]}`, rawanswer.Reset)
	for range 200 {
		_, err := Read(t.Context(), address)
		require.Error(t, err)
	}
}

// Guards against reading large lists too often while many instances change. A
// list of the target size is read only every few seconds.
func TestPauseGrowsWithListSize(t *testing.T) {
	r := New("", eventlog.Discard(), nil)
	require.Less(t, r.pauseAfter(4<<10), time.Second)
	require.Greater(t, r.pauseAfter(500<<10), 2*time.Second)
	require.Less(t, r.pauseAfter(maxListBytes), 4*time.Second)
}

// Guards against a panic on a malformed response body.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"index":1,"instances":[{"name":"a","service":"s","state":"live","incarnation":1}]}`))
	f.Add([]byte(`{"instances":[{"incarnation":-1}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := decode(body)
		if err != nil {
			require.ErrorIs(t, err, errMalformed)
			return
		}
		for _, i := range l.Instances {
			require.NotEmpty(t, i.Name)
		}
	})
}

// Guards against a list of 1,400 instances that is larger than the size on
// which the estimate of its control traffic is based.
func TestListOfTargetSizeFitsAssumedSize(t *testing.T) {
	l := list{Index: 1_000_000}
	for i := range 1400 {
		l.Instances = append(l.Instances, instance.Instance{
			Name: fmt.Sprintf("lm-pool-7f9c4d-%05d", i), Service: "lm-pool", Slot: fmt.Sprintf("lm-pool-%04d", i),
			DataCentre: "vestland-a", Region: "vestland", UpstreamAddress: "10.100.200.100:8000",
			SidecarAddress: "10.100.200.100:9200", SlotIncarnation: 12345, State: instance.StateLeaving,
		})
	}
	body, err := json.Marshal(l)
	require.NoError(t, err)
	t.Logf("%d bytes", len(body))
	require.Less(t, len(body), 400_000)
	_, err = decode(body)
	require.NoError(t, err)
}

package reporterclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/reporter"
	"github.com/flamingohold/flamingohold/internal/process/reservation"
	"github.com/flamingohold/flamingohold/internal/process/turnqueue"
)

// scriptedReporter is a reporter whose lines the test sends.
type scriptedReporter struct {
	lines chan reporter.Line

	mu         sync.Mutex
	suspicions int
	turns      *turnqueue.Queue
	// reserved is the latest request for a reservation, and released the released ones.
	reserved atomic.Value
	released chan string
}

func (s *scriptedReporter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case reporter.ReportsPath:
		s.serveReports(w, r)
	case reporter.SuspicionPath:
		s.mu.Lock()
		s.suspicions++
		s.mu.Unlock()
	case reporter.TryAcquirePath:
		var turn turnqueue.Request
		if json.NewDecoder(r.Body).Decode(&turn) != nil || !s.turns.TryAcquire(turn) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case reporter.ReleasePath:
		var turn turnqueue.Request
		if json.NewDecoder(r.Body).Decode(&turn) == nil {
			s.turns.Release(turn.ID)
		}
	case reporter.ReservationsPath, reporter.ReservationReleasePath:
		s.serveReservation(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveReservation gives the answer that the identifier states as status and body, none
// for the status 0.
func (s *scriptedReporter) serveReservation(w http.ResponseWriter, r *http.Request) {
	var wanted reservation.Request
	_ = json.NewDecoder(r.Body).Decode(&wanted)
	if r.URL.Path == reporter.ReservationReleasePath {
		s.released <- wanted.ID
		return
	}
	s.reserved.Store(wanted)
	text, answer, _ := strings.Cut(wanted.ID, " ")
	if status, _ := strconv.Atoi(text); status > 0 {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
		return
	}
	<-r.Context().Done()
}

func (s *scriptedReporter) serveReports(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case line := <-s.lines:
			if json.NewEncoder(w).Encode(line) != nil {
				return
			}
		}
	}
}

func (s *scriptedReporter) suspicionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspicions
}

// newClient returns a client of one upstream with a scripted reporter.
func newClient(t *testing.T) (*Client, *directory.Directory, *scriptedReporter) {
	t.Helper()
	scripted := &scriptedReporter{lines: make(chan reporter.Line), turns: turnqueue.New(), released: make(chan string)}
	server := httptest.NewServer(scripted)
	t.Cleanup(server.CloseClientConnections)
	host, text, err := net.SplitHostPort(server.Listener.Addr().String())
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	d := directory.New(eventlog.Discard(), func(string, string) (float64, bool) { return 0, false })
	d.Upsert(directory.Entry{ID: "u", Service: "lm", Address: net.JoinHostPort(host, "1"), DataCentre: "dc-1", ConcurrencyLimit: 8, Incarnation: 7}, time.Now())
	pool := upstreamclient.New(upstreamclient.Options{DialTimeout: time.Second}, time.Now)
	client := New(Options{
		Pool: pool, Directory: d, Router: "router:1", DataCentre: "dc-1", HasReporters: func(string) bool { return true },
		Port: port, Log: eventlog.Discard(), Clock: time.Now,
	})
	d.OnSuspect(client.ShareSuspect)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go client.Run(ctx)
	return client, d, scripted
}

func view(t *testing.T, d *directory.Directory) directory.View {
	t.Helper()
	v, ok := d.Upstream("u", time.Now())
	require.True(t, ok)
	return v
}

func await(t *testing.T, d *directory.Directory, matches func(directory.View) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return matches(view(t, d)) }, 2*time.Second, time.Millisecond)
}

// Guards against reports that do not reach the directory, and against ignoring
// that another router suspects the upstream.
func TestReportsAndSuspicionsReachDirectory(t *testing.T) {
	_, d, scripted := newClient(t)
	scripted.lines <- reporter.Line{Incarnation: 7, Waiting: 2, Running: 1, MemoryUsed: 9, MemoryTotal: 10, EventMicros: 28_000, Suspicions: 3}
	await(t, d, func(v directory.View) bool {
		return v.Reported && v.Waiting == 2 && v.MemoryUsed == 9 && v.EventTime == 28*time.Millisecond
	})
	require.False(t, view(t, d).Suspect, "the suspicions in a first line may be old")
	scripted.lines <- reporter.Line{Incarnation: 7, Suspicions: 4}
	await(t, d, func(v directory.View) bool { return v.Suspect && v.Waiting == 0 })
	require.Zero(t, scripted.suspicionCount(), "a suspicion of another router is not shared again")
	scripted.lines <- reporter.Line{Incarnation: 7, Suspicions: 4, Leaving: true}
	await(t, d, func(v directory.View) bool { return v.Leaving })
}

// Guards against a suspicion of this router that is not shared with the other
// routers.
func TestOwnSuspicionIsShared(t *testing.T) {
	_, d, scripted := newClient(t)
	scripted.lines <- reporter.Line{Incarnation: 7}
	await(t, d, func(v directory.View) bool { return v.Reported })
	d.MarkSuspect("u", time.Now())
	require.Eventually(t, func() bool { return scripted.suspicionCount() == 1 }, 2*time.Second, time.Millisecond)
}

// Guards against two copies at once over the link of one upstream, and against
// copies that wait for a reporter that does not answer.
func TestTurnsAreGrantedByReporter(t *testing.T) {
	client, d, scripted := newClient(t)
	v := view(t, d)
	_, free := client.TryAcquire(t.Context(), v, "r0")
	require.True(t, free, "without a connection to the reporter, the turn counts as free")
	scripted.lines <- reporter.Line{Incarnation: 7}
	await(t, d, func(v directory.View) bool { return v.Reported })
	require.Eventually(t, func() bool { return client.isConnected(v) }, 2*time.Second, time.Millisecond)
	release, free := client.TryAcquire(t.Context(), v, "r1")
	require.True(t, free)
	_, free = client.TryAcquire(t.Context(), v, "r2")
	require.False(t, free)
	release()
	_, free = client.TryAcquire(t.Context(), v, "r2")
	require.True(t, free)
}

// Guards against requests that are not sent because a reporter is not connected, does not
// answer, does not know reservations or gives an unexpected answer, and against refusals that are
// ignored.
func TestReservationsAreDecidedByReporter(t *testing.T) {
	client, d, scripted := newClient(t)
	v := view(t, d)
	r := reservation.Request{ID: "200 {}", Priority: 2, PromptTokens: 3000, OutputTokens: 744, Headroom: 0.12}
	granted := reservation.Decision{Granted: true}
	unconfirmed := reservation.Decision{Granted: true, Unconfirmed: true}
	require.Equal(t, unconfirmed, client.Reserve(t.Context(), v, r), "not connected")
	scripted.lines <- reporter.Line{Incarnation: 7}
	require.Eventually(t, func() bool { return client.isConnected(v) }, 2*time.Second, time.Millisecond)
	// An answer that takes longer than tryTimeout on a busy machine is unconfirmed.
	require.Eventually(t, func() bool { return client.Reserve(t.Context(), v, r) == granted }, 2*time.Second, time.Millisecond)
	sent := r
	sent.ConcurrencyLimit = 8
	require.Equal(t, sent, scripted.reserved.Load(), "with the limit of the upstream")
	for answer, decision := range map[string]reservation.Decision{
		`503 {"reason":"memory","retry_in_ms":120}`:                 {Reason: "memory", RetryIn: 120 * time.Millisecond},
		`503 {"reason":"memory","retry_in_ms":-1}`:                  {Reason: "memory"},
		`503 {"reason":"memory","retry_in_ms":9223372036854775807}`: {Reason: "memory", RetryIn: maxRetryIn},
		`200 {"unconfirmed":true}`:                                  unconfirmed, `200 granted`: unconfirmed, `503 {}`: unconfirmed, `503 overloaded`: unconfirmed,
		`404 page not found`: unconfirmed, `400 {"reason":"memory"}`: unconfirmed, `0`: unconfirmed,
	} {
		r.ID = answer
		require.Eventually(t, func() bool { return client.Reserve(t.Context(), v, r) == decision }, 2*time.Second, time.Millisecond, answer)
	}
	client.ReleaseReservation(v, "r1")
	require.Equal(t, "r1", <-scripted.released)
}

// Guards against following every upstream of a large fleet, and against losing sight of
// one at which this router has work.
func TestSubsetAndUpstreamsInUseAreFollowed(t *testing.T) {
	now := time.Now()
	d := directory.New(eventlog.Discard(), func(string, string) (float64, bool) { return 0, false })
	for i := range 200 {
		d.Upsert(directory.Entry{ID: fmt.Sprint(i), Service: "lm", Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "dc-1", Incarnation: 7}, now)
	}
	client := New(Options{Directory: d, Router: "router:1", DataCentre: "dc-1", HasReporters: func(string) bool { return true }})
	follows := func(id string, now time.Time) bool {
		return slices.ContainsFunc(client.followed(now), func(v directory.View) bool { return v.ID == id })
	}
	subset := len(client.followed(now))
	require.Less(t, subset, 50)
	other := ""
	for i := range 200 {
		if !follows(fmt.Sprint(i), now) {
			other = fmt.Sprint(i)
		}
	}
	require.True(t, d.Begin(other, 10, now))
	require.True(t, follows(other, now))
	d.End(other, 10)
	require.True(t, follows(other, now.Add(followedAfterUse/2)), "it may be used again")
	require.False(t, follows(other, now.Add(2*followedAfterUse)))
	require.Len(t, client.followed(now.Add(2*followedAfterUse)), subset)
}

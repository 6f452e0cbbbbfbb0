package forwarding

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/reservation"
	"github.com/flamingohold/flamingohold/internal/process/router/relocation"
	"github.com/flamingohold/flamingohold/internal/process/router/sendgate"
	"github.com/flamingohold/flamingohold/internal/process/router/waitqueue"
	"github.com/flamingohold/flamingohold/internal/version/route"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// scriptedReservations decides as the test defines, and records what is asked.
type scriptedReservations struct {
	mu       sync.Mutex
	decide   func(v directory.View, r reservation.Request) reservation.Decision
	asked    []reservation.Request
	released []string
}

// Reserve implements Reservations.
func (s *scriptedReservations) Reserve(_ context.Context, v directory.View, r reservation.Request) reservation.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, r)
	return s.decide(v, r)
}

// ReleaseReservation implements Reservations.
func (s *scriptedReservations) ReleaseReservation(v directory.View, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = append(s.released, v.ID+" "+id)
}

func (s *scriptedReservations) recorded() (asked []reservation.Request, released []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(asked, s.asked...), append(released, s.released...)
}

func grant(directory.View, reservation.Request) reservation.Decision {
	return reservation.Decision{Granted: true}
}

func refuseRoom(directory.View, reservation.Request) reservation.Decision {
	return reservation.Decision{Reason: "memory"}
}

const (
	// firstKey is the key of an account with priority 1, urgentKey of one with 0.
	firstKey  = "key-first"
	urgentKey = "key-urgent"
	// waitTarget is the latency target of the routes that can wait. It is long, so that
	// no request becomes due on a busy machine before its test says so.
	waitTarget = 15 * time.Second
	// waitTokens is the size of a prompt that needs 600 ms.
	waitTokens = 7 * 600
)

// newCompetingHarness returns a harness with engines, where the routes /draft/ and
// /match/ can wait and /brief/ cannot.
func newCompetingHarness(t *testing.T, decide func(directory.View, reservation.Request) reservation.Decision, upstreams ...http.HandlerFunc) (*harness, *scriptedReservations) {
	t.Helper()
	h := newHarness(t, upstreams...)
	routes := testRoutes()
	for i := range routes {
		switch r := &routes[i]; r.Name {
		case "draft", "match":
			r.Priority, r.LatencyTarget = 2, waitTarget
		case "brief":
			r.Kind, r.Timeout = route.Streaming, 2*time.Second
		}
	}
	first, urgent := 1, 0
	h.table = routetable.New(routetable.TableContent{
		Version: 1, Routes: routes, Services: []routetable.Service{{Name: "desk", Engine: &routetable.Engine{MemoryTokens: 26_864}}},
		AccountKeys: map[string]routetable.Account{
			testKey: {Name: "bakery"}, firstKey: {Name: "first", Priority: &first}, urgentKey: {Name: "urgent", Priority: &urgent},
		},
	})
	reservations := &scriptedReservations{decide: decide}
	h.forwarder.Reservations = reservations
	return h, reservations
}

// promptRequest returns a request with a prompt of waitTokens, which may wait for long.
func (h *harness) promptRequest(path, id, key string) *http.Request {
	r := h.request(http.MethodPost, path, "prompt")
	r.Header.Set(testNames.RequestID, id)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(testNames.TokenCounts, strconv.Itoa(waitTokens)+",40")
	r.Header.Set(testNames.Priority, "0")
	r.Header.Set(testNames.Deadline, "10000")
	return r
}

// start sends the request and returns a channel with its status.
func (h *harness) start(r *http.Request) <-chan int {
	status := make(chan int, 1)
	go func() {
		response, err := h.client.Do(r)
		if err != nil {
			status <- 0
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	return status
}

func (h *harness) queued() int {
	n := 0
	for priority := range 10 {
		n += h.forwarder.Queue.Len(priority)
	}
	return n
}

func (h *harness) requireQueued(want int) {
	h.t.Helper()
	require.Eventually(h.t, func() bool { return h.queued() == want }, 5*time.Second, time.Millisecond)
}

// recordRanks returns an upstream that streams two events, and records the IDs and ranks
// of its requests.
func recordRanks(ranks chan<- string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ranks <- r.Header.Get(testNames.RequestID) + " " + r.Header.Get(testNames.Priority)
		streamEvents(1, 2, false)(w, r)
	}
}

// Guards against a request that waits longer than its latency target allows, or is
// refused because it waited; against a wait that takes a place at an engine; and against
// a request that is not sent on when its caller claims a rank.
func TestWaitingRequestIsSentWhenDue(t *testing.T) {
	ranks := make(chan string, 1)
	var calls atomic.Int64
	h, reservations := newCompetingHarness(t, nil, recordRanks(ranks))
	reservations.decide = func(v directory.View, _ reservation.Request) reservation.Decision {
		calls.Add(int64(v.Calls))
		return reservation.Decision{Reason: "memory"}
	}
	request := h.promptRequest("/draft/x", "a", testKey)
	request.Header.Set(testNames.Deadline, "1700")
	begin := time.Now()
	require.Equal(t, http.StatusOK, <-h.start(request))
	require.GreaterOrEqual(t, time.Since(begin), 800*time.Millisecond, "1,700 ms less 600 for the prompt and 300 to send it")
	require.Equal(t, "a 5", <-ranks)
	asked, released := reservations.recorded()
	require.Greater(t, len(asked), 1, "the request looks for room again while it waits")
	require.Equal(t, reservation.Request{ID: "a", Priority: 2, PromptTokens: waitTokens, OutputTokens: 40, Headroom: 0.12}, asked[0])
	require.Empty(t, released)
	require.Zero(t, calls.Load())
	require.Zero(t, h.queued())
}

// Guards against less urgent requests that are sent before more urgent ones, and against
// requests that look for room out of turn.
func TestWaitingRequestsAreSentInOrderOfPriority(t *testing.T) {
	ranks := make(chan string, 3)
	var open atomic.Bool
	var granted []string
	h, reservations := newCompetingHarness(t, func(_ directory.View, r reservation.Request) reservation.Decision {
		if !open.Load() {
			return reservation.Decision{Reason: "memory"}
		}
		granted = append(granted, r.ID)
		return reservation.Decision{Granted: true}
	}, recordRanks(ranks))
	started := []<-chan int{h.start(h.promptRequest("/draft/x", "second", testKey))}
	h.requireQueued(1)
	started = append(started, h.start(h.promptRequest("/draft/x", "third", testKey)))
	h.requireQueued(2)
	started = append(started, h.start(h.promptRequest("/draft/x", "first", firstKey)))
	h.requireQueued(3)
	require.Eventually(t, func() bool {
		// A search of the request that was the first one before may still end until then.
		asked, _ := reservations.recorded()
		n := 0
		for _, r := range asked {
			if r.ID == "first" {
				n++
			}
		}
		return n > 1
	}, 5*time.Second, time.Millisecond)
	open.Store(true)
	for _, status := range started {
		require.Equal(t, http.StatusOK, <-status)
	}
	require.Equal(t, []string{"first", "second", "third"}, granted)
	require.ElementsMatch(t, []string{"first 5", "second 5", "third 5"}, []string{<-ranks, <-ranks, <-ranks})
	asked, _ := reservations.recorded()
	for i, r := range asked {
		if r.ID == "third" {
			require.Equal(t, len(asked)-1, i, "the last request asks once, when it is its turn")
		}
	}
}

// Guards against urgent requests that wait, and against urgent requests that are not sent
// if no engine has room.
func TestUrgentRequestIsSentAtOnce(t *testing.T) {
	for name, key := range map[string]string{"route": testKey, "account": urgentKey} {
		t.Run(name, func(t *testing.T) {
			ranks := make(chan string, 1)
			upstreams := []http.HandlerFunc{recordRanks(ranks), recordRanks(ranks), recordRanks(ranks), recordRanks(ranks)}
			h, reservations := newCompetingHarness(t, refuseRoom, upstreams...)
			path := map[string]string{"route": "/brief/x", "account": "/draft/x"}[name]
			require.Equal(t, http.StatusOK, <-h.start(h.promptRequest(path, "a", key)))
			require.Equal(t, "a 5", <-ranks)
			asked, released := reservations.recorded()
			require.Len(t, asked, maxReservationsAsked)
			require.Zero(t, asked[0].Headroom)
			require.Empty(t, released)
		})
	}
}

// Guards against refused requests that run, against a full queue that refuses the more
// urgent request, and against callers that all return at the same time.
func TestFullQueueRefusesTheLeastUrgent(t *testing.T) {
	ranks := make(chan string, 3)
	var open atomic.Bool
	h, _ := newCompetingHarness(t, func(directory.View, reservation.Request) reservation.Decision {
		return reservation.Decision{Granted: open.Load()}
	}, recordRanks(ranks))
	h.forwarder.Queue = waitqueue.New(waitqueue.Bounds{Requests: 1})
	evicted := h.start(h.promptRequest("/draft/x", "evicted", testKey))
	h.requireQueued(1)
	response := h.do(h.promptRequest("/draft/x", "refused", testKey))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "queue_full")
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, after)
	kept := h.start(h.promptRequest("/draft/x", "kept", firstKey))
	require.Equal(t, http.StatusServiceUnavailable, <-evicted)
	open.Store(true)
	require.Equal(t, http.StatusOK, <-kept)
	require.Equal(t, "kept 5", <-ranks)
	require.Empty(t, ranks)
}

// Guards against a request that is sent to an engine although its caller cannot wait for
// its prompt.
func TestRequestWithoutTimeForItsPromptIsRefused(t *testing.T) {
	ranks := make(chan string, 1)
	h, reservations := newCompetingHarness(t, grant, recordRanks(ranks))
	for _, path := range []string{"/draft/x", "/brief/x"} {
		r := h.promptRequest(path, "a", testKey)
		r.Header.Set(testNames.Deadline, "599")
		response := h.do(r)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Contains(t, string(body), "deadline_too_short")
	}
	asked, _ := reservations.recorded()
	require.Empty(t, asked)
	require.Empty(t, ranks)
}

// Guards against a change for services whose requests do not compete, and against ranks
// that callers set themselves.
func TestServiceWithoutPolicyIsServedAsBefore(t *testing.T) {
	for name, change := range map[string]func(h *harness){
		"no policy":       func(h *harness) { h.table = noWaits(h.table) },
		"no reservations": func(h *harness) { h.forwarder.Reservations = nil },
	} {
		t.Run(name, func(t *testing.T) {
			ranks := make(chan string, 1)
			h, reservations := newCompetingHarness(t, refuseRoom, recordRanks(ranks))
			change(h)
			require.Equal(t, http.StatusOK, <-h.start(h.promptRequest("/draft/x", "a", testKey)))
			require.Equal(t, "a ", <-ranks)
			asked, _ := reservations.recorded()
			require.Empty(t, asked)
		})
	}
}

// noWaits returns the table with the same priority for all routes.
func noWaits(t *routetable.Table) *routetable.Table {
	routes := append([]route.Route(nil), t.Routes()...)
	for i := range routes {
		routes[i].Priority = 0
	}
	return routetable.New(routetable.TableContent{
		Routes: routes, Services: []routetable.Service{*t.Service("desk")}, AccountKeys: map[string]routetable.Account{testKey: {Name: "bakery"}},
	})
}

// Guards against room that stays reserved for a request which does not run there, and
// against a router that waits for reporters which do not answer.
func TestReservationIsReleasedUnlessTheRequestRuns(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{"not run": decline, "misaddressed": answerWith(http.StatusMisdirectedRequest, "")} {
		t.Run(name, func(t *testing.T) {
			ranks := make(chan string, 1)
			h, reservations := newCompetingHarness(t, func(directory.View, reservation.Request) reservation.Decision {
				return reservation.Decision{Granted: true, Unconfirmed: true}
			}, first, recordRanks(ranks))
			require.Equal(t, http.StatusOK, <-h.start(h.promptRequest("/match/x", "a", testKey)))
			_, released := reservations.recorded()
			require.Equal(t, []string{"u-1 a"}, released)
			require.Equal(t, "a 5", <-ranks)
		})
	}
}

// Guards against a resumable stream that a full queue refuses as not run after it has
// begun, and against the rank of another request.
func TestRequestThatHasRunDoesNotWait(t *testing.T) {
	ranks := make(chan string, 1)
	h, reservations := newCompetingHarness(t, grant, streamEvents(1, 1, true), recordRanks(ranks))
	var queue *waitqueue.Queue
	h.relocator.onBegin = func(*relocation.Run) {
		place, _ := queue.Join(waitqueue.Request{Service: "desk"}, time.Now())
		require.NotNil(t, place)
		h.relocator.onBegin = nil
	}
	queue = waitqueue.New(waitqueue.Bounds{Requests: 1})
	h.forwarder.Queue = queue
	response := h.do(h.promptRequest("/match/x", "a", testKey))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, events(1, 2), string(body))
	require.Equal(t, "a 5", <-ranks)
	asked, _ := reservations.recorded()
	require.Zero(t, asked[len(asked)-1].Headroom)
}

// Guards against a moved run without a rank, and against a reservation for a run
// that moves with its memory.
func TestMovedRunHasARank(t *testing.T) {
	ranks := make(chan string, 1)
	h, reservations := newCompetingHarness(t, grant, streamEvents(1, 1, true), recordRanks(ranks))
	target, ok := h.directory.Upstream("u-2", time.Now())
	require.True(t, ok)
	h.relocator.onBegin = func(r *relocation.Run) {
		r.SetHandoff(relocation.Handoff{Target: target, CopySource: "10.0.0.1:1/handle"})
	}
	require.Equal(t, http.StatusOK, <-h.start(h.promptRequest("/draft/x", "a", firstKey)))
	require.Equal(t, "a 5", <-ranks)
	asked, _ := reservations.recorded()
	require.Len(t, asked, 1)
}

// Guards against requests that stay in the queue after their caller has disconnected, and
// against a stopping process that keeps requests which another router could complete.
func TestWaitEndsWithItsCallerAndWithTheProcess(t *testing.T) {
	newWaiting := func() (h *harness, request *http.Request, cancel func()) {
		h, _ = newCompetingHarness(t, refuseRoom, recordRanks(make(chan string, 1)))
		ctx, cancel := context.WithCancel(t.Context())
		request = h.promptRequest("/draft/x", "a", testKey).WithContext(ctx)
		request.RequestURI = "/draft/x"
		return h, request, cancel
	}
	h, request, cancel := newWaiting()
	time.AfterFunc(50*time.Millisecond, cancel)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { h.forwarder.ServeHTTP(httptest.NewRecorder(), request) })
	require.Zero(t, h.queued())

	h, request, cancel = newWaiting()
	defer cancel()
	time.AfterFunc(50*time.Millisecond, func() { h.stop.Store(&Stop{Begin: pastEnd, End: pastEnd}) })
	answer := httptest.NewRecorder()
	h.forwarder.ServeHTTP(answer, request)
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
	require.Contains(t, answer.Body.String(), "stopping")
	require.Zero(t, h.queued())
}

// Guards against callers that pass a full engine by an identifier which reporters refuse:
// such a request would be granted unconfirmed.
func TestRequestWithUnusableIDReservesRoom(t *testing.T) {
	for name, id := range map[string]string{"none": "", "too long": strings.Repeat("a", 257)} {
		t.Run(name, func(t *testing.T) {
			h, reservations := newCompetingHarness(t, grant, recordRanks(make(chan string, 1)))
			require.Equal(t, http.StatusOK, <-h.start(h.promptRequest("/draft/x", id, testKey)))
			asked, _ := reservations.recorded()
			require.Len(t, asked, 1)
			require.True(t, asked[0].HasValidID())
		})
	}
}

// limitedGate refuses all permits for a minute.
type limitedGate struct{ openGate }

func (limitedGate) Acquire(context.Context, directory.View, func() time.Duration) sendgate.Decision {
	return sendgate.Decision{Reason: sendgate.LimitUsedUp, RetryIn: time.Minute}
}

// Guards against a waiting request that reserves and releases room, and writes log lines,
// 20 to 50 times a second at an engine whose stated limit is used up.
func TestWaitingRequestDoesNotAskEnginesWithoutPermit(t *testing.T) {
	h, reservations := newCompetingHarness(t, grant, recordRanks(make(chan string, 1)))
	h.forwarder.Gate = limitedGate{}
	var log lineLog
	h.forwarder.Log = eventlog.New(&log, zerolog.InfoLevel, "router")
	request := h.promptRequest("/draft/x", "a", testKey)
	request.Header.Set(testNames.Deadline, "1300")
	response := h.do(request)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "upstream_limits")
	asked, released := reservations.recorded()
	require.Len(t, asked, 1)
	require.Equal(t, []string{"u-1 a"}, released)
	require.LessOrEqual(t, len(log.linesWith(eventlog.PermitRefused.Name)), 2, "one of the wait and one of the last choice")
}

// BenchmarkSearchForRoom measures a search in which all engines refuse.
func BenchmarkSearchForRoom(b *testing.B) {
	for _, engines := range []int{64, 1400} {
		for _, skipFull := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/skip_full=%t", engines, skipFull), func(b *testing.B) {
				c := newBenchmarkCall(engines)
				b.ReportAllocs()
				for b.Loop() {
					_, _, _ = c.reserve(context.Background(), roomSearch{headroom: 0.12, skipFull: skipFull})
				}
			})
		}
	}
}

// newBenchmarkCall returns a request for a service with full engines.
func newBenchmarkCall(engines int) *call {
	now := time.Now()
	d := directory.New(eventlog.Discard(), func(string, string) (float64, bool) { return 0, false })
	for i := range engines {
		id := strconv.Itoa(i)
		d.Upsert(directory.Entry{ID: id, Service: "desk", Address: "10.0.0.1:" + id, DataCentre: "dc-1", ConcurrencyLimit: 24, Incarnation: 1}, now)
		d.ObserveReport(id, directory.Report{Incarnation: 1, Running: 20, MemoryUsed: 26_000, MemoryTotal: 26_864}, now)
	}
	f := New(Options{
		Directory: d, Gate: openGate{}, Log: eventlog.Discard(), Clock: func() time.Time { return now }, Metrics: NewMetrics(tally.NoopScope),
		Reservations: discardingReservations{},
	})
	return &call{
		Forwarder: f, id: "a", service: &routetable.Service{Name: "desk", Engine: &routetable.Engine{MemoryTokens: 26_864}},
		tried: make(map[string]bool),
	}
}

// openGate admits all requests.
type openGate struct{}

func (openGate) Acquire(context.Context, directory.View, func() time.Duration) sendgate.Decision {
	return sendgate.Decision{Granted: true}
}
func (openGate) PauseLeft(directory.View) time.Duration { return 0 }
func (openGate) Confirm(directory.View) error           { return nil }
func (openGate) ConfirmReturn(directory.View) error     { return nil }

// discardingReservations refuses all reservations.
type discardingReservations struct{}

func (discardingReservations) Reserve(context.Context, directory.View, reservation.Request) reservation.Decision {
	return reservation.Decision{}
}
func (discardingReservations) ReleaseReservation(directory.View, string) {}

package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	streamedBody   = `{"model":"m","prompt":"p","stream":true}`
	unstreamedBody = `{"model":"m","prompt":"p"}`
)

type offerScript = func(*fakeStream, *attempt.Attempt)

type resumeScript = func(*fakeStream, string, uint64)

// completeGeneration returns a script that sends all n tokens and the end of a
// generation.
func completeGeneration(generation string, n uint64) offerScript {
	return func(s *fakeStream, _ *attempt.Attempt) {
		s.send(acceptedFrame(generation))
		s.send(tokenFrames(generation, 1, n)...)
		s.send(endFrame(n))
	}
}

// brokenGeneration returns a script that sends the first n tokens of a generation,
// after which the link fails.
func brokenGeneration(n uint64, fail func(*fakeStream)) offerScript {
	return func(s *fakeStream, _ *attempt.Attempt) {
		s.send(acceptedFrame("e1.a.1"))
		s.send(tokenFrames("e1.a.1", 1, n)...)
		fail(s)
	}
}

// remainingTokens returns a script that sends the tokens after the position, up to
// token n, and the end.
func remainingTokens(n uint64) resumeScript {
	return func(s *fakeStream, generation string, after uint64) {
		s.send(frame.Frame{Kind: frame.KindHeartbeat})
		s.send(tokenFrames(generation, after+1, n)...)
		s.send(endFrame(n))
	}
}

// Guards guarantee G1 of docs/design.md against faults of the link to the
// sidecar: the caller receives each token exactly once and in order, and the
// normal end only after the last token.
func TestLinkFaultsAreHiddenFromCaller(t *testing.T) {
	for name, test := range map[string]struct {
		offer  offerScript
		resume []resumeScript
	}{
		"no fault":       {completeGeneration("e1.a.1", 9), nil},
		"connection cut": {brokenGeneration(4, (*fakeStream).cut), []resumeScript{remainingTokens(9)}},
		"connection cut before the first token": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(acceptedFrame("e1.a.1"))
			s.cut()
		}, []resumeScript{remainingTokens(9)}},
		"connection open without data": {brokenGeneration(4, (*fakeStream).hang), []resumeScript{remainingTokens(9)}},
		"resumed connection cut": {brokenGeneration(2, (*fakeStream).cut), []resumeScript{
			func(s *fakeStream, g string, after uint64) { s.send(tokenFrames(g, after+1, after+3)...); s.cut() },
			func(s *fakeStream, _ string, _ uint64) { s.cut() },
			func(s *fakeStream, _ string, _ uint64) {
				_ = problem.NotRun("starting", "sidecar starts", time.Second).Write(s.w)
			},
			remainingTokens(9),
		}},
		"tokens duplicated and reordered": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(acceptedFrame("e1.a.1"))
			all := tokenFrames("e1.a.1", 1, 9)
			s.send(all[0], all[1], all[0], all[1], all[3], all[2])
			s.send(all[4:]...)
			s.send(endFrame(9))
		}, []resumeScript{
			func(s *fakeStream, g string, after uint64) {
				s.send(tokenFrames(g, max(1, after-1), 9)...)
				s.send(tokenFrames(g, 3, 9)...)
				s.send(endFrame(9))
			},
		}},
		"end before the last token": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(acceptedFrame("e1.a.1"))
			s.send(tokenFrames("e1.a.1", 1, 4)...)
			s.send(endFrame(9))
		}, []resumeScript{remainingTokens(9)}},
		"frames of another generation": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(acceptedFrame("e1.a.1"))
			s.send(tokenFrames("e1.a.1", 1, 4)...)
			s.send(acceptedFrame("e1.a.2"))
			s.send(tokenFrames("e1.a.2", 5, 9)...)
			s.send(endFrame(9))
		}, []resumeScript{remainingTokens(9)}},
		"stream of another generation": {brokenGeneration(4, (*fakeStream).cut), []resumeScript{func(s *fakeStream, _ string, after uint64) {
			s.w.Header().Set(attempt.StreamIDHeader, "e1.a.2")
			s.send(tokenFrames("e1.a.2", after+1, 9)...)
			s.send(endFrame(9))
		}, remainingTokens(9)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, body := range []string{streamedBody, unstreamedBody} {
				e := newFakeSidecar(t, "e1", "pool")
				e.offers, e.resumes = []offerScript{test.offer}, test.resume
				o := newFixture(t, e).do(t, http.MethodPost, completionsPath, body)
				require.Equal(t, http.StatusOK, o.status, o.body)
				require.Nil(t, o.failure)
				if body == unstreamedBody {
					require.Equal(t, 9, strings.Count(o.body, "e1.a.1/"), o.body)
					require.NotContains(t, o.body, "e1.a.2")
					continue
				}
				o.requireTokens(t, "e1.a.1", 1, 9)
				require.True(t, o.done)
				require.Equal(t, "e1.a.1:9", o.ids[len(o.ids)-1])
			}
		})
	}
}

// Guards G1: once a token was sent, no other generation continues the answer, and
// an incomplete answer does not end normally. If nothing was sent, the answer is
// generated again.
func TestLostGenerationIsNotContinuedByAnother(t *testing.T) {
	failAfter := func(n uint64) offerScript {
		return func(s *fakeStream, _ *attempt.Attempt) {
			s.send(acceptedFrame("e1.a.1"))
			s.send(tokenFrames("e1.a.1", 1, n)...)
			s.send(failedFrame(problem.Incomplete("generation_failed", "engine died")))
		}
	}
	for name, test := range map[string]struct {
		body   string
		tokens uint64
		// regenerated is true if the answer comes from a second generation.
		regenerated bool
	}{
		"streamed, after tokens":     {streamedBody, 3, false},
		"streamed, before any token": {streamedBody, 0, true},
		"not streamed":               {unstreamedBody, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeSidecar(t, "e1", "pool")
			e.offers = []offerScript{failAfter(test.tokens), completeGeneration("e1.a.2", 5)}
			o := newFixture(t, e).do(t, http.MethodPost, completionsPath, test.body)
			require.Equal(t, http.StatusOK, o.status, o.body)
			attempts, _, _, _ := e.received()
			if test.regenerated {
				require.Len(t, attempts, 2)
				require.NotEqual(t, attempts[0].ID, attempts[1].ID)
				require.NotContains(t, o.body, "e1.a.1")
				return
			}
			require.Len(t, attempts, 1)
			o.requireTokens(t, "e1.a.1", 1, 3)
			require.False(t, o.done)
			require.Equal(t, problem.OutcomeIncomplete, o.failure.Outcome)
			require.False(t, o.failure.Retryable)
			require.NotEmpty(t, o.failure.RequestID)
		})
	}
}

// Guards against a prompt that ends the engines of all instances, one after the other.
func TestGenerationLostAtThreeInstancesIsNotSentToAFourth(t *testing.T) {
	lose := func(s *fakeStream, _ *attempt.Attempt) {
		s.send(acceptedFrame("e1.a.1"))
		s.send(failedFrame(problem.Incomplete("generation_failed", "engine died")))
	}
	sidecars := make([]*fakeSidecar, 6)
	for i := range sidecars {
		sidecars[i] = newFakeSidecar(t, "e"+strconv.Itoa(i), "pool")
		sidecars[i].offers = []offerScript{lose}
	}
	o := newFixture(t, sidecars...).do(t, http.MethodPost, completionsPath, unstreamedBody)
	require.Equal(t, http.StatusBadGateway, o.status, o.body)
	sent := 0
	for _, s := range sidecars {
		attempts, _, _, _ := s.received()
		sent += len(attempts)
	}
	require.Equal(t, 3, sent)
}

// Guards G4: callers that use the same request identifier each receive their own
// answer, and a generation of another instance is rejected.
func TestEqualRequestIDsKeepAnswersSeparate(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	e.offers = []offerScript{func(s *fakeStream, a *attempt.Attempt) {
		generation := "e1.a." + a.Account
		completeGeneration(generation, 50)(s, a)
	}}
	f := newFixture(t, e)
	results := make(chan outcome, 20)
	for n := range cap(results) {
		key := []string{"bakery", "couple"}[n%2]
		go func() {
			results <- f.do(t, http.MethodPost, completionsPath, streamedBody,
				withHeader(requestIDHeader, "same"), withHeader("Authorization", "Bearer key-"+key), withHeader("X-Expected", key))
		}()
	}
	counts := map[string]int{}
	for range cap(results) {
		o := <-results
		require.Len(t, o.events, 50)
		generation, _, _ := strings.Cut(o.events[0], "/")
		o.requireTokens(t, generation, 1, 50)
		require.Equal(t, "same", o.header.Get(requestIDHeader))
		counts[generation]++
	}
	require.Equal(t, map[string]int{"e1.a.bakery": 10, "e1.a.couple": 10}, counts)

	e.mu.Lock()
	e.offers = []offerScript{completeGeneration("e2.a.1", 5), completeGeneration("e1.a.2", 5)}
	e.mu.Unlock()
	o := f.do(t, http.MethodPost, completionsPath, streamedBody)
	o.requireTokens(t, "e1.a.2", 1, 5)
}

// Guards against a resumed answer that repeats or skips tokens, and against
// access to another account's answer.
func TestCallerResumesThroughAnyGateway(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	e.resumes = []resumeScript{remainingTokens(9)}
	f := newFixture(t, e)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		o := f.do(t, method, completionsPath, "", withHeader("Last-Event-ID", "e1.a.1:6"))
		o.requireTokens(t, "e1.a.1", 7, 9)
		require.True(t, o.done)
	}
	o := f.do(t, http.MethodGet, completionsPath, "", withHeader("Last-Event-ID", "e1.a.1:9"))
	require.Empty(t, o.events)
	require.True(t, o.done, "only the end of the answer was missing")

	o = f.do(t, http.MethodGet, completionsPath, "", withHeader("Last-Event-ID", "e1.a.1:6"), withHeader("Authorization", "Bearer key-couple"))
	require.Equal(t, http.StatusForbidden, o.status)
	o = f.do(t, http.MethodGet, completionsPath, "", withHeader("Last-Event-ID", "e9.a.1:6"))
	require.Equal(t, problem.OutcomeIncomplete, o.problem.Outcome)
	o = f.do(t, http.MethodGet, completionsPath, "", withHeader("Last-Event-ID", "nonsense"))
	require.Equal(t, http.StatusBadRequest, o.status)
}

// Guards against an engine that continues to generate after the caller has
// disconnected.
func TestDisconnectCancelsTheGeneration(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	e.offers = []offerScript{func(s *fakeStream, _ *attempt.Attempt) {
		s.send(acceptedFrame("e1.a.1"))
		s.send(tokenFrames("e1.a.1", 1, 2)...)
		for s.r.Context().Err() == nil {
			s.send(frame.Frame{Kind: frame.KindHeartbeat})
			time.Sleep(50 * time.Millisecond)
		}
	}}
	f := newFixture(t, e)
	response, err := http.DefaultClient.Do(f.request(t, http.MethodPost, completionsPath, streamedBody))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Eventually(t, func() bool {
		_, _, cancelled, _ := e.received()
		return len(cancelled) == 1 && cancelled[0] == "e1.a.1"
	}, testTimeout, 10*time.Millisecond)
}

// Guards against a refusal by one instance that is not retried at another, and
// against retries without bound when all instances refuse.
func TestRefusedGenerationIsRetriedAtOtherInstances(t *testing.T) {
	full := func(s *fakeStream, _ *attempt.Attempt) {
		_ = problem.NotRun("queue_full", "the queue is full", 7*time.Second).Write(s.w)
	}
	e1, e2 := newFakeSidecar(t, "e1", "pool"), newFakeSidecar(t, "e2", "pool")
	e1.offers, e2.offers = []offerScript{full}, []offerScript{full}
	f := newFixture(t, e1, e2)
	o := f.do(t, http.MethodPost, chatCompletionsPath, `{"model":"m","messages":[]}`)
	require.Equal(t, http.StatusServiceUnavailable, o.status)
	require.Equal(t, "7", o.header.Get("Retry-After"))
	require.Equal(t, problem.OutcomeNotRun, o.problem.Outcome)
	require.Contains(t, o.body, `"error":{"message":"the queue is full"`)
	first, _, _, _ := e1.received()
	second, _, _, _ := e2.received()
	require.Len(t, append(first, second...), 2)

	e2.mu.Lock()
	e2.offers = []offerScript{completeGeneration("e2.a.1", 3)}
	e2.mu.Unlock()
	e1.server.CloseClientConnections()
	for range 5 {
		o = f.do(t, http.MethodPost, completionsPath, streamedBody)
		o.requireTokens(t, "e2.a.1", 1, 3)
	}
	o = f.do(t, http.MethodPost, completionsPath, `{"model":"other","prompt":"p"}`)
	require.Equal(t, http.StatusNotFound, o.status)
	o = f.do(t, http.MethodPost, completionsPath, `{"model":`)
	require.Equal(t, http.StatusBadRequest, o.status)
}

// Guards against a trace context or request identifier that is not propagated to
// the sidecar, and against identifiers that would break a header or a log line.
func TestTraceAndRequestIDArePropagated(t *testing.T) {
	const trace = "0af7651916cd43dd8448eb211c80319c"
	e := newFakeSidecar(t, "e1", "pool")
	e.offers = []offerScript{completeGeneration("e1.a.1", 2)}
	f := newFixture(t, e)
	o := f.do(t, http.MethodPost, completionsPath, streamedBody,
		withHeader("Traceparent", "00-"+trace+"-b7ad6b7169203331-01"), withHeader(requestIDHeader, "wedding-7"))
	require.Contains(t, o.header.Get("Traceparent"), trace)
	require.Equal(t, "wedding-7", o.header.Get(requestIDHeader))
	attempts, _, _, _ := e.received()
	require.Equal(t, "wedding-7", attempts[0].RequestID)
	e.mu.Lock()
	require.Contains(t, e.traces[0], trace)
	require.NotContains(t, e.traces[0], "b7ad6b7169203331", "the gateway must start its own span")
	e.mu.Unlock()
	require.Len(t, f.gateway.decisions.Find("wedding-7"), 1)
	o = f.do(t, http.MethodPost, completionsPath, streamedBody, withHeader(requestIDHeader, "two words"))
	require.NotContains(t, o.header.Get(requestIDHeader), " ")
}

// Guards against an engine's error response that reaches the caller as a gateway
// failure, and against request fields that callers must not set.
func TestEngineReceivesRequestAndItsErrorReachesCaller(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	e.offers = []offerScript{func(s *fakeStream, _ *attempt.Attempt) {
		s.send(acceptedFrame("e1.a.1"), responseFrame(http.StatusBadRequest, `{"error":{"message":"bad temperature"}}`))
	}}
	f := newFixture(t, e)
	o := f.do(t, http.MethodPost, completionsPath, `{"model":"m","prompt":"p","stop":["\n"],"max_tokens":7,"seed":12345678901234567890,"priority":-9,"request_id":"x"}`)
	require.Equal(t, http.StatusBadRequest, o.status)
	require.JSONEq(t, `{"error":{"message":"bad temperature"}}`, o.body)
	attempts, _, _, _ := e.received()
	require.Len(t, attempts, 1)
	require.JSONEq(t, `{"model":"m","prompt":"p","stop":["\n"],"max_tokens":7,"seed":12345678901234567890,"stream":true,"stream_options":{"include_usage":true}}`, string(attempts[0].Request.Body))
	require.Contains(t, string(attempts[0].Request.Body), "12345678901234567890")
	require.Equal(t, 7, attempts[0].MaxTokens)
	require.Equal(t, "bakery", attempts[0].Account)
}

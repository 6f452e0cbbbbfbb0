package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	streamedBody = `{"model":"m","prompt":"p","stream":true}`
	wholeBody    = `{"model":"m","prompt":"p"}`
)

type offerScript = func(*fakeStream, *attempt.Attempt)

type resumeScript = func(*fakeStream, string, uint64)

// whole sends all tokens of a generation.
func whole(generation string, n uint64) offerScript {
	return func(s *fakeStream, _ *attempt.Attempt) {
		s.send(accepted(generation))
		s.send(tokens(generation, 1, n)...)
		s.send(end(n))
	}
}

// rest sends the tokens after the position.
func rest(n uint64) resumeScript {
	return func(s *fakeStream, generation string, after uint64) {
		s.send(frame.Frame{Kind: frame.KindHeartbeat})
		s.send(tokens(generation, after+1, n)...)
		s.send(end(n))
	}
}

// Guards G1 against every fault of a link: the caller receives each token once
// and in order, and the normal end only after the last one.
func TestLinkFaultsDoNotReachTheCaller(t *testing.T) {
	for name, test := range map[string]struct {
		offer  offerScript
		resume []resumeScript
	}{
		"whole": {whole("e1.a.1", 9), nil},
		"cut": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(accepted("e1.a.1"))
			s.send(tokens("e1.a.1", 1, 4)...)
			s.cut()
		}, []resumeScript{rest(9)}},
		"cut before the first token": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(accepted("e1.a.1"))
			s.cut()
		}, []resumeScript{rest(9)}},
		"silent": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(accepted("e1.a.1"))
			s.send(tokens("e1.a.1", 1, 4)...)
			s.hang()
		}, []resumeScript{rest(9)}},
		"resumption cut, too": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(accepted("e1.a.1"))
			s.send(tokens("e1.a.1", 1, 2)...)
			s.cut()
		}, []resumeScript{
			func(s *fakeStream, g string, after uint64) { s.send(tokens(g, after+1, after+3)...); s.cut() },
			func(s *fakeStream, _ string, _ uint64) { s.cut() },
			func(s *fakeStream, _ string, _ uint64) {
				_ = problem.NotRun("starting", "sidecar starts", time.Second).Write(s.w)
			},
			rest(9),
		}},
		"doubled and reordered": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(accepted("e1.a.1"))
			all := tokens("e1.a.1", 1, 9)
			s.send(all[0], all[1], all[0], all[1], all[3], all[2])
			s.send(all[4:]...)
			s.send(end(9))
		}, []resumeScript{
			func(s *fakeStream, g string, after uint64) {
				s.send(tokens(g, max(1, after-1), 9)...)
				s.send(tokens(g, 3, 9)...)
				s.send(end(9))
			},
		}},
		"end before the last token": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(accepted("e1.a.1"))
			s.send(tokens("e1.a.1", 1, 4)...)
			s.send(end(9))
		}, []resumeScript{rest(9)}},
		"frames of another generation": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(accepted("e1.a.1"))
			s.send(tokens("e1.a.1", 1, 4)...)
			s.send(accepted("e1.a.2"))
			s.send(tokens("e1.a.2", 5, 9)...)
			s.send(end(9))
		}, []resumeScript{rest(9)}},
		"stream of another generation": {func(s *fakeStream, _ *attempt.Attempt) {
			s.send(accepted("e1.a.1"))
			s.send(tokens("e1.a.1", 1, 4)...)
			s.cut()
		}, []resumeScript{func(s *fakeStream, _ string, after uint64) {
			s.w.Header().Set(attempt.StreamHeader, "e1.a.2")
			s.send(tokens("e1.a.2", after+1, 9)...)
			s.send(end(9))
		}, rest(9)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, body := range []string{streamedBody, wholeBody} {
				e := newFakeSidecar(t, "e1", "pool")
				e.offers, e.resumes = []offerScript{test.offer}, test.resume
				o := newFixture(t, e).do(t, http.MethodPost, textPath, body)
				require.Equal(t, http.StatusOK, o.status, o.body)
				require.Nil(t, o.failure)
				if body == wholeBody {
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

// Guards G1: once a token was sent, no second generation continues the answer,
// and an incomplete answer has no normal end. An answer of which nothing was sent
// is generated again.
func TestLostGeneration(t *testing.T) {
	died := func(n uint64) offerScript {
		return func(s *fakeStream, _ *attempt.Attempt) {
			s.send(accepted("e1.a.1"))
			s.send(tokens("e1.a.1", 1, n)...)
			s.send(failed(problem.Incomplete("generation_failed", "engine died")))
		}
	}
	for name, test := range map[string]struct {
		body   string
		tokens uint64
		// again is true if the answer comes from a second generation.
		again bool
	}{
		"streamed, after tokens":     {streamedBody, 3, false},
		"streamed, before any token": {streamedBody, 0, true},
		"not streamed":               {wholeBody, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeSidecar(t, "e1", "pool")
			e.offers = []offerScript{died(test.tokens), whole("e1.a.2", 5)}
			o := newFixture(t, e).do(t, http.MethodPost, textPath, test.body)
			require.Equal(t, http.StatusOK, o.status, o.body)
			attempts, _, _, _ := e.seen()
			if test.again {
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

// Guards G4: two callers with one request identifier and swapped answers receive
// their own, and an answer of another instance is not taken.
func TestCallersWithOneRequestIDKeepTheirAnswers(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	e.offers = []offerScript{func(s *fakeStream, a *attempt.Attempt) {
		generation := "e1.a." + a.Account
		whole(generation, 50)(s, a)
	}}
	f := newFixture(t, e)
	results := make(chan outcome, 20)
	for n := range cap(results) {
		key := []string{"bakery", "couple"}[n%2]
		go func() {
			results <- f.do(t, http.MethodPost, textPath, streamedBody,
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
	e.offers = []offerScript{whole("e2.a.1", 5), whole("e1.a.2", 5)}
	e.mu.Unlock()
	o := f.do(t, http.MethodPost, textPath, streamedBody)
	o.requireTokens(t, "e1.a.2", 1, 5)
}

// Guards against a resumed answer that repeats or skips tokens, and against a
// caller who reads another account's answer.
func TestCallerResumesThroughAnyGateway(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	e.resumes = []resumeScript{rest(9)}
	f := newFixture(t, e)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		o := f.do(t, method, textPath, "", withHeader("Last-Event-ID", "e1.a.1:6"))
		o.requireTokens(t, "e1.a.1", 7, 9)
		require.True(t, o.done)
	}
	o := f.do(t, http.MethodGet, textPath, "", withHeader("Last-Event-ID", "e1.a.1:9"))
	require.Empty(t, o.events)
	require.True(t, o.done, "the end itself was lost")

	o = f.do(t, http.MethodGet, textPath, "", withHeader("Last-Event-ID", "e1.a.1:6"), withHeader("Authorization", "Bearer key-couple"))
	require.Equal(t, http.StatusForbidden, o.status)
	o = f.do(t, http.MethodGet, textPath, "", withHeader("Last-Event-ID", "e9.a.1:6"))
	require.Equal(t, problem.OutcomeIncomplete, o.problem.Outcome)
	o = f.do(t, http.MethodGet, textPath, "", withHeader("Last-Event-ID", "nonsense"))
	require.Equal(t, http.StatusBadRequest, o.status)
}

// Guards against an engine that goes on generating for a caller who has gone.
func TestDisconnectCancelsTheGeneration(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	e.offers = []offerScript{func(s *fakeStream, _ *attempt.Attempt) {
		s.send(accepted("e1.a.1"))
		s.send(tokens("e1.a.1", 1, 2)...)
		for s.r.Context().Err() == nil {
			s.send(frame.Frame{Kind: frame.KindHeartbeat})
			time.Sleep(50 * time.Millisecond)
		}
	}}
	f := newFixture(t, e)
	response, err := http.DefaultClient.Do(f.request(t, http.MethodPost, textPath, streamedBody))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Eventually(t, func() bool {
		_, _, cancelled, _ := e.seen()
		return len(cancelled) == 1 && cancelled[0] == "e1.a.1"
	}, patience, 10*time.Millisecond)
}

// Guards against refusals that are given up at once or retried without end.
func TestRefusedGenerationIsTriedElsewhere(t *testing.T) {
	full := func(s *fakeStream, _ *attempt.Attempt) {
		_ = problem.NotRun("queue_full", "the queue is full", 7*time.Second).Write(s.w)
	}
	e1, e2 := newFakeSidecar(t, "e1", "pool"), newFakeSidecar(t, "e2", "pool")
	e1.offers, e2.offers = []offerScript{full}, []offerScript{full}
	f := newFixture(t, e1, e2)
	o := f.do(t, http.MethodPost, chatPath, `{"model":"m","messages":[]}`)
	require.Equal(t, http.StatusServiceUnavailable, o.status)
	require.Equal(t, "7", o.header.Get("Retry-After"))
	require.Equal(t, problem.OutcomeNotRun, o.problem.Outcome)
	require.Contains(t, o.body, `"error":{"message":"the queue is full"`)
	first, _, _, _ := e1.seen()
	second, _, _, _ := e2.seen()
	require.Len(t, append(first, second...), 2)

	e2.mu.Lock()
	e2.offers = []offerScript{whole("e2.a.1", 3)}
	e2.mu.Unlock()
	e1.server.CloseClientConnections()
	for range 5 {
		o = f.do(t, http.MethodPost, textPath, streamedBody)
		o.requireTokens(t, "e2.a.1", 1, 3)
	}
	o = f.do(t, http.MethodPost, textPath, `{"model":"other","prompt":"p"}`)
	require.Equal(t, http.StatusNotFound, o.status)
	o = f.do(t, http.MethodPost, textPath, `{"model":`)
	require.Equal(t, http.StatusBadRequest, o.status)
}

// Guards against a trace or a request identifier that ends at the gateway, and
// against identifiers that would break a header or a log line.
func TestTraceAndRequestIDArePassedOn(t *testing.T) {
	const trace = "0af7651916cd43dd8448eb211c80319c"
	e := newFakeSidecar(t, "e1", "pool")
	e.offers = []offerScript{whole("e1.a.1", 2)}
	f := newFixture(t, e)
	o := f.do(t, http.MethodPost, textPath, streamedBody,
		withHeader("Traceparent", "00-"+trace+"-b7ad6b7169203331-01"), withHeader(requestIDHeader, "wedding-7"))
	require.Contains(t, o.header.Get("Traceparent"), trace)
	require.Equal(t, "wedding-7", o.header.Get(requestIDHeader))
	attempts, _, _, _ := e.seen()
	require.Equal(t, "wedding-7", attempts[0].RequestID)
	e.mu.Lock()
	require.Contains(t, e.traces[0], trace)
	require.NotContains(t, e.traces[0], "b7ad6b7169203331", "the hop has a span of its own")
	e.mu.Unlock()
	require.Len(t, f.gateway.decisions.Find("wedding-7"), 1)
	o = f.do(t, http.MethodPost, textPath, streamedBody, withHeader(requestIDHeader, "two words"))
	require.NotContains(t, o.header.Get(requestIDHeader), " ")
}

// Guards against an engine's refusal that looks like a failure of the system,
// and against fields that a caller must not choose.
func TestEngineSeesTheRequest(t *testing.T) {
	e := newFakeSidecar(t, "e1", "pool")
	e.offers = []offerScript{func(s *fakeStream, _ *attempt.Attempt) {
		s.send(accepted("e1.a.1"), answeredWith(http.StatusBadRequest, `{"error":{"message":"bad temperature"}}`))
	}}
	f := newFixture(t, e)
	o := f.do(t, http.MethodPost, textPath, `{"model":"m","prompt":"p","stop":["\n"],"max_tokens":7,"seed":12345678901234567890,"priority":-9,"request_id":"x"}`)
	require.Equal(t, http.StatusBadRequest, o.status)
	require.JSONEq(t, `{"error":{"message":"bad temperature"}}`, o.body)
	attempts, _, _, _ := e.seen()
	require.Len(t, attempts, 1)
	require.JSONEq(t, `{"model":"m","prompt":"p","stop":["\n"],"max_tokens":7,"seed":12345678901234567890,"stream":true,"stream_options":{"include_usage":true}}`, string(attempts[0].Request.Body))
	require.Contains(t, string(attempts[0].Request.Body), "12345678901234567890")
	require.Equal(t, 7, attempts[0].MaxTokens)
	require.Equal(t, "bakery", attempts[0].Account)
}

package sidecar

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/ledger"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/quarantine"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/orderkey"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// retryElsewhere is the delay after which a request that this sidecar cannot
// take may be repeated; another instance may take it at once.
const retryElsewhere = time.Second

// handleOffer decides on an offered attempt and answers with its stream.
func (s *Sidecar) handleOffer(w http.ResponseWriter, r *http.Request) {
	a := new(attempt.Attempt)
	if err := json.NewDecoder(r.Body).Decode(a); err != nil {
		s.refuse(w, problem.Rejected("malformed_attempt", http.StatusBadRequest, err.Error()), a)
		return
	}
	if err := a.Validate(); err != nil {
		s.refuse(w, problem.Rejected("malformed_attempt", http.StatusBadRequest, err.Error()), a)
		return
	}
	s.configurations.Learn(a.ConfigurationVersion, "", r.Header.Get(attempt.PeerHeader))
	s.decide(w, r, a)
}

func (s *Sidecar) refuse(w http.ResponseWriter, p problem.Problem, a *attempt.Attempt) {
	s.decided(a, "admission", "refused", p.Outcome+": "+p.Detail)
	_ = p.WithAt("admission", s.settings.Instance).WithRequest(a.RequestID).Write(w)
}

func (s *Sidecar) decide(w http.ResponseWriter, r *http.Request, a *attempt.Attempt) {
	svc := s.service()
	now := s.clock()
	if svc == nil || a.Service != s.settings.Service {
		s.refuse(w, s.notServed(a, now), a)
		return
	}
	if refusal, refused := s.refusesUnrecorded(a); refused {
		s.refuse(w, refusal, a)
		return
	}
	o, err := s.offerFor(a, svc)
	if err != nil {
		s.refuse(w, problem.Rejected("malformed_key", http.StatusBadRequest, err.Error()), a)
		return
	}
	verdict, executor := s.ledger.Offer(o, now)
	switch verdict {
	case ledger.Accepted:
		s.enqueue(w, r, a, svc, now)
	case ledger.Joined:
		s.decided(a, "admission", "joined", "attempt "+executor)
		s.follow(w, r, a, executor)
	default:
		s.refuse(w, s.refusalFor(verdict, o, a, now), a)
	}
}

// notServed refuses an attempt whose service is not known here, or not yet. An
// order is recorded as revoked, so that a later copy does not run either; one
// with a key may have run elsewhere.
func (s *Sidecar) notServed(a *attempt.Attempt, now time.Time) problem.Problem {
	if !a.Repeatable {
		view := s.ledger.Revoke(s.revocationOf(a), now)
		if view.State != attempt.StateRevoked {
			return problem.Unknown("not_served", "this sidecar is not of the service or has no configuration yet")
		}
	}
	if a.Service != s.settings.Service {
		return problem.Rejected("wrong_service", http.StatusMisdirectedRequest, "this sidecar is not of the service")
	}
	return problem.NotRun("starting", "there is no configuration of the service yet", retryElsewhere)
}

// refusesUnrecorded refuses repeatable work that cannot be taken now without a
// record of it, so that refused work does not fill the ledger.
func (s *Sidecar) refusesUnrecorded(a *attempt.Attempt) (problem.Problem, bool) {
	if !a.Repeatable || s.ledger.Query(a.ID).State != attempt.StateUnknown {
		return problem.Problem{}, false
	}
	return s.unavailable()
}

// unavailable returns the refusal of new work unless the phase is ready.
func (s *Sidecar) unavailable() (problem.Problem, bool) {
	phase, reason := s.phase()
	if phase == load.PhaseReady {
		return problem.Problem{}, false
	}
	return problem.NotRun(phase, reason, retryElsewhere), true
}

// offerFor returns what the ledger needs to know of the attempt. Keys of
// repeatable requests are the upstream's concern.
func (s *Sidecar) offerFor(a *attempt.Attempt, svc *service.Service) (ledger.Offer, error) {
	o := ledger.Offer{
		ID: a.ID, Account: a.Account, Fingerprint: fingerprint(a), Binding: a.BoundIncarnation,
	}
	if a.Repeatable || a.OrderKey == "" {
		return o, nil
	}
	key, err := orderkey.Parse(a.OrderKey)
	if err != nil {
		return o, err
	}
	o.Key = s.keyScope(a.OrderKey)
	if svc.Orders.UpstreamDeduplicates {
		o.Deduplicated = true
		return o, nil
	}
	if name, incarnation, minted := key.Bound(); minted {
		o.JoinOnly = name != s.settings.Instance
		o.KeyBinding = incarnation
		return o, nil
	}
	home, notBefore := s.quarantine.Check(key, rulesOf(svc))
	o.JoinOnly = !home
	o.NotBefore = notBefore
	return o, nil
}

// keyScope returns the key as the ledger knows it within an account, empty for
// none.
func (s *Sidecar) keyScope(orderKey string) string {
	if orderKey == "" {
		return ""
	}
	return s.settings.Service + "\x00" + orderKey
}

func (s *Sidecar) revocationOf(a *attempt.Attempt) ledger.Revocation {
	r := attempt.RevocationOf(a)
	return ledger.Revocation{ID: a.ID, Binding: r.BoundIncarnation, Account: r.Account, Key: s.keyScope(r.OrderKey)}
}

func rulesOf(svc *service.Service) quarantine.Rules {
	return quarantine.Rules{
		Lifetime:  svc.KeyLifetime(),
		SkewBound: time.Duration(svc.Orders.ClockSkewBoundSeconds) * time.Second,
	}
}

// fingerprint is equal for requests that ask for the same.
func fingerprint(a *attempt.Attempt) string {
	hash := sha256.New()
	for _, part := range []string{a.Service, a.Request.Method, a.Request.Path, a.Request.Query} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(a.Request.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// refusalFor returns the problem for a verdict other than accepted and joined.
func (s *Sidecar) refusalFor(verdict ledger.Verdict, o ledger.Offer, a *attempt.Attempt, now time.Time) problem.Problem {
	switch verdict {
	case ledger.Revoked:
		return problem.NotRun("revoked", "the attempt was revoked before it was started", retryElsewhere)
	case ledger.Conflicting:
		return problem.Rejected("key_conflict", http.StatusUnprocessableEntity,
			"the key or the attempt was used for another request")
	case ledger.Full:
		return problem.NotRun("ledger_full", "there is no room for another attempt", retryElsewhere)
	case ledger.Closed:
		return problem.NotRun(load.PhaseLeaving, "the instance is leaving", retryElsewhere)
	}
	return s.outcomeUnknown(o, a, now)
}

// outcomeUnknown refuses an attempt that may have run elsewhere. The refusal of
// an opaque key offers a minted one, for a caller that knows that it has not
// sent the order before.
func (s *Sidecar) outcomeUnknown(o ledger.Offer, a *attempt.Attempt, now time.Time) problem.Problem {
	p := problem.Unknown("other_incarnation", "the attempt or its key is bound to another incarnation or is too old")
	switch {
	case o.KeyBinding != "" || o.Key == "":
	case o.JoinOnly:
		p = problem.Unknown("not_home", "another slot keeps the records of the key")
	case !o.NotBefore.IsZero():
		p = problem.Unknown("quarantine", "an earlier holder of the key's records may have run the order")
	}
	if o.Key != "" {
		p = p.WithOrderKey(s.mint(now))
	}
	s.log.Emit(eventlog.OrderRefusedUnknown).Str("request_id", a.RequestID).Str("account", a.Account).Str("reason", p.Type).Send()
	return p
}

func (s *Sidecar) mint(now time.Time) string {
	return orderkey.Mint(s.settings.Instance, s.ledger.Binding(now)).String()
}

// enqueue puts an accepted attempt into the queue and answers with its stream.
func (s *Sidecar) enqueue(w http.ResponseWriter, r *http.Request, a *attempt.Attempt, svc *service.Service, now time.Time) {
	if refusal, refused := s.unavailable(); refused {
		s.refuseAccepted(w, a, refusal, now)
		return
	}
	st := s.stage.Load()
	j, leave := newJob(r.Context(), a, s.workOf(a, svc, st, now))
	defer leave()
	if refusal, refused := s.tooBusy(st, j, now); refused {
		s.refuseAccepted(w, a, refusal, now)
		return
	}
	s.jobs.add(a.ID, j)
	if !st.queue.Push(j.work, now) {
		s.jobs.remove(a.ID)
		s.refuseAccepted(w, a, problem.NotRun("queue_full", "the queue is full", retryElsewhere), now)
		return
	}
	s.decided(a, "admission", "queued", "")
	s.signal()
	s.serveJob(w, r, j, a.ID)
}

// refuseAccepted revokes an attempt that the ledger accepted but that cannot be
// queued, so that "not run" stays true for later copies. The owner alone starts
// an attempt, so that it is still queued.
func (s *Sidecar) refuseAccepted(w http.ResponseWriter, a *attempt.Attempt, refusal problem.Problem, now time.Time) {
	s.ledger.Revoke(s.revocationOf(a), now)
	s.refuse(w, refusal, a)
}

func (s *Sidecar) workOf(a *attempt.Attempt, svc *service.Service, st *stage, now time.Time) work.Work {
	w := work.Work{
		ID: a.ID, Account: a.Account, Weight: s.weight(a.Account), Model: a.Model,
		PromptTokens: a.PromptTokens, MaxTokens: a.MaxTokens, Priority: a.Priority,
		Deadline: now.Add(min(a.AdmissionTimeout(), svc.AdmissionTimeout())),
	}
	w.ExpectedTokens = st.controller.Expected(w)
	return w
}

func (s *Sidecar) weight(account string) int {
	if acc := s.configurations.Current().AccountByName(account); acc != nil {
		return max(1, acc.Weight)
	}
	return 1
}

// tooBusy refuses work early that would not be admitted before its deadline.
func (s *Sidecar) tooBusy(st *stage, j *job, now time.Time) (problem.Problem, bool) {
	if !s.configurations.Current().Fleet.Policy.EarlyRefusal {
		return problem.Problem{}, false
	}
	wait := st.controller.Wait(st.queue.Position(j.work), now)
	if wait <= j.work.Deadline.Sub(now) {
		return problem.Problem{}, false
	}
	return problem.NotRun("queue_too_long", "the expected wait exceeds the admission timeout", wait), true
}

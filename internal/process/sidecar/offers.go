package sidecar

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/quarantine"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/orderkey"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// retryAfter is the delay after which a refused request may be sent to this
// sidecar again. Another instance may accept it at once.
const retryAfter = time.Second

// handleOffer admits or refuses an offered attempt and responds with its stream.
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
	s.configurations.ObserveVersion(a.ConfigurationVersion, "", r.Header.Get(attempt.PeerHeader))
	s.decide(w, r, a)
}

// refuse records the refusal of the attempt and responds with the problem.
func (s *Sidecar) refuse(w http.ResponseWriter, p problem.Problem, a *attempt.Attempt) {
	s.recordDecision(a, "admission", "refused", p.Outcome+": "+p.Detail)
	_ = p.WithLocation("admission", s.settings.Instance).WithRequest(a.RequestID).Write(w)
}

// decide offers a valid attempt to the ledger and responds according to the
// verdict.
func (s *Sidecar) decide(w http.ResponseWriter, r *http.Request, a *attempt.Attempt) {
	svc := s.service()
	now := s.clock()
	if svc == nil || a.Service != s.settings.Service {
		s.refuse(w, s.notServed(a, now), a)
		return
	}
	if refusal, refused := s.refuseUnrecorded(a); refused {
		s.refuse(w, refusal, a)
		return
	}
	o, err := s.newOffer(a, svc)
	if err != nil {
		s.refuse(w, problem.Rejected("malformed_key", http.StatusBadRequest, err.Error()), a)
		return
	}
	verdict, executor := s.ledger.Offer(o, now)
	switch verdict {
	case ledger.Accepted:
		s.enqueue(w, r, a, svc, now)
	case ledger.Joined:
		s.recordDecision(a, "admission", "joined", "attempt "+executor)
		s.serveJoined(w, r, a, executor)
	default:
		s.refuse(w, s.refusalFor(verdict, o, a, now), a)
	}
}

// notServed returns the refusal of an attempt of another service, or of one that
// is not configured yet. An order is recorded as revoked, so that a later copy
// does not run either. Its outcome is unknown if it has a key, because another
// attempt with the key may have run elsewhere.
func (s *Sidecar) notServed(a *attempt.Attempt, now time.Time) problem.Problem {
	if !a.Repeatable {
		view := s.ledger.Revoke(s.newRevocation(a), now)
		if view.State != attempt.StateRevoked {
			return problem.Unknown("not_served", "this sidecar is not of the service or has no configuration yet")
		}
	}
	if a.Service != s.settings.Service {
		return problem.Rejected("wrong_service", http.StatusMisdirectedRequest, "this sidecar is not of the service")
	}
	return problem.NotRun("starting", "there is no configuration of the service yet", retryAfter)
}

// refuseUnrecorded returns the refusal of a new repeatable attempt while the
// sidecar is not ready. Such an attempt is refused before it is recorded, so
// that refused work does not fill the ledger.
func (s *Sidecar) refuseUnrecorded(a *attempt.Attempt) (problem.Problem, bool) {
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
	return problem.NotRun(phase, reason, retryAfter), true
}

// newOffer returns the attempt's description for the ledger. Keys of repeatable
// requests are ignored here and only passed on to the upstream.
func (s *Sidecar) newOffer(a *attempt.Attempt, svc *service.Service) (ledger.Offer, error) {
	o := ledger.Offer{
		ID: a.ID, Account: a.Account, Fingerprint: fingerprint(a), Binding: a.Binding,
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
	if instance, incarnation, minted := key.Bound(); minted {
		o.JoinOnly = instance != s.settings.Instance
		o.KeyBinding = incarnation
		return o, nil
	}
	home, notBefore := s.quarantine.Check(key, quarantineRules(svc))
	o.JoinOnly = !home
	o.NotBefore = notBefore
	return o, nil
}

// keyScope returns the key under which the ledger records an order key within an
// account; empty if there is no order key.
func (s *Sidecar) keyScope(orderKey string) string {
	if orderKey == "" {
		return ""
	}
	return s.settings.Service + "\x00" + orderKey
}

func (s *Sidecar) newRevocation(a *attempt.Attempt) ledger.Revocation {
	r := attempt.RevocationOf(a)
	return ledger.Revocation{ID: a.ID, Binding: r.Binding, Account: r.Account, Key: s.keyScope(r.OrderKey)}
}

func quarantineRules(svc *service.Service) quarantine.Rules {
	return quarantine.Rules{
		Lifetime:  svc.KeyLifetime(),
		SkewBound: time.Duration(svc.Orders.ClockSkewBoundSeconds) * time.Second,
	}
}

// fingerprint returns a hash of the service, method, path, query and body, which
// is equal for equal requests.
func fingerprint(a *attempt.Attempt) string {
	hash := sha256.New()
	for _, part := range []string{a.Service, a.Request.Method, a.Request.Path, a.Request.Query} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(a.Request.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// refusalFor returns the problem for a verdict other than Accepted and Joined.
func (s *Sidecar) refusalFor(verdict ledger.Verdict, o ledger.Offer, a *attempt.Attempt, now time.Time) problem.Problem {
	switch verdict {
	case ledger.Revoked:
		return problem.NotRun("revoked", "the attempt was revoked before it was started", retryAfter)
	case ledger.Conflicting:
		return problem.Rejected("key_conflict", http.StatusUnprocessableEntity,
			"the key or the attempt was used for another request")
	case ledger.Full:
		return problem.NotRun("ledger_full", "there is no room for another attempt", retryAfter)
	case ledger.Closed:
		return problem.NotRun(load.PhaseLeaving, "the instance is leaving", retryAfter)
	}
	return s.outcomeUnknown(o, a, now)
}

// outcomeUnknown returns the refusal of an attempt that may have run elsewhere.
// For an order with a key, the refusal contains a new minted key, for a caller
// that knows that it has not sent the order before.
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

// mint returns a new key that is bound to this incarnation.
func (s *Sidecar) mint(now time.Time) string {
	return orderkey.Mint(s.settings.Instance, s.ledger.Binding(now)).String()
}

// enqueue puts an accepted attempt into the queue and responds with its stream.
func (s *Sidecar) enqueue(w http.ResponseWriter, r *http.Request, a *attempt.Attempt, svc *service.Service, now time.Time) {
	if refusal, refused := s.unavailable(); refused {
		s.refuseAccepted(w, a, refusal, now)
		return
	}
	sched := s.scheduler.Load()
	j, leave := newJob(r.Context(), a, s.newWork(a, svc, sched, now))
	defer leave()
	if refusal, refused := s.refuseLongWait(sched, j, now); refused {
		s.refuseAccepted(w, a, refusal, now)
		return
	}
	s.jobs.add(a.ID, j)
	if !sched.queue.Push(j.work, now) {
		s.jobs.remove(a.ID)
		s.refuseAccepted(w, a, problem.NotRun("queue_full", "the queue is full", retryAfter), now)
		return
	}
	s.recordDecision(a, "admission", "queued", "")
	s.signal()
	s.serveJob(w, r, j, a.ID)
}

// refuseAccepted revokes an attempt that the ledger accepted but that cannot be
// queued, so that its later copies do not run either. The revocation succeeds,
// because the dispatcher starts only attempts that are in the queue.
func (s *Sidecar) refuseAccepted(w http.ResponseWriter, a *attempt.Attempt, refusal problem.Problem, now time.Time) {
	s.ledger.Revoke(s.newRevocation(a), now)
	s.refuse(w, refusal, a)
}

func (s *Sidecar) newWork(a *attempt.Attempt, svc *service.Service, sched *scheduler, now time.Time) work.Work {
	w := work.Work{
		ID: a.ID, Account: a.Account, Weight: s.weight(a.Account), Model: a.Model,
		PromptTokens: a.PromptTokens, MaxTokens: a.MaxTokens, Priority: a.Priority,
		Deadline: now.Add(min(a.AdmissionTimeout(), svc.AdmissionTimeout())),
	}
	w.ExpectedTokens = sched.controller.ExpectedTokens(w)
	return w
}

func (s *Sidecar) weight(account string) int {
	if acc := s.configurations.Current().AccountByName(account); acc != nil {
		return max(1, acc.Weight)
	}
	return 1
}

// refuseLongWait returns the refusal of work whose expected wait in the queue
// ends after its deadline.
func (s *Sidecar) refuseLongWait(sched *scheduler, j *job, now time.Time) (problem.Problem, bool) {
	if !s.configurations.Current().Fleet.Policy.EarlyRefusal {
		return problem.Problem{}, false
	}
	wait := sched.controller.EstimateWait(sched.queue.Position(j.work), now)
	if wait <= j.work.Deadline.Sub(now) {
		return problem.Problem{}, false
	}
	return problem.NotRun("queue_too_long", "the expected wait exceeds the admission timeout", wait), true
}

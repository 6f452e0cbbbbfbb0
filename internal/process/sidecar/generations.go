package sidecar

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/engine"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/ledger"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/generation"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// resumeDelay is the pause between two tries to reach the engine's stream.
	resumeDelay = 200 * time.Millisecond
	// resumeLimit is how long an engine may be unreachable before its generation
	// counts as lost, and refusedLimit how long if it refuses connections, which
	// means that its process is gone.
	resumeLimit  = 5 * time.Second
	refusedLimit = time.Second
	// maxBarrenResumes bounds the streams in a row that end without a token.
	maxBarrenResumes = 10
	// cancelTimeout bounds the cancellation of a generation in the engine.
	cancelTimeout = 5 * time.Second
	// tagBytes is the length of a generation's account tag before encoding.
	tagBytes = 8
)

// run is a generation that the engine runs or has run.
type run struct {
	log *generation.Log
	// delivered is true once a reader was given the end.
	delivered atomic.Bool
	// stop ends the reading of the engine's stream.
	stop context.CancelFunc
}

// newGenerationID returns an identifier that names the account in a form that a
// later incarnation can check and nobody without the secret can forge.
func (s *Sidecar) newGenerationID(account string) string {
	number := strconv.FormatUint(s.sequence.Add(1), 10)
	prefix := s.settings.Instance + "." + s.incarnation + "." + number
	return prefix + "-" + s.accountTag(prefix, account)
}

func (s *Sidecar) accountTag(prefix, account string) string {
	mac := hmac.New(sha256.New, []byte(s.secret))
	mac.Write([]byte(prefix + "\x00" + account))
	return hex.EncodeToString(mac.Sum(nil)[:tagBytes])
}

// ownedBy reports whether the generation identifier was given to the account by
// a sidecar of this instance.
func (s *Sidecar) ownedBy(id, account string) bool {
	prefix, tag, found := cutLast(id, "-")
	own := strings.HasPrefix(id, s.settings.Instance+".")
	return found && own && hmac.Equal([]byte(tag), []byte(s.accountTag(prefix, account)))
}

func cutLast(text, separator string) (before, after string, found bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(separator):], true
}

// executeGeneration starts the generation, reads it to its end and settles the
// attempt. It reports whether the engine sent the last token.
func (s *Sidecar) executeGeneration(ctx context.Context, st *stage, j *job) bool {
	a := j.attempt
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	id := s.newGenerationID(a.Account)
	g := &run{log: generation.New(id, a.Account, maxLogBytes, s.clock()), stop: stop}
	s.runs.add(id, g)
	j.run = g
	close(j.started)
	stream, err := s.engine.Start(ctx, a.Request.Path, a.Request.Body, id, a.Priority)
	var refusal *engine.Refusal
	switch {
	case errors.As(err, &refusal):
		s.settleRefused(j, refusal)
		return false
	case errors.Is(err, syscall.ECONNREFUSED):
		s.settleNotHanded(j, err)
		return false
	}
	err = s.pump(ctx, g, stream, err, func(now time.Time) { st.controller.Token(a.ID, now) })
	s.settleGeneration(a, g, err)
	return err == nil
}

// settleRefused records the engine's answer to a request that it did not start.
func (s *Sidecar) settleRefused(j *job, refusal *engine.Refusal) {
	j.answer.Store(&attempt.Response{Status: refusal.Status, Header: refusal.Header, Body: refusal.Body})
	s.runs.remove(j.run.log.ID())
	j.run.log.Fail(problem.Rejected("engine_refused", refusal.Status, string(refusal.Body)))
	s.ledger.Finish(j.attempt.ID, ledger.Result{Status: refusal.Status, Header: refusal.Header, Body: refusal.Body}, s.clock())
}

// settleNotHanded records that no connection to the engine could be opened.
func (s *Sidecar) settleNotHanded(j *job, err error) {
	s.runs.remove(j.run.log.ID())
	s.ledger.RevokeUnsent(j.attempt.ID, s.clock())
	j.run.log.Fail(problem.NotRun("upstream_unreachable", err.Error(), retryElsewhere).WithAt("generation", s.settings.Instance))
}

func (s *Sidecar) settleGeneration(a *attempt.Attempt, g *run, err error) {
	now := s.clock()
	if err == nil {
		s.ledger.Finish(a.ID, ledger.Result{GenerationID: g.log.ID()}, now)
		g.log.End()
		return
	}
	s.ledger.MarkLost(a.ID, now)
	s.failRun(g, err)
}

func (s *Sidecar) failRun(g *run, err error) {
	reason := problem.Incomplete("generation_failed", err.Error()).WithAt("generation", s.settings.Instance)
	g.log.Fail(reason)
	s.log.Emit(eventlog.GenerationFailed).Str("generation_id", g.log.ID()).Str("peer", s.settings.UpstreamAddress).Err(err).Send()
	s.cancelInEngine(g.log.ID())
}

// cancelInEngine frees what the engine may still hold for the generation.
func (s *Sidecar) cancelInEngine(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = s.engine.Cancel(ctx, id)
}

// pump reads the generation from the stream, or after the error that replaced
// it, to the end, and resumes it as often as it makes progress. Observe is told
// of each token.
func (s *Sidecar) pump(ctx context.Context, g *run, stream *engine.Stream, err error, observe func(time.Time)) error {
	reached := s.clock()
	barren := 0
	for {
		if stream != nil {
			before := g.log.Last()
			err = s.readStream(ctx, g, stream, observe)
			stream.Close()
			reached = s.clock()
			barren++
			if g.log.Last() > before || errors.Is(err, engine.ErrSilent) {
				barren = 0
			}
		}
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return errors.Wrap(ctx.Err(), "generation was cancelled")
		case errors.Is(err, engine.ErrNotFound), errors.Is(err, engine.ErrProtocol):
			return err
		case barren >= maxBarrenResumes, s.clock().Sub(reached) >= patience(err):
			return err
		}
		if !pause.For(ctx, resumeDelay) {
			continue
		}
		stream, err = s.engine.Resume(ctx, g.log.ID(), g.log.Last())
	}
}

func patience(err error) time.Duration {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return refusedLimit
	}
	return resumeLimit
}

// readStream appends the tokens of one stream. It returns nil after the end marker.
func (s *Sidecar) readStream(ctx context.Context, g *run, stream *engine.Stream, observe func(time.Time)) error {
	for {
		seq, data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		observe(s.clock())
		if err := appendWhenRoom(ctx, g.log, seq, data); err != nil {
			return err
		}
	}
}

// appendWhenRoom waits while readers are too slow, so that the engine's stream
// is read no faster than the caller takes it.
func appendWhenRoom(ctx context.Context, l *generation.Log, seq uint64, data []byte) error {
	for {
		changed := l.Changed()
		accepted, err := l.Append(seq, data)
		if accepted || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// adopt reads a generation of an earlier incarnation from the engine again, from
// its first token, because readers at different positions may come.
func (s *Sidecar) adopt(ctx context.Context, id, account string, after uint64) (*run, error) {
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	stream, err := s.engine.Resume(ctx, id, 0)
	if err != nil {
		stop()
		return nil, err
	}
	g := &run{log: generation.New(id, account, maxLogBytes, s.clock()), stop: stop}
	stored, added := s.runs.add(id, g)
	if !added {
		stop()
		stream.Close()
		return stored, nil
	}
	s.log.Emit(eventlog.GenerationAdopted).Str("generation_id", id).Uint64("after", after).Send()
	go s.readAdopted(ctx, g, stream)
	return g, nil
}

func (s *Sidecar) readAdopted(ctx context.Context, g *run, stream *engine.Stream) {
	defer g.stop()
	if err := s.pump(ctx, g, stream, nil, func(time.Time) {}); err != nil {
		s.failRun(g, err)
		return
	}
	g.log.End()
}

// reap cancels generations that no reader wants and drops finished ones.
func (s *Sidecar) reap(now time.Time) {
	for _, g := range s.runs.all() {
		if !g.log.Orphaned(now) {
			continue
		}
		if state, _, _ := g.log.State(); state == generation.StateOpen {
			s.log.Emit(eventlog.GenerationAbandoned).Str("generation_id", g.log.ID()).Send()
			g.stop()
			continue
		}
		s.runs.remove(g.log.ID())
	}
}

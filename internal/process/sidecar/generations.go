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
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/tokenlog"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	// resumeDelay is the delay between two tries to open the engine's stream.
	resumeDelay = 200 * time.Millisecond
	// unreachableTimeout is how long an engine may be unreachable before its
	// generation counts as lost. refusedTimeout applies instead if the engine
	// refuses connections, which means that its process has exited.
	unreachableTimeout = 5 * time.Second
	refusedTimeout     = time.Second
	// maxEmptyStreams is the largest number of consecutive streams that end
	// without a new token.
	maxEmptyStreams = 10
	// cancelTimeout is the timeout for cancelling a generation in the engine.
	cancelTimeout = 5 * time.Second
	// tagBytes is the length of a generation's account tag before encoding.
	tagBytes = 8
)

// generationRun is a generation that the engine is running or has run.
type generationRun struct {
	log *tokenlog.Log
	// delivered is true once the end frame was sent to a reader.
	delivered atomic.Bool
	// stop ends the reading of the engine's stream. A generation that has not ended
	// is then cancelled.
	stop context.CancelFunc
}

// newGenerationID returns an identifier that contains a tag of the account. A
// later incarnation can verify the tag, and it cannot be forged without the peer
// secret.
func (s *Sidecar) newGenerationID(account string) string {
	number := strconv.FormatUint(s.sequence.Add(1), 10)
	prefix := s.settings.Instance + "." + s.incarnation + "." + number
	return prefix + "-" + s.accountTag(prefix, account)
}

// accountTag returns the truncated HMAC of the prefix and the account.
func (s *Sidecar) accountTag(prefix, account string) string {
	mac := hmac.New(sha256.New, []byte(s.secret))
	mac.Write([]byte(prefix + "\x00" + account))
	return hex.EncodeToString(mac.Sum(nil)[:tagBytes])
}

// ownedBy reports whether a sidecar of this instance issued the generation
// identifier to the account.
func (s *Sidecar) ownedBy(id, account string) bool {
	prefix, tag, found := cutLast(id, "-")
	local := strings.HasPrefix(id, s.settings.Instance+".")
	return found && local && hmac.Equal([]byte(tag), []byte(s.accountTag(prefix, account)))
}

// cutLast splits the text at the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(separator):], true
}

// executeGeneration starts the generation, reads it to its end and settles the
// attempt. It reports whether the engine completed the generation.
func (s *Sidecar) executeGeneration(ctx context.Context, sched *scheduler, j *job) bool {
	a := j.attempt
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	id := s.newGenerationID(a.Account)
	g := &generationRun{log: tokenlog.New(id, a.Account, maxLogBytes, s.clock()), stop: stop}
	s.generations.add(id, g)
	j.generation = g
	close(j.started)
	stream, err := s.engine.Start(ctx, a.Request.Path, a.Request.Body, id, a.Priority)
	var refusal *engine.Refusal
	switch {
	case errors.As(err, &refusal):
		s.settleRefused(j, refusal)
		return false
	case errors.Is(err, syscall.ECONNREFUSED):
		s.settleUnsent(j, err)
		return false
	}
	err = s.readGeneration(ctx, g, stream, err, func(now time.Time) { sched.controller.ObserveToken(a.ID, now) })
	s.settleGeneration(a, g, err)
	return err == nil
}

// settleRefused records the engine's answer to a request that the engine
// refused.
func (s *Sidecar) settleRefused(j *job, refusal *engine.Refusal) {
	j.answer.Store(&attempt.Response{Status: refusal.Status, Header: refusal.Header, Body: refusal.Body})
	s.generations.remove(j.generation.log.ID())
	j.generation.log.Fail(problem.Rejected("engine_refused", refusal.Status, string(refusal.Body)))
	s.ledger.Finish(j.attempt.ID, ledger.Result{Status: refusal.Status, Header: refusal.Header, Body: refusal.Body}, s.clock())
}

// settleUnsent records that no connection to the engine could be opened.
func (s *Sidecar) settleUnsent(j *job, err error) {
	s.generations.remove(j.generation.log.ID())
	s.ledger.RevokeUnsent(j.attempt.ID, s.clock())
	j.generation.log.Fail(problem.NotRun("upstream_unreachable", err.Error(), retryAfter).WithLocation("generation", s.settings.Instance))
}

func (s *Sidecar) settleGeneration(a *attempt.Attempt, g *generationRun, err error) {
	now := s.clock()
	if err == nil {
		s.ledger.Finish(a.ID, ledger.Result{GenerationID: g.log.ID()}, now)
		g.log.End()
		return
	}
	s.ledger.MarkLost(a.ID, now)
	s.failGeneration(g, err)
}

// failGeneration ends the generation with the error and cancels it in the
// engine.
func (s *Sidecar) failGeneration(g *generationRun, err error) {
	reason := problem.Incomplete("generation_failed", err.Error()).WithLocation("generation", s.settings.Instance)
	g.log.Fail(reason)
	s.log.Emit(eventlog.GenerationFailed).Str("generation_id", g.log.ID()).Str("peer", s.settings.UpstreamAddress).Err(err).Send()
	s.cancelInEngine(g.log.ID())
}

// cancelInEngine makes the engine release the resources that it may still hold
// for the generation.
func (s *Sidecar) cancelInEngine(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = s.engine.Cancel(ctx, id)
}

// readGeneration reads the generation to its end. It starts with the stream, or
// if that is nil because of err, by resuming the generation. A broken stream is
// resumed until the engine was unreachable for resumeTimeout or maxEmptyStreams
// consecutive streams ended without a new token; a stream that ended because it
// was idle resets that count. observe is called for each token.
func (s *Sidecar) readGeneration(ctx context.Context, g *generationRun, stream *engine.Stream, err error, observe func(time.Time)) error {
	lastConnected := s.clock()
	emptyStreams := 0
	for {
		if stream != nil {
			before := g.log.Last()
			err = s.readStream(ctx, g, stream, observe)
			stream.Close()
			lastConnected = s.clock()
			emptyStreams++
			if g.log.Last() > before || errors.Is(err, engine.ErrIdleTimeout) {
				emptyStreams = 0
			}
		}
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return errors.Wrap(ctx.Err(), "generation was cancelled")
		case errors.Is(err, engine.ErrNotFound), errors.Is(err, engine.ErrProtocol):
			return err
		case emptyStreams >= maxEmptyStreams, s.clock().Sub(lastConnected) >= resumeTimeout(err):
			return err
		}
		if !pause.For(ctx, resumeDelay) {
			continue
		}
		stream, err = s.engine.Resume(ctx, g.log.ID(), g.log.Last())
	}
}

// resumeTimeout returns how long the engine may be unreachable after the error.
func resumeTimeout(err error) time.Duration {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return refusedTimeout
	}
	return unreachableTimeout
}

// readStream appends the tokens of one stream to the generation's log. It
// returns nil after the end marker.
func (s *Sidecar) readStream(ctx context.Context, g *generationRun, stream *engine.Stream, observe func(time.Time)) error {
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

// appendWhenRoom appends a token to the log. It waits while the log is full, so
// that the engine's stream is read no faster than the caller reads.
func appendWhenRoom(ctx context.Context, l *tokenlog.Log, seq uint64, data []byte) error {
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

// reattach reads a generation of an earlier incarnation from the engine, starting
// with the first token, because readers may resume at different positions.
func (s *Sidecar) reattach(ctx context.Context, id, account string, after uint64) (*generationRun, error) {
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	stream, err := s.engine.Resume(ctx, id, 0)
	if err != nil {
		stop()
		return nil, err
	}
	g := &generationRun{log: tokenlog.New(id, account, maxLogBytes, s.clock()), stop: stop}
	stored, added := s.generations.add(id, g)
	if !added {
		stop()
		stream.Close()
		return stored, nil
	}
	s.log.Emit(eventlog.GenerationAdopted).Str("generation_id", id).Uint64("after", after).Send()
	go s.readReattached(ctx, g, stream)
	return g, nil
}

func (s *Sidecar) readReattached(ctx context.Context, g *generationRun, stream *engine.Stream) {
	defer g.stop()
	if err := s.readGeneration(ctx, g, stream, nil, func(time.Time) {}); err != nil {
		s.failGeneration(g, err)
		return
	}
	g.log.End()
}

// reapGenerations handles the generations that had no reader for the grace
// period: it cancels the open ones and removes the finished ones.
func (s *Sidecar) reapGenerations(now time.Time) {
	for _, g := range s.generations.all() {
		if !g.log.Orphaned(now) {
			continue
		}
		if state, _, _ := g.log.State(); state == tokenlog.StateOpen {
			s.log.Emit(eventlog.GenerationAbandoned).Str("generation_id", g.log.ID()).Send()
			g.stop()
			continue
		}
		s.generations.remove(g.log.ID())
	}
}

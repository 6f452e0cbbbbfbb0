package admission

import (
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/stepcurve"
)

const (
	// minWindow and maxWindow bound the number of gaps between tokens of which
	// the median is one step time.
	minWindow = 8
	maxWindow = 256
	// stallGap is the time without any token from which on the next tokens say
	// nothing about the step time: they were held up together, by the engine or
	// by a pause of this process, and arrive together.
	stallGap = time.Second
	// maxOverdue is the time without any token that counts as a cold turn. Until
	// then the lack of tokens only stops admission.
	maxOverdue = 5 * time.Second
	// pauseGap is the time without any call after which this process may have
	// been paused, so that the lack of tokens shows nothing about the engine.
	pauseGap = 2 * time.Second
	// settleTime is how long tokens are not measured after a stall.
	settleTime = time.Second
	// stallSpan is the time in which coldStalls stalls count as a cold turn.
	stallSpan  = 30 * time.Second
	coldStalls = 2
)

// steps measures the step time from the gaps between tokens.
type steps struct {
	// decoding is the number of attempts that have had a first token.
	decoding int
	gaps     []float64
	// batches is the sum of decoding over the gaps.
	batches int
	// lastAny is when any token arrived.
	lastAny time.Time
	// resumed is when this process resumed after a possible pause.
	resumed time.Time
	// abandoned is true once the lack of tokens counted as a cold turn, until the
	// next token.
	abandoned   bool
	ignoreUntil time.Time
	stalls      []time.Time
}

// observe records a token that is not the first of its work, and returns what
// it shows.
func (s *steps) observe(p *place, curve *stepcurve.Curve, now time.Time) stepcurve.Change {
	stalled := now.Sub(s.lastAny) > stallGap
	s.arrive(now)
	if stalled {
		return s.stall(now)
	}
	if now.Before(s.ignoreUntil) {
		return stepcurve.Steady
	}
	s.gaps = append(s.gaps, millis(now.Sub(p.lastToken)))
	s.batches += s.decoding
	if len(s.gaps) < min(maxWindow, max(minWindow, 2*s.decoding)) {
		return stepcurve.Steady
	}
	return s.flush(curve, now)
}

// arrive records that a token arrived.
func (s *steps) arrive(now time.Time) {
	s.lastAny = now
	s.abandoned = false
}

// overdue reports whether running generations have had no token for so long
// that the engine, its connections or this process must have been held up. It
// is false once that counted as a cold turn: connections may be silent for good.
func (s *steps) overdue(now time.Time) bool {
	return s.decoding > 0 && !s.abandoned && now.Sub(s.lastAny) > stallGap
}

// silent reports whether the engine has given no token for so long, in which
// this process ran, that it must have turned cold.
func (s *steps) silent(now time.Time) bool {
	return s.overdue(now) && now.Sub(s.lastAny) > maxOverdue && now.Sub(s.resumed) > maxOverdue
}

// flush hands the median gap to the curve.
func (s *steps) flush(curve *stepcurve.Curve, now time.Time) stepcurve.Change {
	slices.Sort(s.gaps)
	median := s.gaps[len(s.gaps)/2]
	batch := (s.batches + len(s.gaps)/2) / len(s.gaps)
	s.clearWindow()
	return curve.Observe(batch, median, now)
}

// stall records that tokens were held up.
func (s *steps) stall(now time.Time) stepcurve.Change {
	s.clearWindow()
	s.ignoreUntil = now.Add(settleTime)
	s.stalls = slices.DeleteFunc(s.stalls, func(t time.Time) bool { return now.Sub(t) > stallSpan })
	s.stalls = append(s.stalls, now)
	if len(s.stalls) < coldStalls {
		return stepcurve.Steady
	}
	return stepcurve.TurnedCold
}

// discard forgets the measurements but not the attempts.
func (s *steps) discard() {
	s.clearWindow()
	s.stalls = nil
}

func (s *steps) clearWindow() {
	s.gaps = s.gaps[:0]
	s.batches = 0
}

package admission

import (
	"slices"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/sidecar/stepcurve"
)

const (
	// minWindow and maxWindow bound the number of gaps between tokens whose median
	// is one sample of the step time.
	minWindow = 8
	maxWindow = 256
	// stallGap is the time without any token after which the next tokens are no
	// measure of the step time: the engine or a pause of this process delayed
	// them, so they arrive together.
	stallGap = time.Second
	// maxOverdue is the time without any token after which the engine counts as
	// cold. Before that, the lack of tokens only stops admission.
	maxOverdue = 5 * time.Second
	// pauseGap is the time without any call after which this process may have been
	// paused, so that the lack of tokens is not attributed to the engine.
	pauseGap = 2 * time.Second
	// settleTime is how long tokens are not measured after a stall.
	settleTime = time.Second
	// stallSpan is the period within which coldStalls stalls mean a cold engine.
	stallSpan  = 30 * time.Second
	coldStalls = 2
)

// steps measures the step time from the gaps between tokens.
type steps struct {
	// decoding is the number of running attempts that have produced a token.
	decoding int
	// gaps holds the times between consecutive tokens of the same attempt, in
	// milliseconds, of all attempts since the last sample.
	gaps []float64
	// batches is the sum of decoding over the gaps.
	batches int
	// lastArrival is when the latest token of any attempt arrived.
	lastArrival time.Time
	// resumedAt is when this process resumed after a possible pause.
	resumedAt time.Time
	// timeoutHandled is true from the reset that a lack of tokens caused until the
	// next token.
	timeoutHandled bool
	// ignoreUntil is when tokens are measured again after a stall.
	ignoreUntil time.Time
	stalls      []time.Time
}

// observe records a token after the first one of its work, and returns the
// change of the engine's state that it indicates.
func (s *steps) observe(a *attempt, curve *stepcurve.Curve, now time.Time) stepcurve.Change {
	stalled := now.Sub(s.lastArrival) > stallGap
	s.recordArrival(now)
	if stalled {
		return s.recordStall(now)
	}
	if now.Before(s.ignoreUntil) {
		return stepcurve.Steady
	}
	s.gaps = append(s.gaps, millis(now.Sub(a.lastToken)))
	s.batches += s.decoding
	if len(s.gaps) < min(maxWindow, max(minWindow, 2*s.decoding)) {
		return stepcurve.Steady
	}
	return s.flush(curve, now)
}

// recordArrival records that a token arrived.
func (s *steps) recordArrival(now time.Time) {
	s.lastArrival = now
	s.timeoutHandled = false
}

// overdue reports whether running generations have produced no token for longer
// than stallGap, so that the engine, its connections or this process must have
// stalled. It is false once the engine counts as cold for this reason: the
// connections may never carry a token again.
func (s *steps) overdue(now time.Time) bool {
	return s.decoding > 0 && !s.timeoutHandled && now.Sub(s.lastArrival) > stallGap
}

// timedOut reports whether the engine has produced no token for longer than
// maxOverdue while this process was running, so that it counts as cold.
func (s *steps) timedOut(now time.Time) bool {
	return s.overdue(now) && now.Sub(s.lastArrival) > maxOverdue && now.Sub(s.resumedAt) > maxOverdue
}

// flush passes the median gap and the mean batch to the curve and clears the
// window.
func (s *steps) flush(curve *stepcurve.Curve, now time.Time) stepcurve.Change {
	slices.Sort(s.gaps)
	median := s.gaps[len(s.gaps)/2]
	batch := (s.batches + len(s.gaps)/2) / len(s.gaps)
	s.clearWindow()
	return curve.Observe(batch, median, now)
}

// recordStall records a stall and returns BecameCold after coldStalls stalls
// within stallSpan.
func (s *steps) recordStall(now time.Time) stepcurve.Change {
	s.clearWindow()
	s.ignoreUntil = now.Add(settleTime)
	s.stalls = slices.DeleteFunc(s.stalls, func(t time.Time) bool { return now.Sub(t) > stallSpan })
	s.stalls = append(s.stalls, now)
	if len(s.stalls) < coldStalls {
		return stepcurve.Steady
	}
	return stepcurve.BecameCold
}

// reset discards the measurements but keeps the count of attempts.
func (s *steps) reset() {
	s.clearWindow()
	s.stalls = nil
}

func (s *steps) clearWindow() {
	s.gaps = s.gaps[:0]
	s.batches = 0
}

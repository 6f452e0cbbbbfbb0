package delivery

import "github.com/cockroachdb/errors"

var (
	// ErrGap is returned if tokens are missing before the frame. The stream must
	// be resumed after Position.
	ErrGap = errors.New("tokens are missing")
	// ErrWrongGeneration is returned for a frame that does not belong to the
	// generation, or has an impossible position in it. The link must then be
	// closed.
	ErrWrongGeneration = errors.New("frame belongs to another generation")
)

// Tracker is the delivery state of one answer. Its zero value expects the first
// token of any generation. It is not safe for concurrent use.
type Tracker struct {
	// generation is empty until it is known, and never changes afterwards.
	generation string
	// last is the number of the last delivered token. Tokens up to it are never
	// delivered again.
	last uint64
	// complete is true once the generation has ended with the token last.
	complete bool
}

// Resume returns a tracker whose tokens up to the number last were delivered.
func Resume(generation string, last uint64) Tracker {
	return Tracker{generation: generation, last: last}
}

// Accept binds the tracker to the generation. It returns ErrWrongGeneration if
// the identifier is empty or the tracker is bound to another generation.
func (t *Tracker) Accept(generation string) error {
	if generation == "" || (t.generation != "" && t.generation != generation) {
		return ErrWrongGeneration
	}
	t.generation = generation
	return nil
}

// Token reports whether the token with the number must be delivered now; it is
// false for a token that was delivered before. It returns ErrGap if an earlier
// token is missing, and ErrWrongGeneration for a token after the end or before a
// generation is known.
func (t *Tracker) Token(seq uint64) (deliver bool, err error) {
	switch {
	case t.generation == "":
		return false, ErrWrongGeneration
	case seq <= t.last:
		return false, nil
	case t.complete:
		return false, ErrWrongGeneration
	case seq > t.last+1:
		return false, ErrGap
	}
	t.last = seq
	return true, nil
}

// End completes the answer if the last token of the generation, which has the
// given number, was delivered. It returns ErrGap if tokens are missing, and
// ErrWrongGeneration if a token with a higher number was delivered.
func (t *Tracker) End(seq uint64) error {
	switch {
	case t.generation == "" || seq < t.last:
		return ErrWrongGeneration
	case seq > t.last:
		return ErrGap
	}
	t.complete = true
	return nil
}

// Generation returns the generation's identifier, "" while it is unknown.
func (t *Tracker) Generation() string { return t.generation }

// Position returns the number of the last delivered token.
func (t *Tracker) Position() uint64 { return t.last }

// Complete reports whether every token was delivered. Only then may the answer
// to the caller end normally.
func (t *Tracker) Complete() bool { return t.complete }

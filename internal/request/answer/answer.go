package answer

import "github.com/cockroachdb/errors"

var (
	// ErrGap is returned if tokens are missing before the frame. The stream must
	// be resumed after Position.
	ErrGap = errors.New("tokens are missing")
	// ErrForeign is returned for a frame that does not belong to the generation,
	// or has an impossible position in it. The link must then be closed.
	ErrForeign = errors.New("frame belongs to another generation")
)

// Answer is the delivery state of one answer. Its zero value expects the first
// token of any generation. It is not safe for concurrent use.
type Answer struct {
	// generation is empty until it is known, and never changes afterwards.
	generation string
	// last is the number of the last delivered token. Tokens up to it are never
	// delivered again.
	last uint64
	// complete is true once the generation has ended with the token last.
	complete bool
}

// Resume returns an answer whose tokens up to the number last were delivered.
func Resume(generation string, last uint64) Answer {
	return Answer{generation: generation, last: last}
}

// Accept binds the answer to the generation. It returns ErrForeign if the
// identifier is empty or the answer is bound to another generation.
func (a *Answer) Accept(generation string) error {
	if generation == "" || (a.generation != "" && a.generation != generation) {
		return ErrForeign
	}
	a.generation = generation
	return nil
}

// Token reports whether the token with the number must be delivered now; it is
// false for a token that was delivered before. It returns ErrGap if an earlier
// token is missing, and ErrForeign for a token after the end or before a
// generation is known.
func (a *Answer) Token(seq uint64) (deliver bool, err error) {
	switch {
	case a.generation == "":
		return false, ErrForeign
	case seq <= a.last:
		return false, nil
	case a.complete:
		return false, ErrForeign
	case seq > a.last+1:
		return false, ErrGap
	}
	a.last = seq
	return true, nil
}

// End completes the answer if the last token of the generation, which has the
// given number, was delivered. It returns ErrGap if tokens are missing, and
// ErrForeign if a token with a higher number was delivered.
func (a *Answer) End(seq uint64) error {
	switch {
	case a.generation == "" || seq < a.last:
		return ErrForeign
	case seq > a.last:
		return ErrGap
	}
	a.complete = true
	return nil
}

// Generation returns the generation's identifier, "" while it is unknown.
func (a *Answer) Generation() string { return a.generation }

// Position returns the number of the last delivered token.
func (a *Answer) Position() uint64 { return a.last }

// Complete reports whether every token was delivered. Only then may the answer
// to the caller end normally.
func (a *Answer) Complete() bool { return a.complete }

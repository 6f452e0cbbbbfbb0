package tokenlog

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/pkg/problem"
)

// OrphanGracePeriod is how long a generation continues without a reader, and how
// long the tokens of a finished one are kept.
const OrphanGracePeriod = 30 * time.Second

// States of a log.
const (
	// StateOpen is the state of a log that may still grow.
	StateOpen = "open"
	// StateEnded is the state after the engine's last token.
	StateEnded = "ended"
	// StateFailed is the state after the generation failed.
	StateFailed = "failed"
)

var (
	// ErrDropped is returned for a position whose next token was dropped.
	ErrDropped = errors.New("tokens after the position were dropped")
	// ErrBeyondLast is returned for a position after the last token.
	ErrBeyondLast = errors.New("position is after the last token")
)

// Log holds the tokens of one generation. It is safe for concurrent use.
type Log struct {
	id       string
	account  string
	maxBytes int

	mu sync.Mutex
	// first is the number of tokens[0]; numbers start at 1 and have no gaps.
	first  uint64
	tokens [][]byte
	// bytes is the sum of the lengths of tokens.
	bytes int
	// delivered is the highest number that a reader has read or skipped. Only
	// tokens up to this number may be dropped.
	delivered uint64
	state     string
	failure   problem.Problem
	readers   int
	// idleSince is when the last reader detached, valid while readers is 0.
	idleSince time.Time
	// changed is closed at the next change, nil while nothing waits for one.
	changed chan struct{}
}

// New returns an empty log for the account's generation that keeps at most
// maxBytes bytes of tokens. OrphanGracePeriod for the first reader starts now.
func New(id, account string, maxBytes int, now time.Time) *Log {
	return &Log{
		id:        id,
		account:   account,
		maxBytes:  maxBytes,
		first:     1,
		state:     StateOpen,
		idleSince: now,
	}
}

// ID returns the generation identifier.
func (l *Log) ID() string { return l.id }

// Account returns the client account that owns the generation.
func (l *Log) Account() string { return l.account }

// Append adds the token with the given number. It returns false if the log is
// full of unread tokens; the token must then be appended again later. A number
// that was appended before is ignored; a number that would leave a gap is an
// error.
func (l *Log) Append(seq uint64, data []byte) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.last()
	switch {
	case l.state != StateOpen:
		return false, errors.Newf("append to log in state %s", l.state)
	case seq <= last:
		return true, nil
	case seq != last+1:
		return false, errors.Newf("token %d follows token %d", seq, last)
	case !l.makeRoom(len(data)):
		return false, nil
	}
	l.tokens = append(l.tokens, data)
	l.bytes += len(data)
	l.notify()
	return true, nil
}

// makeRoom drops delivered tokens until size bytes fit, and returns false if
// unread tokens prevent it. A token larger than maxBytes fits into an empty log.
func (l *Log) makeRoom(size int) bool {
	for l.bytes+size > l.maxBytes && len(l.tokens) > 0 {
		if l.first > l.delivered {
			return false
		}
		l.dropFirst()
	}
	return true
}

func (l *Log) dropFirst() {
	l.bytes -= len(l.tokens[0])
	l.tokens[0] = nil
	l.tokens = l.tokens[1:]
	l.first++
}

// last returns the number of the last token, 0 if there is none.
func (l *Log) last() uint64 { return l.first + uint64(len(l.tokens)) - 1 }

func (l *Log) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// Last returns the number of the last token, 0 if there is none.
func (l *Log) Last() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last()
}

// Read returns up to limit tokens after the given number and marks them as
// delivered. The tokens must not be changed. It returns ErrDropped or
// ErrBeyondLast for a position outside the log.
func (l *Log) Read(after uint64, limit int) ([][]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after+1 < l.first {
		return nil, ErrDropped
	}
	if after > l.last() {
		return nil, ErrBeyondLast
	}
	tokens := l.tokens[after+1-l.first:]
	tokens = append([][]byte(nil), tokens[:min(limit, len(tokens))]...)
	l.deliver(after + uint64(len(tokens)))
	return tokens, nil
}

// deliver marks the tokens up to the number as delivered. It notifies waiters if
// the log is at least half full, as a writer may be waiting for room.
func (l *Log) deliver(seq uint64) {
	if seq <= l.delivered {
		return
	}
	l.delivered = seq
	if l.bytes >= l.maxBytes/2 {
		l.notify()
	}
}

// Acknowledge drops the tokens up to the given number, which the caller has
// received.
func (l *Log) Acknowledge(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seq = min(seq, l.last())
	l.delivered = max(l.delivered, seq)
	for len(l.tokens) > 0 && l.first <= seq {
		l.dropFirst()
	}
	l.notify()
}

// End closes the log after its last token.
func (l *Log) End() { l.close(StateEnded, problem.Problem{}) }

// Fail closes the log because of a failure of the generation.
func (l *Log) Fail(reason problem.Problem) { l.close(StateFailed, reason) }

// close sets the final state. It has no effect on a closed log.
func (l *Log) close(state string, reason problem.Problem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != StateOpen {
		return
	}
	l.state = state
	l.failure = reason
	l.notify()
}

// State returns the state, the number of the last token and, for StateFailed,
// the reason for the failure.
func (l *Log) State() (state string, last uint64, reason problem.Problem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.last(), l.failure
}

// Changed returns a channel that is closed at the next change of the log. A
// waiter must call it before it reads the state, or it can miss a change.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// Attach adds a reader that has received the tokens up to the given number.
// Every Attach must be followed by one Detach.
func (l *Log) Attach(after uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers++
	l.deliver(after)
}

// Detach removes a reader.
func (l *Log) Detach(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers--
	l.idleSince = now
}

// Orphaned reports whether there has been no reader for OrphanGracePeriod.
func (l *Log) Orphaned(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readers == 0 && now.Sub(l.idleSince) >= OrphanGracePeriod
}

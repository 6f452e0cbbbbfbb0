package refusallog

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

// lineInterval is the minimum time between two log lines with the same reason.
const lineInterval = 10 * time.Second

// Log records refusals. It is safe for concurrent use.
type Log struct {
	log   *eventlog.Log
	scope tally.Scope
	clock func() time.Time

	mu      sync.Mutex
	reasons map[string]*reason
}

// reason is the state of one reason.
type reason struct {
	counter tally.Counter
	// unlogged is the number of refusals since the last line, and loggedAt its time.
	unlogged int
	loggedAt time.Time
}

// New returns a log that counts in the subscope "listener" of the scope.
func New(log *eventlog.Log, scope tally.Scope, clock func() time.Time) *Log {
	return &Log{log: log, scope: scope.SubScope("listener"), clock: clock, reasons: make(map[string]*reason)}
}

// Record counts a refusal with the reason, which is one of a fixed set. It writes a line
// for the first one, and then at most one in 10 s with the number of refusals since
// the last line.
func (l *Log) Record(name string) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.reasons[name]
	if r == nil {
		r = &reason{counter: l.scope.Tagged(map[string]string{"reason": name}).Counter("refused")}
		l.reasons[name] = r
	}
	r.counter.Inc(1)
	r.unlogged++
	if !r.loggedAt.IsZero() && now.Sub(r.loggedAt) < lineInterval {
		return
	}
	l.log.Emit(eventlog.CallersRefused).Str("reason", name).Int("requests", r.unlogged).Send()
	r.unlogged, r.loggedAt = 0, now
}

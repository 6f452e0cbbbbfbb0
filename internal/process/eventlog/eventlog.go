package eventlog

import (
	"bytes"
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// Event describes a kind of log event.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Name is unique and in snake case.
	Name string
	// Level is the zerolog level at which the event is written.
	Level zerolog.Level
	// Meaning explains the event to operators in one sentence.
	Meaning string
	// Action is what operators should do, "none" if nothing is required.
	Action string
}

// timeFormat is RFC 3339 with milliseconds, because events of several processes
// are sorted by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var setTimeFormat sync.Once

// Log writes the events of one process. It is safe for concurrent use.
type Log struct {
	logger zerolog.Logger
}

// New returns a log that writes events of the level and above as JSON lines to w.
// Each line contains the name of the process.
func New(w io.Writer, level zerolog.Level, process string) *Log {
	setTimeFormat.Do(func() { zerolog.TimeFieldFormat = timeFormat })
	logger := zerolog.New(w).Level(level).With().Timestamp().Str("process", process).Logger()
	return &Log{logger: logger}
}

// Discard returns a log that discards all events, for tests and offline
// commands.
func Discard() *Log { return &Log{logger: zerolog.Nop()} }

// Emit starts a log line for the event. The caller adds fields and writes the
// line with Send.
func (l *Log) Emit(e Event) *zerolog.Event {
	return l.logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// Catalogue returns all events, grouped by the thousands of their numbers.
func Catalogue() []Event {
	var events []Event
	for _, group := range [][]Event{
		processEvents(), gatewayEvents(), sidecarEvents(), configurationEvents(), policyEvents(), routerEvents(),
	} {
		events = append(events, group...)
	}
	return events
}

// DroppedLine returns the log line that reports how many lines were dropped
// because the reader of the log was too slow.
func DroppedLine(lines int64) []byte {
	var line bytes.Buffer
	New(&line, zerolog.InfoLevel, "").Emit(LogLinesDropped).Int64("lines", lines).Send()
	return line.Bytes()
}

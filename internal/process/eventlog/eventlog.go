package eventlog

import (
	"bytes"
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// Event is an entry of the catalogue.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Name is in snake case and unique.
	Name string
	// Level is the zerolog level at which the event is written.
	Level zerolog.Level
	// Meaning is one sentence for operators.
	Meaning string
	// Action tells operators what to do, "none" where nothing is needed.
	Action string
}

// timeFormat is RFC 3339 with milliseconds, as events of several processes are
// put in order by their time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var preciseTime sync.Once

// Log writes events of one process. It is safe for concurrent use.
type Log struct {
	logger zerolog.Logger
}

// New returns a log that writes JSON lines with the process's name.
func New(w io.Writer, level zerolog.Level, process string) *Log {
	preciseTime.Do(func() { zerolog.TimeFieldFormat = timeFormat })
	logger := zerolog.New(w).Level(level).With().Timestamp().Str("process", process).Logger()
	return &Log{logger: logger}
}

// Discard returns a log that writes nothing, for tests and offline commands.
func Discard() *Log { return &Log{logger: zerolog.Nop()} }

// Emit starts an entry for the event. The caller adds fields and ends it with
// Send.
func (l *Log) Emit(e Event) *zerolog.Event {
	return l.logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	var events []Event
	for _, group := range [][]Event{
		processEvents(), gatewayEvents(), sidecarEvents(), configurationEvents(), policyEvents(), routerEvents(),
	} {
		events = append(events, group...)
	}
	return events
}

// DroppedLine returns the line that tells how many lines of the log were
// dropped because its reader was too slow.
func DroppedLine(lines int64) []byte {
	var line bytes.Buffer
	New(&line, zerolog.InfoLevel, "").Emit(LogLinesDropped).Int64("lines", lines).Send()
	return line.Bytes()
}

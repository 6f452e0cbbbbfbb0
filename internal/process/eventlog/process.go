package eventlog

import "github.com/rs/zerolog"

// Events of the start and the stop of a process, numbered from 1000.
var (
	ProcessStarted = Event{
		1000, "process_started", zerolog.InfoLevel,
		"The process serves connections on its listeners.", "none",
	}
	ProcessStopping = Event{
		1001, "process_stopping", zerolog.InfoLevel,
		"The process started a graceful shutdown.", "none",
	}
	ProcessStopped = Event{
		1002, "process_stopped", zerolog.InfoLevel,
		"The process completed its shutdown and exits.", "none",
	}
	ProcessFailed = Event{
		1003, "process_failed", zerolog.ErrorLevel,
		"The process cannot start or continue.", "Read the error and correct the settings.",
	}
	CallersRefused = Event{
		1004, "callers_refused", zerolog.WarnLevel,
		"A listener refused requests that exceed a limit or are malformed, before they ran; at most one line in 10 s for each reason.",
		"See docs/OPERATIONS.md.",
	}
)

func processEvents() []Event {
	return []Event{ProcessStarted, ProcessStopping, ProcessStopped, ProcessFailed, CallersRefused}
}

package eventlog

import "github.com/rs/zerolog"

// Events of the router and the reporter, numbered from 6000.
var (
	StoreUnreachable = Event{
		6000, "store_unreachable", zerolog.WarnLevel,
		"The watched store does not answer; the process goes on with what it and its peers know.",
		"Restore the store.",
	}
	StoreReachable = Event{
		6001, "store_reachable", zerolog.InfoLevel, "The watched store answers again.", "none",
	}
	StoreHistoryGone = Event{
		6002, "store_history_gone", zerolog.WarnLevel,
		"The store has dropped the changes after the revision that this process holds; it reads all items again.", "none",
	}
	ItemRefused = Event{
		6003, "item_refused", zerolog.WarnLevel,
		"An item of the store cannot be used; an upstream of that key is not used, a configuration stays as it was.",
		"Look at the writer of the key.",
	}
	TableAdopted = Event{
		6004, "route_table_adopted", zerolog.InfoLevel,
		"A newer version of the routes, services and client accounts is in force in this process.", "none",
	}
	UpstreamListed = Event{
		6005, "upstream_listed", zerolog.InfoLevel, "The list names a new upstream or a new start of one.", "none",
	}
	UpstreamLeaving = Event{
		6006, "upstream_leaving", zerolog.InfoLevel,
		"An upstream leaves; it gets no new work and its generations move to others.", "none",
	}
	UpstreamGone = Event{
		6007, "upstream_gone", zerolog.InfoLevel, "The list no longer names the upstream; it gets no new work.", "none",
	}
	DataCentreEvacuated = Event{
		6008, "data_centre_evacuated", zerolog.InfoLevel,
		"Operators have taken a data centre out of service; its upstreams get no new work.", "none",
	}
	DataCentreRestored = Event{
		6009, "data_centre_restored", zerolog.InfoLevel, "Operators have returned a data centre to service.", "none",
	}
	CallAnswered = Event{
		6010, "call_answered", zerolog.InfoLevel,
		"A request has ended with the answer of an upstream.", "none",
	}
	CallRefused = Event{
		6011, "call_refused", zerolog.InfoLevel,
		"A request ended with an answer of the router's own; the reason and the inputs stand beside it.", "See docs/OPERATIONS.md.",
	}
	CallBroken = Event{
		6012, "call_broken", zerolog.WarnLevel,
		"An answer that had begun could not be completed; the caller's connection was closed.", "See docs/OPERATIONS.md.",
	}
	CallAbandoned = Event{
		6013, "call_abandoned", zerolog.InfoLevel, "The caller left before its answer was complete.", "none",
	}
	AttemptFailed = Event{
		6014, "attempt_failed", zerolog.InfoLevel,
		"A send to an upstream brought no usable answer; the outcome tells whether the request may have run.", "none",
	}
	GenerationMoved = Event{
		6015, "generation_moved", zerolog.InfoLevel, "A running generation goes on at another upstream.", "none",
	}
	GenerationMoveFailed = Event{
		6016, "generation_move_failed", zerolog.WarnLevel,
		"A step of moving a generation failed; the step, both upstreams and the time left stand beside it.", "none",
	}
	PeerFound = Event{
		6017, "peer_found", zerolog.InfoLevel, "Another router answers.", "none",
	}
	PeerLost = Event{
		6018, "peer_lost", zerolog.InfoLevel, "Another router no longer answers.", "none",
	}
	LogLinesDropped = Event{
		6019, "log_lines_dropped", zerolog.WarnLevel,
		"The reader of the log was too slow; the given number of lines was dropped.", "Read the log faster.",
	}
	SettingsReloaded = Event{
		6020, "settings_reloaded", zerolog.InfoLevel, "The process has read its settings again.", "none",
	}
	SettingsRefused = Event{
		6021, "settings_refused", zerolog.WarnLevel, "The changed settings cannot be used; the former ones stay.",
		"Correct the settings.",
	}
	ReportsLost = Event{
		6022, "reports_lost", zerolog.InfoLevel,
		"The reporter beside an upstream no longer answers; the upstream is judged by its calls.", "none",
	}
	ReportsRegained = Event{
		6023, "reports_regained", zerolog.InfoLevel, "The reporter beside an upstream answers.", "none",
	}
	TurnDecided = Event{
		6024, "turn_decided", zerolog.InfoLevel,
		"A reporter has decided on a turn for a copy over the upstream's link.", "none",
	}
	UpstreamReported = Event{
		6027, "upstream_reported", zerolog.InfoLevel,
		"The upstream beside this reporter has started, leaves, is gone or answers again.", "none",
	}
	TurnNotGranted = Event{
		6028, "turn_not_granted", zerolog.InfoLevel,
		"A reporter gave no turn for a copy in time; the copy begins without one.", "none",
	}
	UpstreamSuperseded = Event{
		6029, "upstream_superseded", zerolog.InfoLevel,
		"The list still names a former start of an upstream at an address that a later one has.", "none",
	}
	UpstreamChosen = Event{
		6030, "upstream_chosen", zerolog.InfoLevel,
		"A request goes to an upstream; the inputs of the choice and their age stand beside it.", "none",
	}
	CopyNotFreed = Event{
		6031, "copy_not_freed", zerolog.InfoLevel,
		"A copy of a generation that is not used could not be given up; the engine frees it after a while.", "none",
	}
	UpstreamDoubted = Event{
		6032, "upstream_doubted", zerolog.InfoLevel,
		"An upstream is avoided for a while: it did not answer a request, does not count requests that it has, or another router found so.",
		"none",
	}
	DoubtNotShared = Event{
		6033, "doubt_not_shared", zerolog.InfoLevel,
		"The reporter beside an upstream could not be told that this router doubts the upstream; the others find out by themselves.",
		"none",
	}
	HandlerPanicked = Event{
		6025, "handler_panicked", zerolog.ErrorLevel,
		"The handler of a request failed; the caller got an error or a closed connection.", "Report the stack.",
	}
	ShutdownIncomplete = Event{
		6026, "shutdown_incomplete", zerolog.WarnLevel,
		"The shutdown notice ended before all requests did; their connections were closed.", "none",
	}
)

func routerEvents() []Event {
	return []Event{
		StoreUnreachable, StoreReachable, StoreHistoryGone, ItemRefused, TableAdopted,
		UpstreamListed, UpstreamLeaving, UpstreamGone, DataCentreEvacuated, DataCentreRestored,
		CallAnswered, CallRefused, CallBroken, CallAbandoned, AttemptFailed,
		GenerationMoved, GenerationMoveFailed, PeerFound, PeerLost, LogLinesDropped,
		SettingsReloaded, SettingsRefused, ReportsLost, ReportsRegained, TurnDecided,
		HandlerPanicked, ShutdownIncomplete, UpstreamReported, TurnNotGranted,
		UpstreamSuperseded, UpstreamChosen, CopyNotFreed, UpstreamDoubted, DoubtNotShared,
	}
}

package eventlog

import "github.com/rs/zerolog"

// Events of routers and reporters, numbered from 6000.
var (
	StoreUnreachable = Event{
		6000, "store_unreachable", zerolog.WarnLevel,
		"The metadata store does not respond; the process continues with the state that it and its peers have.",
		"Restore the store.",
	}
	StoreReachable = Event{
		6001, "store_reachable", zerolog.InfoLevel, "The metadata store responds again.", "none",
	}
	StoreHistoryGone = Event{
		6002, "store_history_gone", zerolog.WarnLevel,
		"The metadata store has compacted the changes after the last revision that this process read; it reads all items again.", "none",
	}
	ItemRefused = Event{
		6003, "item_refused", zerolog.WarnLevel,
		"An item of the metadata store is invalid and ignored; an upstream of that key stays in use for 2 s, in which it writes its entry again, and the current configuration stays in force.",
		"Check the process that writes the key.",
	}
	TableAdopted = Event{
		6004, "route_table_adopted", zerolog.InfoLevel,
		"The process applied a newer version of the routes, services and client accounts.", "none",
	}
	UpstreamListed = Event{
		6005, "upstream_listed", zerolog.InfoLevel, "A new upstream, or a restarted one, was added to the list of upstreams.", "none",
	}
	UpstreamLeaving = Event{
		6006, "upstream_leaving", zerolog.InfoLevel,
		"An upstream is draining; it receives no new requests and its generations move to others.", "none",
	}
	UpstreamGone = Event{
		6007, "upstream_gone", zerolog.InfoLevel, "The upstream was removed from the list of upstreams; it receives no new requests.", "none",
	}
	DataCentreEvacuated = Event{
		6008, "data_centre_evacuated", zerolog.InfoLevel,
		"Operators took a data centre out of service; its upstreams receive no new requests.", "none",
	}
	DataCentreRestored = Event{
		6009, "data_centre_restored", zerolog.InfoLevel, "Operators returned a data centre to service.", "none",
	}
	CallAnswered = Event{
		6010, "call_answered", zerolog.InfoLevel,
		"A request ended with the answer of an upstream.", "none",
	}
	CallRefused = Event{
		6011, "call_refused", zerolog.InfoLevel,
		"A request ended with an error response of the router; the line contains the reason and the inputs of the decision.", "See docs/OPERATIONS.md.",
	}
	CallBroken = Event{
		6012, "call_broken", zerolog.WarnLevel,
		"An answer that had started could not be completed; the caller's connection was closed.", "See docs/OPERATIONS.md.",
	}
	CallAbandoned = Event{
		6013, "call_abandoned", zerolog.InfoLevel, "The caller disconnected before its answer was complete.", "none",
	}
	AttemptFailed = Event{
		6014, "attempt_failed", zerolog.InfoLevel,
		"An attempt at an upstream returned no usable answer; the outcome states whether the request may have run.", "none",
	}
	GenerationMoved = Event{
		6015, "generation_moved", zerolog.InfoLevel, "A running generation continues at another upstream.", "none",
	}
	GenerationMoveFailed = Event{
		6016, "generation_move_failed", zerolog.WarnLevel,
		"A step of moving a generation failed; the line contains the step, both upstreams and the remaining time.", "none",
	}
	PeerFound = Event{
		6017, "peer_found", zerolog.InfoLevel, "Another router responds.", "none",
	}
	PeerLost = Event{
		6018, "peer_lost", zerolog.InfoLevel, "Another router no longer responds.", "none",
	}
	LogLinesDropped = Event{
		6019, "log_lines_dropped", zerolog.WarnLevel,
		"The reader of the log was too slow; the line contains the number of dropped lines.", "Read the log faster.",
	}
	SettingsReloaded = Event{
		6020, "settings_reloaded", zerolog.InfoLevel, "The process reloaded its settings.", "none",
	}
	SettingsRefused = Event{
		6021, "settings_refused", zerolog.WarnLevel, "The settings cannot be read or are invalid; the previous ones stay in force.",
		"Correct the settings.",
	}
	ReportsLost = Event{
		6022, "reports_lost", zerolog.InfoLevel,
		"The reporter of an upstream no longer responds; the router assesses the upstream by its own requests to it.", "none",
	}
	ReportsRegained = Event{
		6023, "reports_regained", zerolog.InfoLevel, "The reporter of an upstream responds.", "none",
	}
	TurnDecided = Event{
		6024, "turn_decided", zerolog.InfoLevel,
		"A reporter granted or refused a turn to copy a KV cache over the network link of its upstream.", "none",
	}
	UpstreamReported = Event{
		6027, "upstream_reported", zerolog.InfoLevel,
		"The upstream of this reporter started, is draining, stopped or responds again.", "none",
	}
	TurnNotGranted = Event{
		6028, "turn_not_granted", zerolog.InfoLevel,
		"A reporter granted no turn for a copy in time; the copy starts without one.", "none",
	}
	UpstreamSuperseded = Event{
		6029, "upstream_superseded", zerolog.InfoLevel,
		"The list of upstreams still contains an upstream whose address a more recently started one uses.", "none",
	}
	UpstreamChosen = Event{
		6030, "upstream_chosen", zerolog.InfoLevel,
		"The router selected an upstream for a request; the line contains the inputs of the decision and their age.", "none",
	}
	CopyNotFreed = Event{
		6031, "copy_not_freed", zerolog.InfoLevel,
		"An unused copy of a generation could not be released; the engine frees it after a timeout.", "none",
	}
	UpstreamSuspected = Event{
		6032, "upstream_doubted", zerolog.InfoLevel,
		"An upstream is avoided temporarily: it did not respond to a request, does not count requests that it received, or another router reported so.",
		"none",
	}
	SuspicionNotShared = Event{
		6033, "doubt_not_shared", zerolog.InfoLevel,
		"The router could not notify the reporter of an upstream that it avoids the upstream; other routers must detect the failure themselves.",
		"none",
	}
	ItemsNotReceived = Event{
		6034, "items_not_received", zerolog.WarnLevel,
		"An exchange with another router ended before its items arrived; further failures with the same router are counted, not logged.",
		"If the instance stays behind in `route_table_adopted`, compare its `bytes` with the instance's link.",
	}
	ItemsReceivedAgain = Event{
		6035, "items_received_again", zerolog.InfoLevel, "A source of items answers again after failures.", "none",
	}
	PromptPartBlocked = Event{
		6036, "prompt_part_blocked", zerolog.WarnLevel,
		"Engines ended one after the other while they began to answer prompts with this part; requests with it are refused and tried again later.",
		"Find the part in `attempt_failed` lines; ask the account that sends it, or the engine's vendor.",
	}
	PromptPartCleared = Event{
		6037, "prompt_part_cleared", zerolog.InfoLevel, "A blocked part of prompts was answered or its crashes are too old; requests with it are served.", "none",
	}
	PromptDecided = Event{
		6038, "prompt_decided", zerolog.InfoLevel,
		"A request with blocked parts of a prompt was refused, or sent as a trial.", "none",
	}
	StreamEndDecided = Event{
		6039, "stream_end_decided", zerolog.InfoLevel,
		"An answer or a stream that only the end of its connection delimits has ended; it is complete if its upstream still accepts connections.", "none",
	}
	UpstreamLimitChanged = Event{
		6040, "upstream_limit_changed", zerolog.InfoLevel,
		"An upstream states another limit on the requests a second that all routers together may send to it, or none any more.",
		"Add capacity to the service if its upstreams state limits often.",
	}
	UpstreamLimitInvalid = Event{
		6041, "upstream_limit_invalid", zerolog.WarnLevel,
		"An upstream states a limit that is not a number; the limit known before stays in force.", "Report it to the upstream's vendor.",
	}
	PermitsLost = Event{
		6042, "permits_lost", zerolog.WarnLevel,
		"Another router, which issues permits for upstreams that state a limit, does not answer; its part of their limits is not used meanwhile.", "none",
	}
	PermitsRegained = Event{
		6043, "permits_regained", zerolog.InfoLevel, "The router that issues permits answers again.", "none",
	}
	PermitRefused = Event{
		6044, "permit_refused", zerolog.InfoLevel,
		"A request was not sent to an upstream for the reason in the line, such as a used-up limit that it states; it may be sent to another one.",
		"Add capacity to the service if its upstreams state limits often.",
	}
	StoreReadCompletely = Event{
		6045, "store_read_completely", zerolog.InfoLevel,
		"The process read all items of the metadata store; the line contains the store's era and revision, the revision held before and how many items changed.", "none",
	}
	StoreRestored = Event{
		6046, "store_restored", zerolog.WarnLevel,
		"The metadata store was restored from a copy; the process takes over all items, and for a while keeps what it knows to be newer.",
		"Check that the latest changes were written again.",
	}
	ItemOutdated = Event{
		6047, "item_outdated", zerolog.InfoLevel,
		"An item of the copy from which the store was restored is older than what the process knows, which stays in force until the item is written again.", "none",
	}
	UpstreamStatedLeaving = Event{
		6048, "upstream_stated_leaving", zerolog.InfoLevel,
		"An upstream states in the answer to the request that it is about to stop; until a later incarnation it receives no new requests, whatever its entry says.", "none",
	}
	UpstreamStatementInvalid = Event{
		6049, "upstream_statement_invalid", zerolog.WarnLevel,
		"An upstream states something of itself in a form that cannot be decoded; it is ignored.", "Report it to the upstream's vendor.",
	}
	UpstreamAskedPause = Event{
		6050, "upstream_asked_pause", zerolog.InfoLevel,
		"An upstream refused the request and wants no further one from this process for the time that is counted; other upstreams are used meanwhile.",
		"Add capacity to the service if its upstreams ask for pauses often.",
	}
	ReservationDecided = Event{
		6060, "reservation_decided", zerolog.InfoLevel,
		"A reporter granted or refused room at its upstream; the line contains the inputs of the decision and their age. Further refusals of the same request are counted in the line of its grant.",
		"Add capacity to the service if reporters refuse often.",
	}
	RequestWaits = Event{
		6070, "request_waits", zerolog.InfoLevel,
		"A request that can wait found no engine with room, or more urgent requests wait; it is sent at the latest when its line says.",
		"Add engines to the service if requests wait often.",
	}
	RequestWaitEnded = Event{
		6071, "request_wait_ended", zerolog.InfoLevel,
		"The wait of a request ended for the reason in the line: an engine granted room, it was due, it was refused, or it was cancelled.", "none",
	}
	HandlerPanicked = Event{
		6025, "handler_panicked", zerolog.ErrorLevel,
		"The handler of a request panicked; the caller received an error or its connection was closed.", "Report the stack trace.",
	}
	ShutdownIncomplete = Event{
		6026, "shutdown_incomplete", zerolog.WarnLevel,
		"The shutdown notice period ended before all requests did; their connections were closed.", "none",
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
		UpstreamSuperseded, UpstreamChosen, CopyNotFreed, UpstreamSuspected, SuspicionNotShared,
		ItemsNotReceived, ItemsReceivedAgain,
		PromptPartBlocked, PromptPartCleared, PromptDecided, StreamEndDecided,
		UpstreamLimitChanged, UpstreamLimitInvalid, PermitsLost, PermitsRegained, PermitRefused, StoreReadCompletely, StoreRestored, ItemOutdated,
		UpstreamStatedLeaving, UpstreamStatementInvalid, UpstreamAskedPause, ReservationDecided,
		RequestWaits, RequestWaitEnded,
	}
}

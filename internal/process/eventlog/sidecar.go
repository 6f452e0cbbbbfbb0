package eventlog

import "github.com/rs/zerolog"

// Events of a sidecar, numbered from 3000.
var (
	UpstreamUp = Event{
		3000, "upstream_up", zerolog.InfoLevel,
		"The upstream answers; the sidecar accepts work for it.", "none",
	}
	UpstreamDown = Event{
		3001, "upstream_down", zerolog.WarnLevel,
		"The upstream no longer answers; the sidecar refuses work as not run.",
		"Restart or replace the upstream.",
	}
	UpstreamRestarted = Event{
		3002, "upstream_restarted", zerolog.WarnLevel,
		"The upstream was restarted; admission begins again with the limits of a cold upstream.", "none",
	}
	SidecarLeaving = Event{
		3003, "sidecar_leaving", zerolog.InfoLevel,
		"The sidecar refuses new work, hands queued work back and finishes running work.", "none",
	}
	SidecarResumed = Event{
		3004, "sidecar_resumed", zerolog.WarnLevel,
		"The process did not run for a while; queued work is checked before any of it is started.",
		"Find out why the process was paused if it happens often.",
	}
	GenerationFailed = Event{
		3005, "generation_failed", zerolog.WarnLevel,
		"A generation ended before its last token; its caller is told so.",
		"Read the error; look at the engine if it happens often.",
	}
	GenerationAdopted = Event{
		3006, "generation_adopted", zerolog.InfoLevel,
		"A generation of an earlier sidecar process is read from the engine again.", "none",
	}
	GenerationAbandoned = Event{
		3007, "generation_abandoned", zerolog.InfoLevel,
		"A generation without a reader was cancelled in the engine.", "none",
	}
	CallOutcomeUnknown = Event{
		3008, "call_outcome_unknown", zerolog.WarnLevel,
		"The upstream failed while it ran a request; its caller is told that the outcome is unknown.",
		"Compare with the upstream's own records if the request was an order.",
	}
	LedgerHandedOver = Event{
		3009, "ledger_handed_over", zerolog.InfoLevel,
		"The order ledger was left with a peer for the successor.", "none",
	}
	LedgerNotHandedOver = Event{
		3010, "ledger_not_handed_over", zerolog.WarnLevel,
		"No peer took the order ledger; the successor refuses opaque keys for one key lifetime.", "none",
	}
	LedgerTaken = Event{
		3011, "ledger_taken", zerolog.InfoLevel,
		"The predecessor's order ledger was taken over; opaque keys are accepted.", "none",
	}
	OrderRefusedUnknown = Event{
		3012, "order_refused_unknown", zerolog.InfoLevel,
		"An order was refused with the outcome unknown, because it may have run elsewhere.", "none",
	}
	OrderToEngineFailed = Event{
		3013, "order_to_engine_failed", zerolog.WarnLevel,
		"The engine did not carry out a control order; it is given again.",
		"Look at the engine and at the weight store.",
	}
	ModelLoaded = Event{
		3014, "model_loaded", zerolog.InfoLevel,
		"The engine loaded the model that the configuration assigns to the slot.", "none",
	}
	AdmissionReset = Event{
		3015, "admission_reset", zerolog.WarnLevel,
		"The upstream was restarted or turned cold; admission begins again with the limits of a cold upstream.",
		"none; look at the upstream if it happens often without restarts.",
	}
)

func sidecarEvents() []Event {
	return []Event{
		UpstreamUp, UpstreamDown, UpstreamRestarted, SidecarLeaving, SidecarResumed, GenerationFailed,
		GenerationAdopted, GenerationAbandoned, CallOutcomeUnknown, LedgerHandedOver, LedgerNotHandedOver,
		LedgerTaken, OrderRefusedUnknown, OrderToEngineFailed, ModelLoaded, AdmissionReset,
	}
}

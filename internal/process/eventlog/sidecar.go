package eventlog

import "github.com/rs/zerolog"

// Events of a sidecar, numbered from 3000.
var (
	UpstreamUp = Event{
		3000, "upstream_up", zerolog.InfoLevel,
		"The upstream responds; the sidecar accepts requests for it.", "none",
	}
	UpstreamDown = Event{
		3001, "upstream_down", zerolog.WarnLevel,
		"The upstream no longer responds; the sidecar refuses requests with the outcome not_run.",
		"Restart or replace the upstream.",
	}
	UpstreamRestarted = Event{
		3002, "upstream_restarted", zerolog.WarnLevel,
		"The upstream was restarted; admission starts again with the limits of a cold upstream.", "none",
	}
	SidecarLeaving = Event{
		3003, "sidecar_leaving", zerolog.InfoLevel,
		"The sidecar is draining: it refuses new requests, returns queued ones as not run and completes running ones.", "none",
	}
	SidecarResumed = Event{
		3004, "sidecar_resumed", zerolog.WarnLevel,
		"The process was paused; queued requests are checked before any of them is started.",
		"Find out why the process was paused if it happens often.",
	}
	GenerationFailed = Event{
		3005, "generation_failed", zerolog.WarnLevel,
		"A generation ended before its last token; its caller receives an error.",
		"Read the error; check the engine if it happens often.",
	}
	GenerationAdopted = Event{
		3006, "generation_adopted", zerolog.InfoLevel,
		"The sidecar reattached to a generation that an earlier sidecar process had started.", "none",
	}
	GenerationAbandoned = Event{
		3007, "generation_abandoned", zerolog.InfoLevel,
		"A generation that no caller reads was cancelled in the engine.", "none",
	}
	CallOutcomeUnknown = Event{
		3008, "call_outcome_unknown", zerolog.WarnLevel,
		"The upstream failed while it ran a request; the caller receives an error with the outcome unknown.",
		"Check the upstream's own records if the request was an order.",
	}
	LedgerHandedOver = Event{
		3009, "ledger_handed_over", zerolog.InfoLevel,
		"The sidecar transferred its order ledger to a peer, which keeps it for the successor.", "none",
	}
	LedgerNotHandedOver = Event{
		3010, "ledger_not_handed_over", zerolog.WarnLevel,
		"No peer accepted the order ledger; the successor refuses opaque keys for one key lifetime.", "none",
	}
	LedgerTaken = Event{
		3011, "ledger_taken", zerolog.InfoLevel,
		"The sidecar loaded its predecessor's order ledger; opaque keys are accepted.", "none",
	}
	OrderRefusedUnknown = Event{
		3012, "order_refused_unknown", zerolog.InfoLevel,
		"An order was refused with the outcome unknown because another instance or incarnation may have run it.", "none",
	}
	OrderToEngineFailed = Event{
		3013, "order_to_engine_failed", zerolog.WarnLevel,
		"A control request to the engine failed; the sidecar retries it.",
		"Check the engine and the weight store.",
	}
	ModelLoaded = Event{
		3014, "model_loaded", zerolog.InfoLevel,
		"The engine loaded the model that the configuration assigns to the slot.", "none",
	}
	AdmissionReset = Event{
		3015, "admission_reset", zerolog.WarnLevel,
		"The upstream was restarted or became cold; admission starts again with the limits of a cold upstream.",
		"none; check the upstream if it happens often without restarts.",
	}
)

func sidecarEvents() []Event {
	return []Event{
		UpstreamUp, UpstreamDown, UpstreamRestarted, SidecarLeaving, SidecarResumed, GenerationFailed,
		GenerationAdopted, GenerationAbandoned, CallOutcomeUnknown, LedgerHandedOver, LedgerNotHandedOver,
		LedgerTaken, OrderRefusedUnknown, OrderToEngineFailed, ModelLoaded, AdmissionReset,
	}
}

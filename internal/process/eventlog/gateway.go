package eventlog

import "github.com/rs/zerolog"

// Events of a gateway, numbered from 2000.
var (
	RequestRefused = Event{
		2000, "request_refused", zerolog.InfoLevel,
		"A caller received a problem in place of an answer.", "Read the outcome and the step; `flamingohold explain` shows the decisions.",
	}
	AnswerIncomplete = Event{
		2001, "answer_incomplete", zerolog.WarnLevel,
		"A streamed answer ended with an error event before its last token.", "Look for a failed engine in the sidecar's log.",
	}
	OrderOutcomeUnknown = Event{
		2002, "order_outcome_unknown", zerolog.WarnLevel,
		"An order may have run, and its caller was told so.", "Compare with the records of the plain service before the order is placed again.",
	}
	LinkResumed = Event{
		2003, "link_resumed", zerolog.InfoLevel,
		"A link to a sidecar failed and its answer continued on a new connection.", "none",
	}
	GatewayPanicked = Event{
		2004, "gateway_panicked", zerolog.ErrorLevel,
		"A request ended through a fault in the gateway.", "Report the stack.",
	}
)

func gatewayEvents() []Event {
	return []Event{RequestRefused, AnswerIncomplete, OrderOutcomeUnknown, LinkResumed, GatewayPanicked}
}

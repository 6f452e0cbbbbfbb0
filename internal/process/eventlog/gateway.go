package eventlog

import "github.com/rs/zerolog"

// Events of a gateway, numbered from 2000.
var (
	RequestRefused = Event{
		2000, "request_refused", zerolog.InfoLevel,
		"A caller received an error (a problem document) instead of an answer.", "Read the outcome and the step; `flamingohold explain` shows the decisions.",
	}
	AnswerIncomplete = Event{
		2001, "answer_incomplete", zerolog.WarnLevel,
		"A streamed answer ended with an error event before its last token.", "Look for a failed engine in the sidecar's log.",
	}
	OrderOutcomeUnknown = Event{
		2002, "order_outcome_unknown", zerolog.WarnLevel,
		"An order may have run; its caller received an error with the outcome unknown.", "Check the records of the plain service before placing the order again.",
	}
	LinkResumed = Event{
		2003, "link_resumed", zerolog.InfoLevel,
		"The connection to a sidecar failed and the answer continued on a new one.", "none",
	}
	GatewayPanicked = Event{
		2004, "gateway_panicked", zerolog.ErrorLevel,
		"The handler of a request panicked in the gateway.", "Report the stack trace.",
	}
)

func gatewayEvents() []Event {
	return []Event{RequestRefused, AnswerIncomplete, OrderOutcomeUnknown, LinkResumed, GatewayPanicked}
}

package eventlog

import "github.com/rs/zerolog"

// Events of admission, routing and limits, numbered from 5000.
var (
	DemandNotExchanged = Event{
		5000, "demand_not_exchanged", zerolog.WarnLevel,
		"A gateway cannot report the demand of client accounts to their home gateway; it applies an equal share of their limits.",
		"Check the peer address of the gateway that the field peer names.",
	}
	DemandExchanged = Event{
		5001, "demand_exchanged", zerolog.InfoLevel,
		"The gateway can report the demand of client accounts again.", "none",
	}
)

func policyEvents() []Event {
	return []Event{DemandNotExchanged, DemandExchanged}
}

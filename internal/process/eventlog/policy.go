package eventlog

import "github.com/rs/zerolog"

// Events of admission, routing and limits, numbered from 5000.
var (
	DemandNotExchanged = Event{
		5000, "demand_not_exchanged", zerolog.WarnLevel,
		"A gateway cannot report the demand of client accounts to their home gateway; they fall back to an equal share of their limits.",
		"Check the peer listener of the gateway named as peer.",
	}
	DemandExchanged = Event{
		5001, "demand_exchanged", zerolog.InfoLevel,
		"The exchange of demand works again.", "none",
	}
)

func policyEvents() []Event {
	return []Event{DemandNotExchanged, DemandExchanged}
}

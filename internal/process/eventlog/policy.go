package eventlog

// Events of admission, routing and limits, numbered from 5000.
func policyEvents() []Event {
	return []Event{}
}

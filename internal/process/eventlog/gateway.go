package eventlog

// Events of a gateway, numbered from 2000.
func gatewayEvents() []Event {
	return []Event{}
}

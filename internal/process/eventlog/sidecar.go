package eventlog

// Events of a sidecar, numbered from 3000.
func sidecarEvents() []Event {
	return []Event{}
}

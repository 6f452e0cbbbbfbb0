package eventlog

// Events of configuration and membership, numbered from 4000.
func configurationEvents() []Event {
	return []Event{}
}

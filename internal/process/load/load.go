package load

// Phases of a sidecar and its upstream.
const (
	// PhaseStarting is the phase before the upstream has responded to a probe.
	PhaseStarting = "starting"
	// PhaseReady is the phase in which new work is accepted.
	PhaseReady = "ready"
	// PhaseLeaving is the phase in which the instance drains: new work is refused
	// and running work continues to its end.
	PhaseLeaving = "leaving"
)

// Report is the load of one upstream at the time when the message that carries
// it was sent.
type Report struct {
	// Instance is the name of the upstream instance.
	Instance string `json:"instance"`
	// Incarnation is the current binding of the sidecar's ledger (see package
	// ledger), which changes every 10 s. Gateways pass it on unchanged as the
	// Binding of attempts. In a gateway's own report, it identifies the process.
	Incarnation string `json:"incarnation"`
	// DataCentre is the data centre of the instance.
	DataCentre string `json:"data_centre"`
	// Phase is one of the Phase constants.
	Phase string `json:"phase"`
	// Running is the number of attempts in progress at the upstream.
	Running int `json:"running"`
	// Queued is the number of attempts waiting in the queue of the sidecar.
	Queued int `json:"queued"`
	// Limit is the current maximum number of concurrent attempts.
	Limit int `json:"limit"`
	// FreeMemory is the uncommitted fraction of the engine's block memory, from
	// 0 to 1. It is 1 for plain services.
	FreeMemory float64 `json:"free_memory"`
	// StepMillis is the recent time between tokens in milliseconds.
	StepMillis float64 `json:"step_ms"`
	// ConfigurationVersion and ConfigurationHash identify the active bundle.
	ConfigurationVersion uint64 `json:"configuration_version"`
	ConfigurationHash    string `json:"configuration_hash"`
}

// Pressure returns the number of running and queued attempts divided by the
// limit. It is 0 for an idle upstream and above 1 for one with a full limit and
// a queue. If the limit is 0, it is the number of attempts plus 1.
func (r Report) Pressure() float64 {
	if r.Limit <= 0 {
		return float64(r.Running + r.Queued + 1)
	}
	return float64(r.Running+r.Queued) / float64(r.Limit)
}

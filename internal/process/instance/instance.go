package instance

// States in the instance list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is an entry of the instance list. It is an immutable value.
type Instance struct {
	// Name is unique in the fleet and contains neither dot nor colon.
	Name string `json:"name"`
	// Service is the service that the instance belongs to.
	Service string `json:"service"`
	// Slot is the name of the place in the fleet that the instance holds;
	// a replacement holds the same slot under a new name.
	Slot string `json:"slot"`
	// DataCentre and Region locate the instance.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// UpstreamAddress and SidecarAddress are "ip:port".
	UpstreamAddress string `json:"upstream_address"`
	SidecarAddress  string `json:"sidecar_address"`
	// Incarnation counts the instances that have held the slot, from 1. It is
	// the fencing number for orders to the engine.
	Incarnation uint64 `json:"incarnation"`
	// State is one of the State constants.
	State string `json:"state"`
}

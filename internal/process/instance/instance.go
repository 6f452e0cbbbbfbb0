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
	// Slot is the stable identity of the instance in the fleet. A replacement has
	// the same slot and a new name.
	Slot string `json:"slot"`
	// DataCentre and Region are the location of the instance.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// UpstreamAddress and SidecarAddress are "ip:port".
	UpstreamAddress string `json:"upstream_address"`
	SidecarAddress  string `json:"sidecar_address"`
	// SlotIncarnation is the ordinal of the instance among those that have held the
	// slot, from 1. It is the fencing number of control requests to the engine.
	SlotIncarnation uint64 `json:"incarnation"`
	// State is one of the State constants.
	State string `json:"state"`
}

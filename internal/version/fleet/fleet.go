package fleet

// States of a data centre.
const (
	StateInService    = "in_service"
	StateOutOfService = "out_of_service"
)

// Fleet is the content of the file fleet.flamingohold.json.
type Fleet struct {
	DataCentres []DataCentre `json:"data_centres"`
	WeightStore WeightStore  `json:"weight_store"`
	Policy      Policy       `json:"policy"`
}

// DataCentre is the operators' settings for one data centre.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// State is one of the State constants.
	State string `json:"state"`
}

// WeightStore holds the limits of the weight store.
type WeightStore struct {
	// BytesPerSecond is the total read rate of all readers, 0 for no limit.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Policy enables or disables mechanisms, so that an experiment can compare them
// with simple baselines.
type Policy struct {
	// Routing is "load_aware", "round_robin", "least_outstanding" or
	// "power_of_two".
	Routing string `json:"routing"`
	// SlowStart, MemoryBudget, StepLimit, FairQueue, RetryBudget,
	// PrefixAffinity and EarlyRefusal enable the mechanism of that name.
	SlowStart      bool `json:"slow_start"`
	MemoryBudget   bool `json:"memory_budget"`
	StepLimit      bool `json:"step_limit"`
	FairQueue      bool `json:"fair_queue"`
	RetryBudget    bool `json:"retry_budget"`
	PrefixAffinity bool `json:"prefix_affinity"`
	EarlyRefusal   bool `json:"early_refusal"`
	// SubsetSize is the number of instances of a service that one gateway uses,
	// 0 for all.
	SubsetSize int `json:"subset_size"`
	// LengthQuantile is the quantile of the remaining output length for which
	// memory is reserved, from 0.5 to 0.99.
	LengthQuantile float64 `json:"length_quantile"`
	// TargetStepMillis is the target time between tokens in milliseconds.
	TargetStepMillis float64 `json:"target_step_ms"`
}

// DefaultPolicy returns the policy with every mechanism enabled.
func DefaultPolicy() Policy {
	return Policy{
		Routing:          "load_aware",
		SlowStart:        true,
		MemoryBudget:     true,
		StepLimit:        true,
		FairQueue:        true,
		RetryBudget:      true,
		PrefixAffinity:   true,
		EarlyRefusal:     true,
		SubsetSize:       20,
		LengthQuantile:   0.8,
		TargetStepMillis: 76,
	}
}

// InService reports whether new work may go to the data centre. A data centre
// that is not listed is out of service.
func (f Fleet) InService(dataCentre string) bool {
	for _, d := range f.DataCentres {
		if d.Name == dataCentre {
			return d.State == StateInService
		}
	}
	return false
}

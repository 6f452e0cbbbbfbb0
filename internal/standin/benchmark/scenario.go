package benchmark

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/standin/loadgen"
)

const (
	// ordinarySigma and longSigma are the standard deviations of the logarithm
	// of the output length.
	ordinarySigma = 0.6
	longSigma     = 1.3
	// Lengths of outputs and prompts in tokens.
	meanOutput   = 120
	maxOutput    = 4000
	promptTokens = 160
	// readFraction and orderFraction are the fractions of the requests that are
	// reads and orders.
	readFraction  = 0.05
	orderFraction = 0.02
	// burstFactor multiplies the arrival rate in a burst, floodFactor the total
	// rate when one account floods the system.
	burstFactor = 3
	floodFactor = 2
	// engineStride selects every third engine. With three data centres, as in the
	// examples, these are the engines of the first data centre.
	engineStride = 3
	// outOfServiceBound is the time after which a data centre out of service must
	// not accept any sequence (guarantee G3).
	outOfServiceBound = 5 * time.Second
)

// scenario is a load with optional disturbances.
type scenario struct {
	name string
	// load is the rate of prompts as a fraction of the computed capacity.
	load float64
	// shape modifies the shape of the load; it may be nil.
	shape   func(*loadgen.Shape)
	actions []action
}

// action is a disturbance that starts at a fraction of the duration.
type action struct {
	at  float64
	run func(context.Context, *session) error
}

func scenarios() []scenario {
	return []scenario{
		{name: "steady_50", load: 0.5},
		{name: "steady_80", load: 0.8},
		{name: "steady_95", load: 0.95},
		{name: "steady_110", load: 1.1},
		{name: "burst", load: 0.5, shape: func(s *loadgen.Shape) {
			s.Rate = burstRate(s.MaxRate, burstFactor, 0.3, 0.5, s.Duration)
			s.MaxRate *= burstFactor
		}},
		{name: "cold_restart", load: 0.6, actions: []action{{0.3, restartThirdOfEngines}}},
		{name: "silent_cold", load: 0.6, actions: []action{{0.3, makeThirdOfEnginesCold}}},
		{name: "data_centre_move", load: 0.5, actions: []action{{0.25, takeDataCentreOutOfService}, {0.65, returnDataCentreToService}}},
		{name: "flooding_account", load: 0.6, shape: addFloodingAccount},
		{name: "long_tail", load: 0.8, shape: func(s *loadgen.Shape) { s.Lengths.Sigma = longSigma }},
		{name: "shared_prefixes", load: 0.8, shape: func(s *loadgen.Shape) { s.Prefixes = 24 }},
	}
}

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// findScenario returns the scenario with the name.
func findScenario(name string) (scenario, error) {
	for _, s := range scenarios() {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, errors.Newf("unknown scenario %q; want one of %v", name, ScenarioNames())
}

// addFloodingAccount multiplies the total rate by floodFactor and lets the last
// account but one send all of the additional requests.
func addFloodingAccount(s *loadgen.Shape) {
	others := 0.0
	for _, share := range s.Shares {
		others += share.Weight
	}
	flooding := &s.Shares[len(s.Shares)-2]
	flooding.Weight += others * (floodFactor - 1)
	rate := s.MaxRate * floodFactor
	s.Rate = func(time.Duration) float64 { return rate }
	s.MaxRate = rate
}

// restartThirdOfEngines kills and restarts one third of the engines, one after the
// other.
func restartThirdOfEngines(ctx context.Context, s *session) error {
	for i, instance := range s.engines() {
		if i%engineStride == 0 {
			if err := s.deployment.Restart(ctx, instance.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// makeThirdOfEnginesCold makes one third of the engines cold without a restart.
func makeThirdOfEnginesCold(ctx context.Context, s *session) error {
	for i, instance := range s.engines() {
		if i%engineStride != 0 {
			continue
		}
		if err := postFault(ctx, instance.UpstreamAddress, fault{Cold: true}); err != nil {
			return err
		}
	}
	return nil
}

// takeDataCentreOutOfService takes the first data centre out of service and, when
// outOfServiceBound has passed, records how many sequences its engines have
// accepted.
func takeDataCentreOutOfService(ctx context.Context, s *session) error {
	if err := s.publish(ctx, s.deployment.Spec().DataCentres[:1]); err != nil {
		return err
	}
	time.Sleep(outOfServiceBound)
	accepted, err := s.acceptedInFirstDataCentre(ctx)
	s.move.acceptedAtBound = accepted
	return err
}

// returnDataCentreToService records how many sequences the engines of the first
// data centre have accepted since the bound, returns it to service, and measures
// the time until its engines accept another sequence.
func returnDataCentreToService(ctx context.Context, s *session) error {
	accepted, err := s.acceptedInFirstDataCentre(ctx)
	if err != nil {
		return err
	}
	s.move.lateSequences = int(accepted - s.move.acceptedAtBound)
	if err := s.publish(ctx, nil); err != nil {
		return err
	}
	returned := time.Now()
	for time.Now().Before(s.end) {
		now, err := s.acceptedInFirstDataCentre(ctx)
		if err != nil {
			return err
		}
		if now > accepted {
			s.move.returnDelay = time.Since(returned)
			return nil
		}
		time.Sleep(pollInterval)
	}
	s.move.neverReturned = true
	return nil
}

// acceptedInFirstDataCentre returns the number of sequences that the engines of the
// first data centre have accepted.
func (s *session) acceptedInFirstDataCentre(ctx context.Context) (uint64, error) {
	states, err := s.states(ctx)
	if err != nil {
		return 0, err
	}
	accepted := uint64(0)
	for i, e := range s.engines() {
		if e.DataCentre == s.deployment.Spec().DataCentres[0] {
			accepted += states[i].Executed
		}
	}
	return accepted, nil
}

package benchmark

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/standin/loadgen"
)

const (
	ordinarySigma = 0.6
	longSigma     = 1.3
	meanOutput    = 120
	maxOutput     = 4000
	promptTokens  = 160
	readFraction  = 0.05
	orderFraction = 0.02
	// burstFactor and floodFactor are assumptions.
	burstFactor = 3
	floodFactor = 2
	// thirdOf is the divisor that selects a third of the engines, which is one
	// data centre.
	thirdOf = 3
	// outOfServiceBound is the time after which a data centre out of service
	// receives no new work (G3).
	outOfServiceBound = 5 * time.Second
)

// scenario is a load with disturbances.
type scenario struct {
	name string
	// load is the fraction of the computed capacity.
	load    float64
	shape   func(*loadgen.Shape)
	actions []action
}

// action is a disturbance at a fraction of the duration.
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
			s.Rate = at(s.MaxRate, burstFactor, 0.3, 0.5, s.Duration)
			s.MaxRate *= burstFactor
		}},
		{name: "cold_restart", load: 0.6, actions: []action{{0.3, restartThird}}},
		{name: "silent_cold", load: 0.6, actions: []action{{0.3, turnThirdCold}}},
		{name: "data_centre_move", load: 0.5, actions: []action{{0.25, takeOut}, {0.65, bringBack}}},
		{name: "flooding_account", load: 0.6, shape: flood},
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

func scenarioOf(name string) (scenario, error) {
	for _, s := range scenarios() {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, errors.Newf("no scenario %q; there are %v", name, ScenarioNames())
}

// flood makes the last but one account send floodFactor times the capacity that
// all others use together.
func flood(s *loadgen.Shape) {
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

func restartThird(ctx context.Context, s *session) error {
	for i, instance := range s.engines() {
		if i%thirdOf == 0 {
			if err := s.deployment.Restart(ctx, instance.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func turnThirdCold(ctx context.Context, s *session) error {
	for i, instance := range s.engines() {
		if i%thirdOf != 0 {
			continue
		}
		if err := postFault(ctx, instance.UpstreamAddress, fault{Cold: true}); err != nil {
			return err
		}
	}
	return nil
}

// takeOut takes the first data centre out of service and, when the bound of G3
// has passed, notes how much its engines have begun.
func takeOut(ctx context.Context, s *session) error {
	if err := s.publish(ctx, s.deployment.Spec().DataCentres[:1]); err != nil {
		return err
	}
	time.Sleep(outOfServiceBound)
	begun, err := s.begunOutOfService(ctx)
	s.move.begunAtBound = begun
	return err
}

// bringBack returns the data centre to service after it has noted how much its
// engines have begun in the meantime, and measures when they begin work again.
func bringBack(ctx context.Context, s *session) error {
	begun, err := s.begunOutOfService(ctx)
	if err != nil {
		return err
	}
	s.move.lateWork = int(begun - s.move.begunAtBound)
	if err := s.publish(ctx, nil); err != nil {
		return err
	}
	returned := time.Now()
	for time.Now().Before(s.end) {
		now, err := s.begunOutOfService(ctx)
		if err != nil {
			return err
		}
		if now > begun {
			s.move.returnDelay = time.Since(returned)
			return nil
		}
		time.Sleep(idlePoll)
	}
	s.move.neverReturned = true
	return nil
}

// begunOutOfService returns the number of sequences that the first data
// centre's engines have begun.
func (s *session) begunOutOfService(ctx context.Context) (uint64, error) {
	states, err := s.states(ctx)
	if err != nil {
		return 0, err
	}
	begun := uint64(0)
	for i, e := range s.engines() {
		if e.DataCentre == s.deployment.Spec().DataCentres[0] {
			begun += states[i].Executed
		}
	}
	return begun, nil
}

package main

import (
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/gateway"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/sidecar"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
)

func newGateway(s *settings.Settings, log *eventlog.Log, t *telemetry.Telemetry) (runner, error) {
	if err := s.ValidateGateway(); err != nil {
		return nil, err
	}
	return gateway.New(s, log, t)
}

func newSidecar(s *settings.Settings, log *eventlog.Log, t *telemetry.Telemetry) (runner, error) {
	if err := s.ValidateSidecar(); err != nil {
		return nil, err
	}
	return sidecar.New(s, log, t)
}

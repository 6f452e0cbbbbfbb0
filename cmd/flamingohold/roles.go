package main

import (
	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/sidecar"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
)

func newGateway(s *settings.Settings, _ *eventlog.Log, _ *telemetry.Telemetry) (runner, error) {
	if err := s.ValidateGateway(); err != nil {
		return nil, err
	}
	return nil, errors.New("this build has no gateway")
}

func newSidecar(s *settings.Settings, log *eventlog.Log, t *telemetry.Telemetry) (runner, error) {
	if err := s.ValidateSidecar(); err != nil {
		return nil, err
	}
	return sidecar.New(s, log, t)
}

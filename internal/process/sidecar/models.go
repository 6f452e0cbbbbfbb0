package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/enginecontrol"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/placement"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	// placeInterval is the time between two comparisons of the engine's loaded
	// models with the configuration.
	placeInterval = 5 * time.Second
	// placeSpread is the period over which the sidecars spread the loading of
	// weights after a change of the configuration.
	placeSpread = 10 * time.Second
)

// placeLoop makes the engine load the model that the configuration assigns to
// the slot, until the context ends. Other models of the engine are not
// unloaded.
func (s *Sidecar) placeLoop(ctx context.Context) {
	for pause.For(ctx, placeInterval) {
		svc := s.service()
		if svc == nil || svc.Kind != service.KindEngine || s.health.leaving() {
			continue
		}
		s.place(ctx, svc)
	}
}

// place makes the engine load the slot's model unless the engine serves it.
func (s *Sidecar) place(ctx context.Context, svc *service.Service) {
	names := modelNames(svc)
	plan := placement.New(names, nil, svc.Slots, 1)
	assigned := plan.Model(s.settings.Slot)
	loaded, err := s.engine.Models(ctx)
	if err != nil || assigned == "" || slices.Contains(loaded, assigned) {
		return
	}
	if pause.For(ctx, plan.ReadDelay(s.settings.Slot, s.configurations.Current().Version, placeSpread)) {
		s.loadModel(ctx, svc, assigned)
	}
}

func (s *Sidecar) loadModel(ctx context.Context, svc *service.Service, model string) {
	client := enginecontrol.New(s.settings.UpstreamAddress, s.settings.SlotIncarnation, svc.ChecksFencing)
	err := client.Load(ctx, model)
	if errors.Is(err, enginecontrol.ErrFenced) {
		s.leave("the engine accepts control requests only from a later holder of the slot")
	}
	if err != nil {
		s.log.Emit(eventlog.OrderToEngineFailed).Str("peer", s.settings.UpstreamAddress).Str("model", model).Err(err).Send()
		return
	}
	s.log.Emit(eventlog.ModelLoaded).Str("peer", s.settings.UpstreamAddress).Str("model", model).Send()
}

func modelNames(svc *service.Service) []string {
	names := make([]string, len(svc.Models))
	for i, model := range svc.Models {
		names[i] = model.Name
	}
	return names
}

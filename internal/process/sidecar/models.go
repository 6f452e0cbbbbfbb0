package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/engineorder"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/pause"
	"github.com/flamingohold/flamingohold/internal/process/placement"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	// placeInterval is the time between two comparisons of the engine's models
	// with the configuration.
	placeInterval = 5 * time.Second
	// placeSpread is the time over which the sidecars spread the loading of
	// weights after a change of the configuration.
	placeSpread = 10 * time.Second
)

// placeLoop orders the engine to load the model that the configuration assigns
// to the slot, until the context ends. Models that the engine offers beyond that
// are left alone.
func (s *Sidecar) placeLoop(ctx context.Context) {
	for pause.For(ctx, placeInterval) {
		svc := s.service()
		if svc == nil || svc.Kind != service.KindEngine || s.health.leaving() {
			continue
		}
		s.place(ctx, svc)
	}
}

func (s *Sidecar) place(ctx context.Context, svc *service.Service) {
	names := modelNames(svc)
	plan := placement.New(names, nil, svc.Slots, 1)
	wanted := plan.Model(s.settings.Slot)
	offered, err := s.engine.Models(ctx)
	if err != nil || wanted == "" || slices.Contains(offered, wanted) {
		return
	}
	if pause.For(ctx, plan.Delay(s.settings.Slot, s.configurations.Current().Version, placeSpread)) {
		s.loadModel(ctx, svc, wanted)
	}
}

func (s *Sidecar) loadModel(ctx context.Context, svc *service.Service, wanted string) {
	orders := engineorder.New(s.settings.UpstreamAddress, s.settings.SlotIncarnation, svc.ChecksFencing)
	err := orders.Load(ctx, wanted)
	if errors.Is(err, engineorder.ErrFenced) {
		s.leave("the engine obeys a later holder of the slot")
	}
	if err != nil {
		s.log.Emit(eventlog.OrderToEngineFailed).Str("peer", s.settings.UpstreamAddress).Str("model", wanted).Err(err).Send()
		return
	}
	s.log.Emit(eventlog.ModelLoaded).Str("peer", s.settings.UpstreamAddress).Str("model", wanted).Send()
}

func modelNames(svc *service.Service) []string {
	names := make([]string, len(svc.Models))
	for i, model := range svc.Models {
		names[i] = model.Name
	}
	return names
}

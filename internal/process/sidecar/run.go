package sidecar

import (
	"context"
	"time"

	"github.com/flamingohold/flamingohold/internal/version/service"
)

// keepInterval is the time between two rounds of dropping what is no longer
// needed.
const keepInterval = time.Second

// startLoops starts the work that runs until the context ends.
func (s *Sidecar) startLoops(ctx context.Context) {
	go s.dispatchLoop(ctx)
	go s.watchUpstream(ctx)
	go s.watchInstances(ctx)
	go s.keepLoop(ctx)
	go s.takeLoop(ctx)
}

func (s *Sidecar) keepLoop(ctx context.Context) {
	for every(ctx, keepInterval) {
		now := s.clock()
		s.reap(now)
		lifetime := service.DefaultKeyLifetime
		if svc := s.service(); svc != nil {
			lifetime = svc.KeyLifetime()
		}
		s.ledger.Forget(lifetime, now)
	}
}

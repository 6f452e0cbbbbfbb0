package processes

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
	"github.com/flamingohold/flamingohold/internal/standin/gatewayclient"
)

const (
	// outputTokens is long against the measurement, so that the number of
	// streams stays the same.
	outputTokens = 2000
	retryPause   = 100 * time.Millisecond
)

// streams keeps a number of streamed answers running.
type streams struct {
	client *gatewayclient.Client
	target gatewayclient.Target
	model  string
	tokens atomic.Int64
	failed atomic.Int64
	group  sync.WaitGroup
	cancel context.CancelFunc
}

// open starts n streams, each of which is replaced when it ends.
func open(ctx context.Context, target gatewayclient.Target, model string, n int) *streams {
	ctx, cancel := context.WithCancel(ctx)
	s := &streams{client: gatewayclient.New(), target: target, model: model, cancel: cancel}
	for i := range n {
		s.group.Go(func() { s.repeat(ctx, i) })
	}
	return s
}

// close cuts the streams off and waits for them.
func (s *streams) close() {
	s.cancel()
	s.group.Wait()
	s.client.Close()
}

func (s *streams) repeat(ctx context.Context, i int) {
	for turn := 0; ctx.Err() == nil; turn++ {
		prompt := gatewayclient.Prompt{
			Model: s.model, Stream: true,
			Text: fmt.Sprintf("capacity %d %d %s", i, turn, engine.LengthMark(outputTokens)),
		}
		answer, err := s.client.Stream(ctx, s.target, prompt, func(string, time.Time) { s.tokens.Add(1) })
		if ctx.Err() == nil && (err != nil || !answer.Done) {
			s.failed.Add(1)
			time.Sleep(retryPause)
		}
	}
}

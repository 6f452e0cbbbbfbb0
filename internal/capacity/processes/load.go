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
	// outputTokens makes streams far longer than a measurement, so that the number
	// of open streams stays nearly constant.
	outputTokens = 2000
	// retryPause is the time from a failed stream to its replacement.
	retryPause = 100 * time.Millisecond
)

// streams keeps a constant number of streamed answers open.
type streams struct {
	client *gatewayclient.Client
	target gatewayclient.Target
	model  string
	// tokens and failed count the received tokens and the failed streams.
	tokens atomic.Int64
	failed atomic.Int64
	group  sync.WaitGroup
	cancel context.CancelFunc
}

// openStreams opens n streams and replaces each when it ends.
func openStreams(ctx context.Context, target gatewayclient.Target, model string, n int) *streams {
	ctx, cancel := context.WithCancel(ctx)
	s := &streams{client: gatewayclient.New(), target: target, model: model, cancel: cancel}
	for i := range n {
		s.group.Go(func() { s.repeat(ctx, i) })
	}
	return s
}

// close cancels the streams and waits until they have ended.
func (s *streams) close() {
	s.cancel()
	s.group.Wait()
	s.client.Close()
}

// repeat opens one stream after another until the context is cancelled.
func (s *streams) repeat(ctx context.Context, i int) {
	for n := 0; ctx.Err() == nil; n++ {
		prompt := gatewayclient.Prompt{
			Model: s.model, Stream: true,
			Text: fmt.Sprintf("capacity %d %d %s", i, n, engine.LengthMark(outputTokens)),
		}
		answer, err := s.client.Stream(ctx, s.target, prompt, func(string, time.Time) { s.tokens.Add(1) })
		if ctx.Err() == nil && (err != nil || !answer.Done) {
			s.failed.Add(1)
			time.Sleep(retryPause)
		}
	}
}

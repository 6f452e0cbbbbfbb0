package configwatch

import (
	"math/rand/v2"
	"time"
)

// timing holds the intervals and timeouts of a watcher.
type timing struct {
	dial time.Duration
	// peerRead bounds one read from a peer.
	peerRead time.Duration
	// serviceRead bounds one read of a chunk from the service.
	serviceRead time.Duration
	// wait is how long the service holds a watch without a change, and watchSlack
	// how much later the watch is given up. A connection can go silent for ever:
	// a watch, a chunk and a retry on such connections end within the 14 s for a
	// change. At rest, 370 gateways then read 62 times a second.
	wait, watchSlack time.Duration
	// firstRetry and lastRetry bound the time between attempts while the service
	// fails or its bundle is refused.
	firstRetry, lastRetry time.Duration
	// poll is the mean time between questions to a random peer. It bounds the
	// time until an idle sidecar has a change, of the 5 s for a data centre taken
	// out of service. 1,400 sidecars ask each of 370 gateways twice a second.
	poll time.Duration
	// spread is the largest random delay before the chunks of a change are read.
	spread time.Duration
}

func defaultTiming() timing {
	return timing{
		dial:        time.Second,
		peerRead:    2 * time.Second,
		serviceRead: 3 * time.Second,
		wait:        6 * time.Second,
		watchSlack:  2 * time.Second,
		firstRetry:  time.Second,
		lastRetry:   15 * time.Second,
		poll:        2 * time.Second,
		spread:      500 * time.Millisecond,
	}
}

// jitter returns a random duration from 3/4 to 5/4 of the mean.
func jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(rand.Int64N(int64(mean/2)+1))
}

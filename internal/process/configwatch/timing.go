package configwatch

import (
	"math/rand/v2"
	"time"
)

// timing holds the intervals and timeouts of a watcher.
type timing struct {
	// dial bounds the time to open a connection.
	dial time.Duration
	// peerRead bounds one read from a peer.
	peerRead time.Duration
	// serviceRead bounds one read of a chunk from the service.
	serviceRead time.Duration
	// wait is the time after which the service ends a watch without a change. The
	// watch times out watchSlack after wait + wait/8, because Consul may extend a
	// wait by up to wait/16. A connection can stop responding without being closed:
	// a watch, a chunk read and a retry on such connections time out within the
	// target of 14 s for a change. Without changes, 370 gateways read 62 times a
	// second.
	wait, watchSlack time.Duration
	// firstRetry and lastRetry are the shortest and the longest mean delay of a
	// retry while the service fails or its bundle is refused.
	firstRetry, lastRetry time.Duration
	// poll is the mean time between polls of a random peer. It bounds the time
	// until an idle sidecar receives a change, which is part of the 5 s for taking
	// a data centre out of service. Each of 370 gateways receives two polls a
	// second from 1,400 sidecars.
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

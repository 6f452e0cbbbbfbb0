package peers

import (
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
)

// failures logs the first of a series of failed exchanges with a peer and the
// end of the series. It is safe for concurrent use.
type failures struct {
	log *eventlog.Log

	mu sync.Mutex
	// counts holds the length of the current series, by address.
	counts map[string]int
}

func newFailures(log *eventlog.Log) *failures {
	return &failures{log: log, counts: make(map[string]int)}
}

// noteFailure records an exchange that failed after the elapsed time.
func (f *failures) noteFailure(address string, held mirror.Position, elapsed time.Duration, err error) {
	f.mu.Lock()
	f.counts[address]++
	first := f.counts[address] == 1
	f.mu.Unlock()
	if first {
		f.log.Emit(eventlog.ItemsNotReceived).Str("source", address).Int64("held_era", held.Era).Int64("held_revision", held.Revision).
			Dur("elapsed", elapsed).Err(err).Send()
	}
}

// noteSuccess records an exchange that succeeded.
func (f *failures) noteSuccess(address string, position mirror.Position, elapsed time.Duration) {
	f.mu.Lock()
	count := f.counts[address]
	delete(f.counts, address)
	f.mu.Unlock()
	if count > 0 {
		f.log.Emit(eventlog.ItemsReceivedAgain).Str("source", address).Int("failures", count).
			Int64("era", position.Era).Int64("revision", position.Revision).Dur("elapsed", elapsed).Send()
	}
}

// forget ends the series of a peer that counts as lost.
func (f *failures) forget(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.counts, address)
}

package configwatch

import "time"

// ShortenIntervals shortens the intervals between polls and between retries of a
// watcher, and lengthens the timeout of reads from peers and the duration of
// watches. It must be called before Run.
func (w *Watcher) ShortenIntervals() {
	w.timing.poll = 20 * time.Millisecond
	w.timing.firstRetry = 10 * time.Millisecond
	w.timing.lastRetry = 40 * time.Millisecond
	w.timing.spread = time.Millisecond
	w.timing.peerRead = 10 * time.Second
	w.timing.wait = time.Minute
}

// DisablePeerPolling sets the interval between polls of peers to one hour, so
// that a watcher reads from peers only at its start. It must be called before
// Run.
func (w *Watcher) DisablePeerPolling() { w.timing.poll = time.Hour }

// ShortenServiceTimeouts makes calls to a configuration service that does not
// respond time out early. It must be called before Run.
func (w *Watcher) ShortenServiceTimeouts() {
	w.timing.wait = 100 * time.Millisecond
	w.timing.watchSlack = 400 * time.Millisecond
	w.timing.serviceRead = 400 * time.Millisecond
}

// ReadTimes returns the start times of the reads of one process that reserves
// each read as soon as the previous one has started.
func ReadTimes(start time.Time, count int) []time.Time {
	r := newReadLimiter()
	now := start
	var times []time.Time
	for range count {
		now = now.Add(r.reserve(now))
		times = append(times, now)
	}
	return times
}

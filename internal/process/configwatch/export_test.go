package configwatch

import "time"

// Hasten shortens the intervals of a watcher that is not running yet.
func (w *Watcher) Hasten() {
	w.timing.poll = 20 * time.Millisecond
	w.timing.firstRetry = 10 * time.Millisecond
	w.timing.lastRetry = 40 * time.Millisecond
	w.timing.spread = time.Millisecond
	w.timing.peerRead = 10 * time.Second
	w.timing.wait = time.Minute
}

// PollSeldom makes a watcher that is not running yet ask no peer after its start.
func (w *Watcher) PollSeldom() { w.timing.poll = time.Hour }

// WatchBriefly makes a watcher that is not running yet give up a silent watch
// soon.
func (w *Watcher) WatchBriefly() {
	w.timing.wait = 100 * time.Millisecond
	w.timing.watchSlack = 400 * time.Millisecond
	w.timing.serviceRead = 400 * time.Millisecond
}

// ReadTimes returns the times at which the reads of one process start if it
// asks for the next one as soon as the last has started.
func ReadTimes(start time.Time, count int) []time.Time {
	r := newReadRate()
	now := start
	var times []time.Time
	for range count {
		now = now.Add(r.reserve(now))
		times = append(times, now)
	}
	return times
}

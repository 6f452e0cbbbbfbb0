package forwarding

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/waitqueue"
)

const (
	// minRoomInterval and maxRoomInterval bound the time between two searches for room.
	// The shorter one is about the time between two reports of an engine.
	minRoomInterval = 20 * time.Millisecond
	maxRoomInterval = 50 * time.Millisecond
	// stopCheckInterval is the time between two checks whether the process stops, for
	// requests that are not the first one in the queue.
	stopCheckInterval = 250 * time.Millisecond
)

// waitEnd is why the wait of a request ended.
type waitEnd string

const (
	// waitContinues: the wait has not ended.
	waitContinues waitEnd = ""
	// waitGranted: an engine granted a reservation.
	waitGranted waitEnd = "granted"
	// waitDue: the request must be sent now.
	waitDue waitEnd = "due"
	// waitNoUpstream: no upstream may get the request.
	waitNoUpstream waitEnd = "no_upstream"
	// waitQueueFull: the request was rejected in favour of a more urgent one.
	waitQueueFull waitEnd = "queue_full"
	// waitStopping: the process stops before the request could end.
	waitStopping waitEnd = "stopping"
	// waitCancelled: the caller disconnected, or the request's context ended.
	waitCancelled waitEnd = "cancelled"
)

// wait is the wait of one request in the queue.
type wait struct {
	*call
	place *waitqueue.Place
	begun time.Time
	// logged is true once the request had to wait.
	logged bool
}

// waitForRoom waits in the queue until an engine grants a reservation. The result is
// false if the request was rejected, was cancelled or is due.
func (c *call) waitForRoom(ctx context.Context) (v directory.View, done func(), ok bool) {
	now := c.Clock()
	place, retryAfter := c.Queue.Join(waitqueue.Request{
		Service: c.service.Name, Priority: c.dispatch.Priority, Arrived: c.received, Bytes: len(c.body),
	}, now)
	if place == nil {
		c.rejection = queueFull(retryAfter)
		return directory.View{}, nil, false
	}
	c.Metrics.queueLength(c.dispatch.Priority, c.Queue.Len(c.dispatch.Priority))
	w := &wait{call: c, place: place, begun: now}
	end := waitCancelled
	defer func() { w.end(end) }()
	v, done, end = w.run(ctx)
	return v, done, end == waitGranted
}

// run waits until the request can be sent or has ended.
func (w *wait) run(ctx context.Context) (directory.View, func(), waitEnd) {
	for {
		freed := w.Directory.RoomFreed()
		isFirst := w.place.IsFirst()
		if isFirst {
			w.waited = w.Clock().Sub(w.begun)
			search := searchInQueue.room(w.Headroom)
			search.skipFull, search.until = w.logged, w.dispatch.SendBy
			v, done, result := w.reserve(ctx, search)
			switch result {
			case roomGranted:
				return v, done, waitGranted
			case noCandidate:
				return directory.View{}, nil, waitNoUpstream
			case roomRefused:
			}
		}
		w.logBegin(isFirst)
		if end := w.pause(ctx, isFirst, freed); end != waitContinues {
			return directory.View{}, nil, end
		}
	}
}

// pause waits until the request may look for room again, or returns why its wait has
// ended.
func (w *wait) pause(ctx context.Context, isFirst bool, freed <-chan struct{}) waitEnd {
	if !isFirst {
		return w.sleep(ctx, stopCheckInterval, w.place.Turn())
	}
	if end := w.sleep(ctx, minRoomInterval, nil); end != waitContinues {
		return end
	}
	return w.sleep(ctx, maxRoomInterval-minRoomInterval, freed)
}

// sleep waits for the duration, until wake is readable or until the wait has ended.
func (w *wait) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) waitEnd {
	timer := time.NewTimer(max(0, min(d, w.dispatch.SendBy.Sub(w.Clock()))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return waitCancelled
	case <-w.place.Rejected():
		w.rejection = queueFull(w.place.RetryAfter())
		return waitQueueFull
	case <-wake:
	case <-timer.C:
	}
	now := w.Clock()
	if w.rejection = w.refuseUnfinishable(now); w.rejection != nil {
		return waitStopping
	}
	if !now.Before(w.dispatch.SendBy) {
		return waitDue
	}
	return waitContinues
}

// logBegin logs once that the request waits.
func (w *wait) logBegin(isFirst bool) {
	if w.logged {
		return
	}
	w.logged = true
	w.Log.Emit(eventlog.RequestWaits).Str("request_id", w.id).Str("route", w.route.Name).Str("service", w.service.Name).
		Int64("table_version", w.table.Version()).Int("priority", w.dispatch.Priority).Int("prompt_tokens", w.sizes.Prompt).
		Bool("first", isFirst).Int("queued", w.Queue.Len(w.dispatch.Priority)).Int("reservations_asked", w.reservation.asked).
		Str("reason", w.reservation.last.Reason).Dur("max_wait", w.dispatch.SendBy.Sub(w.begun)).
		Dur("time_left", w.deadline.Sub(w.begun)).Send()
}

// end removes the request from the queue, and logs and counts the end of its wait.
func (w *wait) end(reason waitEnd) {
	now := w.Clock()
	w.Queue.Leave(w.place, now)
	w.waited = now.Sub(w.begun)
	w.Metrics.queueLength(w.dispatch.Priority, w.Queue.Len(w.dispatch.Priority))
	w.Metrics.waitEnded(w.dispatch.Priority, reason, w.waited)
	if !w.logged {
		return
	}
	w.Log.Emit(eventlog.RequestWaitEnded).Str("request_id", w.id).Str("service", w.service.Name).
		Int("priority", w.dispatch.Priority).Dur("waited", w.waited).Str("reason", string(reason)).
		Int("reservations_asked", w.reservation.asked).Str("last_reason", w.reservation.last.Reason).
		Dur("time_left", w.deadline.Sub(now)).Send()
}

// queueFull returns the refusal of a request for which the queue has no space.
func queueFull(retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "queue_full", retryAfter: retryAfter, isSpread: true}
}

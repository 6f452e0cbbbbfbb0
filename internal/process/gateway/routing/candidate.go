package routing

import (
	"sync/atomic"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
)

const (
	// reportLifetime is how long a report is used. Each heartbeat of a running
	// attempt carries a report, once a second.
	reportLifetime = 5 * time.Second
	// leavingLifetime is how long an instance that reported the phase leaving
	// receives no new work. After that, its sidecar may have been restarted under
	// the same name.
	leavingLifetime = 30 * time.Second
	// unknownPressure is the assumed pressure, as a share of the limit, of an
	// instance without a recent report.
	unknownPressure = 0.5
	// unknownLimit is the assumed concurrency limit, in attempts, of an instance
	// without a report. It equals the limit of a cold upstream.
	unknownLimit = 4
)

// record holds one gateway's load data of an instance. Its fields are safe for
// concurrent use.
type record struct {
	// outstanding is the number of this gateway's running attempts at the
	// instance.
	outstanding atomic.Int64
	latest      atomic.Pointer[observation]
}

// observation is a received report with the gateway's state at its arrival.
type observation struct {
	report     load.Report
	pressure   float64
	receivedAt time.Time
	// outstanding is the gateway's own number of running attempts when the report
	// arrived. The reported load includes them.
	outstanding int64
}

// candidate is an instance that may be chosen.
type candidate struct {
	instance instance.Instance
	// hash is the hash of the instance's name.
	hash   uint64
	record *record
	// local is true if the instance is in the gateway's data centre.
	local bool
}

func (r *record) observe(report load.Report, now time.Time) {
	r.latest.Store(&observation{
		report:      report,
		pressure:    report.Pressure(),
		receivedAt:  now,
		outstanding: r.outstanding.Load(),
	})
}

// available reports whether the instance may receive new work.
func (r *record) available(now time.Time) bool {
	o := r.latest.Load()
	return o == nil || o.report.Phase != load.PhaseLeaving || now.Sub(o.receivedAt) > leavingLifetime
}

// pressure returns the estimated load of the instance as a share of its limit: the
// reported pressure, adjusted by the attempts that this gateway has started or
// finished since the report. For a starting instance, 1 is added. Without a recent
// report, it is unknownPressure plus the share of the gateway's running attempts.
func (r *record) pressure(now time.Time) float64 {
	own := r.outstanding.Load()
	o := r.latest.Load()
	if o == nil {
		return unknownPressure + float64(own)/unknownLimit
	}
	limit := float64(max(1, o.report.Limit))
	age := now.Sub(o.receivedAt)
	if age > reportLifetime {
		return unknownPressure + float64(own)/limit
	}
	pressure := max(0, o.pressure+float64(own-o.outstanding)/limit)
	if o.report.Phase == load.PhaseStarting {
		return pressure + 1
	}
	return pressure
}

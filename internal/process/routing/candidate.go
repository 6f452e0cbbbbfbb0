package routing

import (
	"sync/atomic"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
)

const (
	// reportLifetime is how long a report counts. Reports come with each
	// heartbeat of a running attempt, once a second.
	reportLifetime = 5 * time.Second
	// leavingLifetime is how long a report of leaving counts. A sidecar may have
	// been restarted under the same name.
	leavingLifetime = 30 * time.Second
	// unknownPressure is the pressure of an instance without a recent report.
	unknownPressure = 0.5
	// unknownLimit is the limit of an instance without a report. It is that of a
	// cold upstream.
	unknownLimit = 4
)

// record is what one gateway knows about an instance. Its fields are safe for
// concurrent use.
type record struct {
	// outstanding counts this gateway's attempts at the instance.
	outstanding atomic.Int64
	seen        atomic.Pointer[observation]
}

// observation is a report with the circumstances of its arrival.
type observation struct {
	report   load.Report
	pressure float64
	at       time.Time
	// outstanding is the gateway's own count when the report arrived, which the
	// report includes.
	outstanding int64
}

// candidate is an instance of a subset.
type candidate struct {
	instance instance.Instance
	// hash is the hash of the instance's name.
	hash   uint64
	record *record
	local  bool
}

func (r *record) observe(report load.Report, now time.Time) {
	r.seen.Store(&observation{
		report:      report,
		pressure:    report.Pressure(),
		at:          now,
		outstanding: r.outstanding.Load(),
	})
}

// available reports whether new work may go to the instance.
func (r *record) available(now time.Time) bool {
	o := r.seen.Load()
	return o == nil || o.report.Phase != load.PhaseLeaving || now.Sub(o.at) > leavingLifetime
}

// pressure returns the estimated occupied share of the instance's limit.
func (r *record) pressure(now time.Time) float64 {
	own := r.outstanding.Load()
	o := r.seen.Load()
	if o == nil {
		return unknownPressure + float64(own)/unknownLimit
	}
	limit := float64(max(1, o.report.Limit))
	age := now.Sub(o.at)
	if age > reportLifetime {
		return unknownPressure + float64(own)/limit
	}
	pressure := max(0, o.pressure+float64(own-o.outstanding)/limit)
	if o.report.Phase == load.PhaseStarting {
		return pressure + 1
	}
	return pressure
}

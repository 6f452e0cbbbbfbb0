package membership

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// dataCentreRamp is the time in which the instances of a returned data centre
// ramp up to their full weight. They start cold and collapse under full load.
const dataCentreRamp = 30 * time.Second

// dataCentres holds the configured states of the data centres, and when data
// centres returned to service.
type dataCentres struct {
	fleet fleet.Fleet
	// known is true after the first configuration, whose data centres start at full
	// weight.
	known bool
	// returned maps a data centre to the start of its ramp.
	returned map[string]time.Time
}

func newDataCentres() *dataCentres { return &dataCentres{returned: make(map[string]time.Time)} }

// set stores the configured states and returns the names of the data centres
// that have returned to service.
func (d *dataCentres) set(f fleet.Fleet, now time.Time) []string {
	var newlyReturned []string
	returned := make(map[string]time.Time)
	for _, c := range f.DataCentres {
		if c.State != fleet.StateInService {
			continue
		}
		returned[c.Name] = d.returned[c.Name]
		if d.known && !d.fleet.InService(c.Name) {
			returned[c.Name] = now
			newlyReturned = append(newlyReturned, c.Name)
		}
	}
	d.fleet, d.known, d.returned = f, true, returned
	return newlyReturned
}

func (d *dataCentres) inService(name string) bool { return d.fleet.InService(name) }

func (d *dataCentres) weight(name string, now time.Time) float64 {
	return rampWeight(d.returned[name], dataCentreRamp, now)
}

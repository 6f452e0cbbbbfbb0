package directory

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

// SetEvacuated sets whether the data centre is out of service.
func (d *Directory) SetEvacuated(dataCentre string, evacuated bool) {
	d.mu.Lock()
	_, wasEvacuated := d.evacuated[dataCentre]
	if evacuated {
		d.evacuated[dataCentre] = time.Time{}
	} else {
		delete(d.evacuated, dataCentre)
	}
	d.mu.Unlock()
	if evacuated == wasEvacuated {
		return
	}
	event := eventlog.DataCentreRestored
	if evacuated {
		event = eventlog.DataCentreEvacuated
	}
	d.log.Emit(event).Str("data_centre", dataCentre).Send()
}

// ForgetEvacuation records that a store which was restored from a copy no longer
// says that the data centre is out of service. It returns to service after a while,
// unless the store says so again.
func (d *Directory) ForgetEvacuation(dataCentre string, now time.Time) {
	d.mu.Lock()
	_, evacuated := d.evacuated[dataCentre]
	if evacuated {
		d.evacuated[dataCentre] = now.Add(restoredDistrust)
	}
	d.mu.Unlock()
	if evacuated {
		d.log.Emit(eventlog.ItemOutdated).Str("data_centre", dataCentre).Dur("returns_in", restoredDistrust).Send()
	}
}

// isEvacuated reports whether the data centre is out of service.
func (d *Directory) isEvacuated(dataCentre string, now time.Time) bool {
	end, evacuated := d.evacuated[dataCentre]
	return evacuated && (end.IsZero() || now.Before(end))
}

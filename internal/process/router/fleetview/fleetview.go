package fleetview

import (
	"sync/atomic"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// View is a process's view of the fleet. It is safe for concurrent use.
type View struct {
	decoder   Decoder
	directory *directory.Directory
	log       *eventlog.Log
	table     atomic.Pointer[routetable.Table]
	// onTable is called with each new table.
	onTable func(*routetable.Table)
}

// New returns a view that updates the directory. The function onTable is called
// with each new table.
func New(d Decoder, dir *directory.Directory, log *eventlog.Log, onTable func(*routetable.Table)) *View {
	return &View{decoder: d, directory: dir, log: log, onTable: onTable}
}

// Table returns the current table, nil before the first one.
func (v *View) Table() *routetable.Table { return v.table.Load() }

// Apply applies changes of the mirror. Calls must not overlap.
func (v *View) Apply(changes []mirror.Change, now time.Time) {
	for _, c := range changes {
		update, err := v.decoder.Decode(c.Item, now)
		if err != nil {
			v.log.Emit(eventlog.ItemRefused).Str("key", c.Item.Key).Int64("revision", c.Item.Revision).Err(err).Send()
		}
		v.apply(update, c, now)
	}
}

func (v *View) apply(update Update, c mirror.Change, now time.Time) {
	switch u := update.(type) {
	case UpstreamListed:
		v.list(u.Entry, c.Restored, now)
	case UpstreamUnlisted:
		v.directory.MarkRemoved(u.ID, c.Unconfirmed || u.Unconfirmed, now)
	case Evacuation:
		v.evacuate(u, c.Restored, now)
	case RouteTable:
		v.replaceTable(u.Table, c)
	}
}

// list adds or updates the upstream of an entry, which may be that of the copy from
// which the store was restored.
func (v *View) list(e directory.Entry, restored bool, now time.Time) {
	if restored {
		v.directory.Restore(e, now)
		return
	}
	v.directory.Upsert(e, now)
}

// evacuate sets whether a data centre is out of service. The copy from which the
// store was restored may be older than an evacuation.
func (v *View) evacuate(e Evacuation, restored bool, now time.Time) {
	if restored && !e.OutOfService {
		v.directory.ForgetEvacuation(e.DataCentre, now)
		return
	}
	v.directory.SetEvacuated(e.DataCentre, e.OutOfService)
}

// replaceTable replaces the current table, unless that has the same or a later
// version.
func (v *View) replaceTable(t *routetable.Table, c mirror.Change) {
	if current := v.table.Load(); current != nil && current.Version() >= t.Version() {
		if c.Restored {
			v.log.Emit(eventlog.ItemOutdated).Str("key", c.Item.Key).Int64("version", t.Version()).Int64("version_in_force", current.Version()).Send()
		}
		return
	}
	v.table.Store(t)
	v.log.Emit(eventlog.TableAdopted).Int64("version", t.Version()).Int64("revision", c.Item.Revision).
		Str("source", c.Source).Int("bytes", len(c.Item.Value)).Send()
	v.onTable(t)
}

package fleetview

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// decoder returns the update of a key.
type decoder map[string]Update

func (d decoder) Decode(item mirror.Item, _ time.Time) (Update, error) { return d[item.Key], nil }

// Guards against a configuration, an evacuation or an upstream's leaving that a restored store takes back.
func TestRestoredItemsDoNotTakeBackWhatIsKnown(t *testing.T) {
	table := func(version int64) RouteTable {
		return RouteTable{Table: routetable.New(routetable.TableContent{Version: version})}
	}
	listed := func(sequence int64, leaving bool) UpstreamListed {
		return UpstreamListed{Entry: directory.Entry{
			ID: "u", Service: "desk", Address: "u:1", DataCentre: "dc-1", ConcurrencyLimit: 8, Incarnation: 1, Sequence: sequence, Leaving: leaving,
		}}
	}
	d := decoder{
		"table 5": table(5), "table 4": table(4), "ready": listed(1, false), "leaving": listed(2, true),
		"evacuated": Evacuation{DataCentre: "dc-1", OutOfService: true}, "in service": Evacuation{DataCentre: "dc-1"},
	}
	for _, c := range []struct {
		name            string
		known, restored []string
	}{
		{"evacuation", []string{"ready", "evacuated"}, []string{"in service"}},
		{"leaving", []string{"ready", "leaving"}, []string{"ready"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			upstreams := directory.New(eventlog.Discard(), func(string, string) (float64, bool) { return 0, false })
			v := New(d, upstreams, eventlog.Discard(), func(*routetable.Table) {})
			apply := func(key string, restored bool) {
				v.Apply([]mirror.Change{{Item: mirror.Item{Key: key}, Restored: restored}}, start)
			}
			apply("table 5", false)
			for _, key := range c.known {
				apply(key, false)
			}
			for _, key := range append(c.restored, "table 4") {
				apply(key, true)
			}
			require.Empty(t, upstreams.Service("desk", start.Add(time.Second)))
			require.EqualValues(t, 5, v.Table().Version())
		})
	}
}

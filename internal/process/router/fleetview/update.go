package fleetview

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/router/mirror"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// Update is the decoded content of an item: an UpstreamListed, an
// UpstreamUnlisted, an Evacuation or a RouteTable.
type Update interface{ update() }

// UpstreamListed states that the instance list names an upstream.
type UpstreamListed struct{ Entry directory.Entry }

// UpstreamUnlisted states that the instance list no longer names the upstream.
type UpstreamUnlisted struct {
	ID string
	// Unconfirmed is true if the list may soon name it again.
	Unconfirmed bool
}

// Evacuation states whether a data centre is out of service.
type Evacuation struct {
	DataCentre   string
	OutOfService bool
}

// RouteTable holds a new version of the route table.
type RouteTable struct{ Table *routetable.Table }

func (UpstreamListed) update()   {}
func (UpstreamUnlisted) update() {}
func (Evacuation) update()       {}
func (RouteTable) update()       {}

// Decoder decodes the items of a store.
type Decoder interface {
	// Decode returns the update of the item at the time now, nil if it is not relevant. It may
	// return an update together with an error that explains it.
	Decode(item mirror.Item, now time.Time) (Update, error)
}

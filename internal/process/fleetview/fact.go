package fleetview

import (
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/mirror"
	"github.com/flamingohold/flamingohold/internal/version/routetable"
)

// Fact is the decoded content of an item: a Listed, an Unlisted, an Evacuation
// or a Configuration.
type Fact interface{ fact() }

// Listed states that the instance list names an upstream.
type Listed struct{ Entry directory.Entry }

// Unlisted states that the instance list no longer names the upstream.
type Unlisted struct{ ID string }

// Evacuation states whether a data centre is out of service.
type Evacuation struct {
	DataCentre string
	Out        bool
}

// Configuration is a version of the route table.
type Configuration struct{ Table *routetable.Table }

func (Listed) fact()        {}
func (Unlisted) fact()      {}
func (Evacuation) fact()    {}
func (Configuration) fact() {}

// Decoder decodes the items of a store.
type Decoder interface {
	// Decode returns the fact of the item, nil if the item is not relevant. It may
	// return a fact together with an error that explains it.
	Decode(item mirror.Item) (Fact, error)
}

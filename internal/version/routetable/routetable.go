package routetable

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/flamingohold/flamingohold/internal/version/route"
)

// Engine describes the model engines of a service.
type Engine struct {
	// MaxSequences is the number of generations that one engine runs concurrently.
	MaxSequences int
	// MemoryTokens is the number of tokens that fit into the memory of one engine.
	MemoryTokens int
	// BytesPerToken is the size of one token in an engine's memory, in bytes.
	BytesPerToken float64
	// LinkMbps is the bandwidth of an engine's network link in megabits a second.
	LinkMbps float64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// SupportsMove is true if the engines can copy a running generation to another
	// engine.
	SupportsMove bool
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts
	// from all routers together, 0 for no bound.
	MaxConnections int
	// ColdRequestsPerSecond is the number of requests a second that a cold upstream
	// supports, 0 for no bound.
	ColdRequestsPerSecond float64
	// ColdDuration is the time for which an upstream is cold after its start.
	ColdDuration time.Duration
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits are the bounds on the size of a caller's requests and on the time a
// caller may take to send them. A limit of 0 is not set.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the priority of the route; nil keeps the route's.
	Priority *int
}

// TableContent is the input from which New builds a table.
type TableContent struct {
	Version  int64
	Routes   []route.Route
	Services []Service
	Limits   Limits
	// AccountKeys maps each key to its account; nil if requests need no key.
	AccountKeys map[string]Account
}

// Table is one version of the routes, services, client accounts and limits. It
// is immutable.
type Table struct {
	content TableContent
	// routesByHost holds the routes of each host, the longest prefix first.
	routesByHost map[string][]*route.Route
	services     map[string]*Service
}

// New returns a table with the content, which must not be changed afterwards.
func New(c TableContent) *Table {
	t := &Table{
		content:      c,
		routesByHost: make(map[string][]*route.Route),
		services:     make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Version returns the version number, which increases with each change.
func (t *Table) Version() int64 { return t.content.Version }

// Routes returns all routes. The result must not be changed.
func (t *Table) Routes() []route.Route { return t.content.Routes }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.content.Limits }

// Route returns the host's route whose path prefix is the longest that matches
// the path, nil if none matches.
func (t *Table) Route(host, path string) *route.Route {
	for _, r := range t.routesByHost[hostName(host)] {
		if r.Matches(path) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// RequiresKey reports whether requests for the route must contain the key of a
// client account.
func (t *Table) RequiresKey(r *route.Route) bool { return t.content.AccountKeys != nil && !r.Public }

// Account returns the account of the key, and whether there is one.
func (t *Table) Account(key string) (Account, bool) {
	a, ok := t.content.AccountKeys[key]
	return a, ok
}

// AccountNamed returns the account with the name, and whether there is one.
func (t *Table) AccountNamed(name string) (Account, bool) {
	for _, a := range t.content.AccountKeys {
		if a.Name == name {
			return a, true
		}
	}
	return Account{}, false
}

// hostName returns the host in lower case and without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

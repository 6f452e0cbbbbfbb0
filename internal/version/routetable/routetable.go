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
	// Slots is the number of generations that one engine runs at once.
	Slots int
	// MemoryTokens is the number of tokens that one engine holds.
	MemoryTokens int
	// BytesPerToken is the memory of one token.
	BytesPerToken float64
	// LinkMbps is the bandwidth of an engine's link in megabits a second.
	LinkMbps float64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// Movable engines copy a running generation to another engine.
	Movable bool
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts
	// from all gateways together, 0 for no bound.
	MaxConnections int
	// ColdPerSecond is the rate of requests that a cold upstream tolerates, 0
	// for no bound.
	ColdPerSecond float64
	// ColdFor is how long an upstream stays cold after its start.
	ColdFor time.Duration
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a client may send and how long it may take. A limit of 0 is
// not set.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Priority replaces that of a route; nil leaves it.
	Priority *int
}

// Content is what a table is made of.
type Content struct {
	Version  int64
	Routes   []route.Route
	Services []Service
	Limits   Limits
	// AccountKeys holds the account of each key; nil if requests need no key.
	AccountKeys map[string]Account
}

// Table is one version. It is immutable.
type Table struct {
	content Content
	// hosts holds the routes of a host, the longest prefix first.
	hosts    map[string][]*route.Route
	services map[string]*Service
}

// New returns the table of the content, which must not be changed afterwards.
func New(c Content) *Table {
	t := &Table{
		content:  c,
		hosts:    make(map[string][]*route.Route),
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Version increases with each change.
func (t *Table) Version() int64 { return t.content.Version }

// Limits returns the limits on clients.
func (t *Table) Limits() Limits { return t.content.Limits }

// Route returns the route of the host with the longest prefix of the path, nil
// if there is none.
func (t *Table) Route(host, path string) *route.Route {
	for _, r := range t.hosts[hostName(host)] {
		if r.Matches(path) {
			return r
		}
	}
	return nil
}

// Service returns the service of the name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// NeedsKey reports whether requests for the route must bear a key.
func (t *Table) NeedsKey(r *route.Route) bool { return t.content.AccountKeys != nil && !r.Public }

// Account returns the account that holds the key.
func (t *Table) Account(key string) (Account, bool) {
	a, ok := t.content.AccountKeys[key]
	return a, ok
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/link"
	"github.com/flamingohold/flamingohold/internal/process/decisions"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/membership"
	"github.com/flamingohold/flamingohold/internal/process/quota"
	"github.com/flamingohold/flamingohold/internal/process/quotaexchange"
	"github.com/flamingohold/flamingohold/internal/process/retrybudget"
	"github.com/flamingohold/flamingohold/internal/process/routing"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

const (
	// incarnationBytes is the length of an incarnation before encoding.
	incarnationBytes = 8
	// peerDialTimeout and peerCallTimeout bound the exchange of demand.
	peerDialTimeout = time.Second
	peerCallTimeout = 2 * time.Second
	// backgroundTimeout bounds a message whose answer nobody waits for.
	backgroundTimeout = 5 * time.Second
)

// configurations gives the configuration in force.
type configurations interface {
	Current() *configuration.Configuration
	Subscribe(func(*configuration.Configuration))
	Learn(version uint64, hash, peerAddress string)
	Handler() http.Handler
	Run(ctx context.Context) error
}

// dependencies are what a gateway is made of.
type dependencies struct {
	settings       *settings.Settings
	secret         string
	log            *eventlog.Log
	telemetry      *telemetry.Telemetry
	configurations configurations
	links          *link.Client
	clock          func() time.Time
}

// Gateway is the process between callers and sidecars.
type Gateway struct {
	dependencies
	incarnation string
	members     *membership.View
	router      *routing.Router
	limiter     *quota.Limiter
	exchange    *quotaexchange.Exchange
	budget      *retrybudget.Budget
	decisions   *decisions.Ring
	bindings    *bindings
	metrics     *metrics
	// listed is the last instance list.
	listed atomic.Pointer[[]instance.Instance]
	// instanceList follows the platform's instance list, nil in tests.
	instanceList interface {
		Run(ctx context.Context) error
	}

	draining atomic.Bool
	// drainAsked is closed when an operator starts a drain.
	drainAsked chan struct{}
	// background counts the messages whose answer nobody waits for.
	background sync.WaitGroup
}

func build(d dependencies) (*Gateway, error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return nil, errors.Wrap(err, "draw incarnation")
	}
	limiter := quota.New(len(d.settings.GatewayPeers))
	g := &Gateway{
		dependencies: d,
		incarnation:  hex.EncodeToString(random),
		members:      membership.New(),
		router:       routing.New(d.settings.PeerAddress, fleet.DefaultPolicy(), binary.BigEndian.Uint64(random)),
		limiter:      limiter,
		exchange:     quotaexchange.New(d.settings.PeerAddress, d.secret, limiter, peerClient(), d.log, d.clock()),
		budget:       retrybudget.New(),
		decisions:    decisions.New(d.settings.Name, decisions.DefaultCapacity),
		bindings:     newBindings(),
		metrics:      newMetrics(d.telemetry.Scope()),
		drainAsked:   make(chan struct{}),
	}
	g.router.SetDataCentre(d.settings.DataCentre)
	g.router.SetWeights(g.members)
	g.router.SetGateways(d.settings.GatewayPeers)
	g.exchange.SetGateways(d.settings.GatewayPeers)
	d.configurations.Subscribe(g.configure)
	return g, nil
}

func peerClient() *http.Client {
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		DisableKeepAlives: true,
	}
	return &http.Client{Transport: transport, Timeout: peerCallTimeout}
}

// configure takes a new configuration into use.
func (g *Gateway) configure(c *configuration.Configuration) {
	g.members.SetFleet(c.Fleet, g.clock())
	g.router.SetPolicy(c.Fleet.Policy)
	g.exchange.SetVersion(c.Version)
}

// learnInstances takes a new instance list into use.
func (g *Gateway) learnInstances(instances []instance.Instance, now time.Time) {
	g.members.SetInstances(instances, now)
	g.listed.Store(&instances)
}

// observe takes the load report that an instance's message carried.
func (g *Gateway) observe(i instance.Instance, report load.Report) {
	if report.Instance != i.Name {
		return
	}
	now := g.clock()
	g.router.Observe(report, now)
	g.members.ObserveReport(report, now)
	g.members.ObserveSuccess(i.Name, now)
	g.bindings.observe(report, now)
	g.configurations.Learn(report.ConfigurationVersion, report.ConfigurationHash, i.SidecarAddress)
}

// inBackground sends a message whose answer nobody waits for.
func (g *Gateway) inBackground(send func(ctx context.Context) error) {
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		_ = send(ctx)
	})
}

// report describes this process to its peers.
func (g *Gateway) report() load.Report {
	r := load.Report{
		Instance: g.settings.Name, Incarnation: g.incarnation, DataCentre: g.settings.DataCentre, Phase: load.PhaseStarting,
	}
	if c := g.configurations.Current(); c != nil {
		r.Phase, r.ConfigurationVersion, r.ConfigurationHash = load.PhaseReady, c.Version, c.Hash
	}
	if g.draining.Load() {
		r.Phase = load.PhaseLeaving
	}
	return r
}

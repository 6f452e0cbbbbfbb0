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

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/connection/sidecarclient"
	"github.com/flamingohold/flamingohold/internal/process/decisions"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/gateway/membership"
	"github.com/flamingohold/flamingohold/internal/process/gateway/quota"
	"github.com/flamingohold/flamingohold/internal/process/gateway/quotaexchange"
	"github.com/flamingohold/flamingohold/internal/process/gateway/retrybudget"
	"github.com/flamingohold/flamingohold/internal/process/gateway/routing"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

const (
	// incarnationBytes is the number of random bytes of an incarnation, before
	// hexadecimal encoding.
	incarnationBytes = 8
	// peerDialTimeout and peerCallTimeout bound one demand exchange with another
	// gateway.
	peerDialTimeout = time.Second
	peerCallTimeout = 2 * time.Second
	// backgroundTimeout bounds a call that is sent in the background.
	backgroundTimeout = 5 * time.Second
)

// configurationSource provides the current configuration.
type configurationSource interface {
	Current() *configuration.Configuration
	Subscribe(func(*configuration.Configuration))
	ObserveVersion(version uint64, hash, peerAddress string)
	Handler() http.Handler
	Run(ctx context.Context) error
}

// dependencies are the settings and components that New or a test passes in.
type dependencies struct {
	settings       *settings.Settings
	secret         string
	log            *eventlog.Log
	telemetry      *telemetry.Telemetry
	configurations configurationSource
	links          *sidecarclient.Client
	clock          func() time.Time
}

// Gateway forwards callers' requests to the sidecars of service instances.
type Gateway struct {
	dependencies
	incarnation   string
	members       *membership.View
	router        *routing.Router
	limiter       *quota.Limiter
	quotaExchange *quotaexchange.Exchange
	budget        *retrybudget.Budget
	decisions     *decisions.Ring
	bindings      *bindings
	metrics       *metrics
	// listedInstances is the latest instance list of the platform.
	listedInstances atomic.Pointer[[]instance.Instance]
	// instanceList watches the platform's instance list. It is nil in tests.
	instanceList interface {
		Run(ctx context.Context) error
	}

	draining atomic.Bool
	// drainRequested is closed when an operator requests a drain.
	drainRequested chan struct{}
	// background counts the running calls of sendInBackground.
	background sync.WaitGroup
}

func newGateway(d dependencies) (*Gateway, error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return nil, errors.Wrap(err, "generate incarnation")
	}
	limiter := quota.New(len(d.settings.GatewayPeers))
	g := &Gateway{
		dependencies:   d,
		incarnation:    hex.EncodeToString(random),
		members:        membership.New(),
		router:         routing.New(d.settings.PeerAddress, fleet.DefaultPolicy(), binary.BigEndian.Uint64(random)),
		limiter:        limiter,
		quotaExchange:  quotaexchange.New(d.settings.PeerAddress, d.secret, limiter, peerClient(), d.log, d.clock()),
		budget:         retrybudget.New(),
		decisions:      decisions.New(d.settings.Name, decisions.DefaultCapacity),
		bindings:       newBindings(),
		metrics:        newMetrics(d.telemetry.Scope()),
		drainRequested: make(chan struct{}),
	}
	g.router.SetDataCentre(d.settings.DataCentre)
	g.router.SetWeights(g.members)
	g.router.SetGateways(d.settings.GatewayPeers)
	g.quotaExchange.SetGateways(d.settings.GatewayPeers)
	d.configurations.Subscribe(g.configure)
	return g, nil
}

func peerClient() *http.Client {
	transport := &http.Transport{
		DialContext:       answerhead.Dial((&net.Dialer{Timeout: peerDialTimeout}).DialContext),
		DisableKeepAlives: true,
	}
	return &http.Client{Transport: transport, Timeout: peerCallTimeout}
}

// configure applies a new configuration.
func (g *Gateway) configure(c *configuration.Configuration) {
	g.members.SetFleet(c.Fleet, g.clock())
	g.router.SetPolicy(c.Fleet.Policy)
	g.quotaExchange.SetVersion(c.Version)
}

// setInstances applies a new instance list.
func (g *Gateway) setInstances(instances []instance.Instance, now time.Time) {
	g.members.SetInstances(instances, now)
	g.listedInstances.Store(&instances)
}

// observe records a load report that the instance sent. A report with another
// instance's name is ignored.
func (g *Gateway) observe(i instance.Instance, report load.Report) {
	if report.Instance != i.Name {
		return
	}
	now := g.clock()
	g.router.ObserveReport(report, now)
	g.members.ObserveReport(report, now)
	g.members.ObserveSuccess(i.Name, now)
	g.bindings.observe(report, now)
	g.configurations.ObserveVersion(report.ConfigurationVersion, report.ConfigurationHash, i.SidecarAddress)
}

// sendInBackground runs send in a new goroutine and ignores its error.
func (g *Gateway) sendInBackground(send func(ctx context.Context) error) {
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		_ = send(ctx)
	})
}

// report returns the state that this gateway reports to its peers.
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

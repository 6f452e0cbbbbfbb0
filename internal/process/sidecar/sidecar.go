package sidecar

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/connection/engine"
	"github.com/flamingohold/flamingohold/internal/connection/serviceclient"
	"github.com/flamingohold/flamingohold/internal/process/decisions"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/admission"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/fairqueue"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/handover"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/quarantine"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/reportlimit"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	// maxRecords and maxResultBytes limit the size of the ledger. A record takes
	// about 400 bytes. At 4 attempts a second, each kept for 15 min, 3,600 records
	// are in use.
	maxRecords     = 50_000
	maxResultBytes = 8 << 20
	// maxLogBytes is the largest size of the tokens of one generation that are
	// buffered for readers.
	maxLogBytes = 1 << 20
	// incarnationBytes is the length of an incarnation identifier before encoding.
	incarnationBytes = 8
)

// configurations provides the configuration in force and announces new ones.
type configurations interface {
	Current() *configuration.Configuration
	Subscribe(func(*configuration.Configuration))
	ObserveVersion(version uint64, hash, peerAddress string)
	Handler() http.Handler
	Run(ctx context.Context) error
}

// runner is a background task that runs until the context ends.
type runner interface {
	Run(ctx context.Context) error
}

// dependencies are the parts of a sidecar that New supplies and tests replace.
type dependencies struct {
	settings       *settings.Settings
	secret         string
	log            *eventlog.Log
	telemetry      *telemetry.Telemetry
	configurations configurations
	clock          func() time.Time
}

// Sidecar is the process beside one upstream.
type Sidecar struct {
	dependencies
	incarnation string
	engine      *engine.Client
	upstream    *serviceclient.Client
	ledger      *ledger.Ledger
	quarantine  *quarantine.Quarantine
	handovers   *handover.Store
	// handOverMu is held while a ledger is taken over from a peer or handed over to
	// one, so that this process cannot take over its own ledger.
	handOverMu sync.Mutex
	decisions  *decisions.Ring
	// reportLimit limits the rate of the load reports to each gateway.
	reportLimit *reportlimit.Limiter
	// peerClient opens a connection for each call, because the loss of an idle
	// connection can go undetected.
	peerClient *http.Client

	// jobs maps the identifiers of accepted attempts to their jobs until the
	// attempts are settled. generations maps generation identifiers to the
	// generations until no reader needs their tokens any more.
	jobs        *registry[*job]
	generations *registry[*generationRun]
	// sequence is the number of the last generation.
	sequence atomic.Uint64
	// wake makes the dispatcher check the queue at once.
	wake chan struct{}

	health health
	// instances is the platform's instance list, which can be out of date.
	instances atomic.Pointer[[]instance.Instance]
	// instanceListReader reads the instance list, nil if the settings name none.
	instanceListReader runner
	// scheduler is nil until the first configuration is known and the upstream has
	// responded to a probe.
	scheduler atomic.Pointer[scheduler]
}

// scheduler queues and admits attempts. It depends on the configuration and the
// upstream's size.
type scheduler struct {
	queue      *fairqueue.Queue
	controller *admission.Controller
	// resets is the number of resets of the controller that have been logged.
	resets atomic.Uint64
}

func build(d dependencies) (*Sidecar, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	now := d.clock()
	s := &Sidecar{
		dependencies: d,
		incarnation:  incarnation,
		engine:       engine.New(d.settings.UpstreamAddress),
		upstream:     serviceclient.New(d.settings.UpstreamAddress),
		ledger:       ledger.New(incarnation, maxRecords, maxResultBytes, now),
		quarantine:   quarantine.New(d.settings.Slot, now),
		handovers:    handover.New(),
		decisions:    decisions.New(d.settings.Name, decisions.DefaultCapacity),
		reportLimit:  reportlimit.New(),
		peerClient:   newPeerClient(),
		jobs:         newRegistry[*job](),
		generations:  newRegistry[*generationRun](),
		wake:         make(chan struct{}, 1),
	}
	d.configurations.Subscribe(s.configure)
	return s, nil
}

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       answerhead.Dial(new(net.Dialer).DialContext),
		DisableKeepAlives: true,
	}}
}

func newIncarnation() (string, error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "generate random incarnation identifier")
	}
	return hex.EncodeToString(random), nil
}

// service returns this sidecar's service from the configuration in force; nil if
// the configuration is missing or does not contain it.
func (s *Sidecar) service() *service.Service {
	c := s.configurations.Current()
	if c == nil {
		return nil
	}
	return c.Service(s.settings.Service)
}

// configure applies a new configuration.
func (s *Sidecar) configure(c *configuration.Configuration) {
	now := s.clock()
	if svc := c.Service(s.settings.Service); svc != nil {
		s.quarantine.SetSlots(svc.Slots, now)
		if sched := s.scheduler.Load(); sched != nil {
			sched.controller.SetPolicy(c.Fleet.Policy, svc.Concurrency())
			sched.queue.Configure(svc.QueueCapacity(), c.Fleet.Policy.FairQueue)
		}
	}
	s.signal()
}

// createScheduler creates the queue and the admission controller for an upstream
// whose block memory holds memoryTokens tokens, unless they exist. Admission
// treats the upstream as cold.
func (s *Sidecar) createScheduler(memoryTokens int, now time.Time) {
	c := s.configurations.Current()
	svc := s.service()
	if svc == nil || s.scheduler.Load() != nil {
		return
	}
	s.scheduler.Store(&scheduler{
		queue:      fairqueue.New(svc.QueueCapacity(), c.Fleet.Policy.FairQueue),
		controller: admission.New(c.Fleet.Policy, svc.Concurrency(), memoryTokens, now),
	})
}

// setInstances stores and evaluates a newer instance list.
func (s *Sidecar) setInstances(list []instance.Instance, now time.Time) {
	s.instances.Store(&list)
	s.checkInstances(now)
}

// listedInstances returns the instances in the instance list.
func (s *Sidecar) listedInstances() []instance.Instance {
	if list := s.instances.Load(); list != nil {
		return *list
	}
	return nil
}

// signal wakes the dispatcher.
func (s *Sidecar) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// recordDecision records a decision on an attempt for operators.
func (s *Sidecar) recordDecision(a *attempt.Attempt, step, choice, reason string) {
	s.telemetry.Scope().Tagged(map[string]string{"choice": choice}).Counter("attempts").Inc(1)
	s.decisions.Add(decisions.Record{
		Time: s.clock(), RequestID: a.RequestID, Account: a.Account, Step: step,
		Peer: s.settings.Instance, Choice: choice, Reason: reason,
	})
}

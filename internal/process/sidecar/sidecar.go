package sidecar

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/connection/engine"
	"github.com/flamingohold/flamingohold/internal/connection/upstream"
	"github.com/flamingohold/flamingohold/internal/process/admission"
	"github.com/flamingohold/flamingohold/internal/process/decisions"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/fairqueue"
	"github.com/flamingohold/flamingohold/internal/process/handover"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/ledger"
	"github.com/flamingohold/flamingohold/internal/process/quarantine"
	"github.com/flamingohold/flamingohold/internal/process/reportpace"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	// maxRecords and maxResultBytes bound the ledger. A record takes about 400
	// bytes; at 4 attempts a second and 15 min, 3,600 are in use.
	maxRecords     = 50_000
	maxResultBytes = 8 << 20
	// maxLogBytes bounds the tokens of one generation that wait for a reader.
	maxLogBytes = 1 << 20
	// incarnationBytes is the length of an incarnation before encoding.
	incarnationBytes = 8
)

// configurations gives the configuration in force.
type configurations interface {
	Current() *configuration.Configuration
	Subscribe(func(*configuration.Configuration))
	Learn(version uint64, hash, peerAddress string)
	Handler() http.Handler
	Run(ctx context.Context) error
}

// runner works until the context ends.
type runner interface {
	Run(ctx context.Context) error
}

// dependencies are what a sidecar is made of.
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
	upstream    *upstream.Client
	ledger      *ledger.Ledger
	quarantine  *quarantine.Quarantine
	handovers   *handover.Store
	// taking is held while a ledger is taken over or left with a peer, so that
	// this process cannot take its own.
	taking    sync.Mutex
	decisions *decisions.Ring
	// pace bounds the load reports to each gateway.
	pace *reportpace.Pace
	// peerClient opens a connection for each call, because a kept one can have
	// gone silent unnoticed.
	peerClient *http.Client

	// jobs holds the accepted attempts by their identifiers until they are
	// settled, and runs the generations until their tokens are no longer needed.
	jobs *registry[*job]
	runs *registry[*run]
	// sequence numbers the generations.
	sequence atomic.Uint64
	// wake asks the dispatcher to look at the queue.
	wake chan struct{}

	health health
	// instances is the platform's instance list, which lags behind.
	instances atomic.Pointer[[]instance.Instance]
	// instanceList reads the instance list, nil if the settings name none.
	instanceList runner
	// stage holds what exists from the first configuration on.
	stage atomic.Pointer[stage]
}

// stage is the part of a sidecar that depends on the configuration and the
// upstream's size.
type stage struct {
	queue      *fairqueue.Queue
	controller *admission.Controller
	// resets is the number of the controller's resets that were logged.
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
		upstream:     upstream.New(d.settings.UpstreamAddress),
		ledger:       ledger.New(incarnation, maxRecords, maxResultBytes, now),
		quarantine:   quarantine.New(d.settings.Slot, now),
		handovers:    handover.New(),
		decisions:    decisions.New(d.settings.Name, decisions.DefaultCapacity),
		pace:         reportpace.New(),
		peerClient:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		jobs:         newRegistry[*job](),
		runs:         newRegistry[*run](),
		wake:         make(chan struct{}, 1),
	}
	d.configurations.Subscribe(s.configure)
	return s, nil
}

func newIncarnation() (string, error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "draw incarnation")
	}
	return hex.EncodeToString(random), nil
}

// service returns this sidecar's service in the configuration in force, nil if
// there is none.
func (s *Sidecar) service() *service.Service {
	c := s.configurations.Current()
	if c == nil {
		return nil
	}
	return c.Service(s.settings.Service)
}

// configure takes a new configuration into use.
func (s *Sidecar) configure(c *configuration.Configuration) {
	now := s.clock()
	if svc := c.Service(s.settings.Service); svc != nil {
		s.quarantine.SetSlots(svc.Slots, now)
		if st := s.stage.Load(); st != nil {
			st.controller.SetPolicy(c.Fleet.Policy, svc.Concurrency())
			st.queue.Configure(svc.QueueCapacity(), c.Fleet.Policy.FairQueue)
		}
	}
	s.signal()
}

// prepare creates the queue and the controller of an upstream with the block
// memory, unless they exist. The upstream counts as cold.
func (s *Sidecar) prepare(memoryTokens int, now time.Time) {
	c := s.configurations.Current()
	svc := s.service()
	if svc == nil || s.stage.Load() != nil {
		return
	}
	s.stage.Store(&stage{
		queue:      fairqueue.New(svc.QueueCapacity(), c.Fleet.Policy.FairQueue),
		controller: admission.New(c.Fleet.Policy, svc.Concurrency(), memoryTokens, now),
	})
}

// learnInstances takes a newer instance list into use.
func (s *Sidecar) learnInstances(list []instance.Instance, now time.Time) {
	s.instances.Store(&list)
	s.considerInstances(now)
}

// listed returns the instances in the instance list.
func (s *Sidecar) listed() []instance.Instance {
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

// decided records a decision on an attempt for operators.
func (s *Sidecar) decided(a *attempt.Attempt, step, choice, reason string) {
	s.telemetry.Scope().Tagged(map[string]string{"choice": choice}).Counter("attempts").Inc(1)
	s.decisions.Add(decisions.Record{
		Time: s.clock(), RequestID: a.RequestID, Account: a.Account, Step: step,
		Peer: s.settings.Instance, Choice: choice, Reason: reason,
	})
}

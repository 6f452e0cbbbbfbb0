package loadgen

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/standin/caller"
	"github.com/flamingohold/flamingohold/internal/standin/deployment"
)

// maxOutstanding bounds the open requests of one load.
const maxOutstanding = 4000

// Generator sends loads to one deployment.
type Generator struct {
	deployment *deployment.Deployment
	caller     *caller.Caller
}

// New returns a generator for the deployment.
func New(d *deployment.Deployment) *Generator {
	return &Generator{deployment: d, caller: caller.New()}
}

// Close ends the generator's connections.
func (g *Generator) Close() { g.caller.Close() }

// run is one load on its way.
type run struct {
	generator *Generator
	start     time.Time
	wait      sync.WaitGroup

	mu     sync.Mutex
	result *Result
	// orders maps the idempotency key of an order to what the caller was told
	// each time.
	orders      map[string][2]orderOutcome
	outstanding int
}

// Run sends the requests at their times and then waits for the answers, at most
// for the drain time. It returns when all requests have ended or were given up.
func (g *Generator) Run(ctx context.Context, requests []Request, duration, drain time.Duration) (*Result, error) {
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{generator: g, start: time.Now(), result: newResult(duration), orders: make(map[string][2]orderOutcome)}
	for i, request := range requests {
		if !sleepUntil(ctx, r.start.Add(request.At)) {
			break
		}
		if !r.enter() {
			continue
		}
		gateway := g.deployment.Gateways()[i%len(g.deployment.Gateways())]
		r.wait.Go(func() { r.send(ctx, request, gateway) })
	}
	stop := time.AfterFunc(time.Until(r.start.Add(duration))+drain, cancel)
	defer stop.Stop()
	r.wait.Wait()
	return r.result, r.checkOrders(parent)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// enter counts an open request and reports whether it may be sent.
func (r *run) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outstanding >= maxOutstanding {
		r.result.Skipped++
		return false
	}
	r.outstanding++
	return true
}

func (r *run) send(ctx context.Context, request Request, gateway string) {
	defer func() {
		r.mu.Lock()
		r.outstanding--
		r.mu.Unlock()
	}()
	spec := r.generator.deployment.Spec()
	target := caller.Target{Gateway: gateway, Key: spec.Keys()[request.Account]}
	switch request.Kind {
	case KindPrompt:
		r.sendPrompt(ctx, request, target, spec.Model)
	case KindRead:
		r.sendRead(ctx, request, target, spec.ReadPath)
	case KindOrder:
		r.sendOrder(ctx, request, target, spec.OrderPath)
	}
}

// observation is what one prompt's caller saw, before it is added to the result.
type observation struct {
	first, last time.Time
	gaps        []time.Duration
	seconds     []int
}

func (o *observation) token(start time.Time) func(string, time.Time) {
	return func(_ string, now time.Time) {
		if o.first.IsZero() {
			o.first = now
		} else {
			o.gaps = append(o.gaps, now.Sub(o.last))
		}
		o.last = now
		countSecond(&o.seconds, now.Sub(start), 1)
	}
}

func (r *run) sendPrompt(ctx context.Context, request Request, target caller.Target, model string) {
	o := new(observation)
	prompt := caller.Prompt{Model: model, Text: request.Prompt}
	answer, err := r.generator.caller.Stream(ctx, target, prompt, o.token(r.start))
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.observe(o, request, now)
	switch {
	case ctx.Err() != nil:
		r.result.Unfinished++
	case answer == nil || err != nil:
		r.result.Broken++
	default:
		r.classify(answer, request, now)
	}
	if answer != nil {
		r.addFaults(answer.Faults)
	}
}

// observe adds the times of an answer, complete or not. The lock is held.
func (r *run) observe(o *observation, request Request, now time.Time) {
	if o.first.IsZero() {
		return
	}
	intended := r.start.Add(request.At)
	record(r.result.FirstToken, o.first.Sub(intended))
	record(r.result.Total, now.Sub(intended))
	stall := time.Duration(0)
	for _, gap := range o.gaps {
		record(r.result.Gap, gap)
		stall += max(0, gap-StallThreshold)
	}
	record(r.result.Stall, stall)
	r.result.Tokens += len(o.gaps) + 1
	for second, n := range o.seconds {
		countSecond(&r.result.TokensBySecond, time.Duration(second)*time.Second, n)
	}
}

// classify counts how an answer ended. The lock is held.
func (r *run) classify(answer *caller.Answer, request Request, now time.Time) {
	switch {
	case answer.Problem != nil && answer.Tokens == 0:
		r.result.Refused[answer.Problem.Type]++
		countSecond(&r.result.RefusedBySecond, now.Sub(r.start), 1)
	case answer.Problem != nil:
		r.result.Incomplete++
	case !answer.Done:
		r.result.Broken++
	case answer.Truncated() || answer.Tokens != request.Length:
		r.result.Truncated++
	default:
		r.result.Completed++
	}
}

func (r *run) addFaults(f caller.Faults) {
	r.result.LostTokens += f.Lost
	r.result.DoubledTokens += f.Doubled
	if f.Crossed {
		r.result.Crossed++
	}
	if f.Mixed {
		r.result.Mixed++
	}
}

func (r *run) sendRead(ctx context.Context, request Request, target caller.Target, path string) {
	response, err := r.generator.caller.Call(ctx, target, http.MethodGet, path, "", nil)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Reads++
	if err == nil && response.Status == http.StatusOK {
		r.result.ReadsCompleted++
		record(r.result.Call, now.Sub(r.start.Add(request.At)))
	}
}

// sendOrder mints a key and sends the order through one gateway and then, as an
// impatient caller does, through another one.
func (r *run) sendOrder(ctx context.Context, request Request, target caller.Target, path string) {
	key, err := r.generator.caller.MintKey(ctx, target, path)
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.Orders++
		return
	}
	body := []byte(`{"id":"` + request.ID + `"}`)
	first, err := r.generator.caller.Call(ctx, target, http.MethodPost, path, key, body)
	outcome := outcomeOf(first, err)
	now := time.Now()
	second, err := r.generator.caller.Call(ctx, r.otherGateway(target), http.MethodPost, path, key, body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Orders++
	r.orders[key] = [2]orderOutcome{outcome, outcomeOf(second, err)}
	if outcome == orderConfirmed {
		r.result.OrdersCompleted++
		record(r.result.Call, now.Sub(r.start.Add(request.At)))
	}
}

func (r *run) otherGateway(target caller.Target) caller.Target {
	gateways := r.generator.deployment.Gateways()
	i := slices.Index(gateways, target.Gateway)
	target.Gateway = gateways[(i+1)%len(gateways)]
	return target
}

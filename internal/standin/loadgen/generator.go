package loadgen

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/flamingohold/flamingohold/internal/standin/deployment"
	"github.com/flamingohold/flamingohold/internal/standin/gatewayclient"
)

// maxOutstanding bounds the requests of one load that are in progress at once.
const maxOutstanding = 4000

// Generator sends loads to a deployment.
type Generator struct {
	deployment *deployment.Deployment
	client     *gatewayclient.Client
}

// New returns a generator for the deployment.
func New(d *deployment.Deployment) *Generator {
	return &Generator{deployment: d, client: gatewayclient.New()}
}

// Close closes the idle connections of the generator.
func (g *Generator) Close() { g.client.Close() }

// run is one load in progress.
type run struct {
	generator *Generator
	start     time.Time
	// senders counts the goroutines that send requests.
	senders sync.WaitGroup

	mu     sync.Mutex
	result *Result
	// orders maps the idempotency key of an order to the outcomes of its two
	// requests.
	orders      map[string][2]orderOutcome
	outstanding int
}

// Run sends the requests at their send times and returns when all answers have
// ended. It cancels those that are still running once duration and drain have
// passed.
func (g *Generator) Run(ctx context.Context, requests []Request, duration, drain time.Duration) (*Result, error) {
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{generator: g, start: time.Now(), result: newResult(duration), orders: make(map[string][2]orderOutcome)}
	for i, request := range requests {
		if !sleepUntil(ctx, r.start.Add(request.At)) {
			break
		}
		if !r.tryAcquire() {
			continue
		}
		gateway := g.deployment.Gateways()[i%len(g.deployment.Gateways())]
		r.senders.Go(func() { r.send(ctx, request, gateway) })
	}
	stop := time.AfterFunc(time.Until(r.start.Add(duration))+drain, cancel)
	defer stop.Stop()
	r.senders.Wait()
	return r.result, r.checkOrders(parent)
}

// sleepUntil waits until the time and reports whether it was reached before the
// context ended.
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

// tryAcquire reports whether another request may be sent, and counts it as
// outstanding or skipped.
func (r *run) tryAcquire() bool {
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
	target := gatewayclient.Target{Gateway: gateway, Key: spec.Keys()[request.Account]}
	switch request.Kind {
	case KindPrompt:
		r.sendPrompt(ctx, request, target, spec.Model)
	case KindRead:
		r.sendRead(ctx, request, target, spec.ReadPath)
	case KindOrder:
		r.sendOrder(ctx, request, target, spec.OrderPath)
	}
}

// promptTimes holds the token times of one prompt until they are added to the
// result.
type promptTimes struct {
	first, last time.Time
	// gaps are the times between consecutive tokens.
	gaps           []time.Duration
	tokensBySecond []int
}

// tokenCallback returns a function that records the time of a token.
func (t *promptTimes) tokenCallback(start time.Time) func(string, time.Time) {
	return func(_ string, now time.Time) {
		if t.first.IsZero() {
			t.first = now
		} else {
			t.gaps = append(t.gaps, now.Sub(t.last))
		}
		t.last = now
		addToSecond(&t.tokensBySecond, now.Sub(start), 1)
	}
}

func (r *run) sendPrompt(ctx context.Context, request Request, target gatewayclient.Target, model string) {
	t := new(promptTimes)
	prompt := gatewayclient.Prompt{Model: model, Text: request.Prompt}
	answer, err := r.generator.client.Stream(ctx, target, prompt, t.tokenCallback(r.start))
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.recordTimes(t, request, now)
	switch {
	case ctx.Err() != nil:
		r.result.Unfinished++
	case answer == nil || err != nil:
		r.result.Broken++
	default:
		r.countOutcome(answer, request, now)
	}
	if answer != nil {
		r.addFaults(answer.Faults)
	}
}

// recordTimes adds the times of an answer, complete or not, to the result. The
// caller holds mu.
func (r *run) recordTimes(t *promptTimes, request Request, now time.Time) {
	if t.first.IsZero() {
		return
	}
	sendTime := r.start.Add(request.At)
	recordDuration(r.result.FirstToken, t.first.Sub(sendTime))
	recordDuration(r.result.Total, now.Sub(sendTime))
	stall := time.Duration(0)
	for _, gap := range t.gaps {
		recordDuration(r.result.Gap, gap)
		stall += max(0, gap-StallThreshold)
	}
	recordDuration(r.result.Stall, stall)
	r.result.Tokens += len(t.gaps) + 1
	for second, n := range t.tokensBySecond {
		addToSecond(&r.result.TokensBySecond, time.Duration(second)*time.Second, n)
	}
}

// countOutcome counts an answer by its outcome. The caller holds mu.
func (r *run) countOutcome(answer *gatewayclient.Answer, request Request, now time.Time) {
	switch {
	case answer.Problem != nil && answer.Tokens == 0:
		r.result.Refused[answer.Problem.Type]++
		addToSecond(&r.result.RefusedBySecond, now.Sub(r.start), 1)
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

// addFaults adds the faults of an answer to the result. The caller holds mu.
func (r *run) addFaults(f gatewayclient.Faults) {
	r.result.LostTokens += f.Lost
	r.result.DuplicateTokens += f.Duplicated
	if f.WrongPrompt {
		r.result.WrongPrompt++
	}
	if f.MixedGenerations {
		r.result.MixedGenerations++
	}
}

func (r *run) sendRead(ctx context.Context, request Request, target gatewayclient.Target, path string) {
	response, err := r.generator.client.Call(ctx, target, http.MethodGet, path, "", nil)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Reads++
	if err == nil && response.Status == http.StatusOK {
		r.result.ReadsCompleted++
		recordDuration(r.result.Call, now.Sub(r.start.Add(request.At)))
	}
}

// sendOrder obtains an idempotency key, sends the order through one gateway and
// then, whatever the outcome, retries it with the same key through the next
// gateway, as a caller with a short timeout does.
func (r *run) sendOrder(ctx context.Context, request Request, target gatewayclient.Target, path string) {
	key, err := r.generator.client.NewOrderKey(ctx, target, path)
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.Orders++
		return
	}
	body := []byte(`{"id":"` + request.ID + `"}`)
	first, err := r.generator.client.Call(ctx, target, http.MethodPost, path, key, body)
	outcome := outcomeOf(first, err)
	now := time.Now()
	second, err := r.generator.client.Call(ctx, r.otherGateway(target), http.MethodPost, path, key, body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Orders++
	r.orders[key] = [2]orderOutcome{outcome, outcomeOf(second, err)}
	if outcome == orderConfirmed {
		r.result.OrdersCompleted++
		recordDuration(r.result.Call, now.Sub(r.start.Add(request.At)))
	}
}

// otherGateway returns the target with the next gateway of the deployment.
func (r *run) otherGateway(target gatewayclient.Target) gatewayclient.Target {
	gateways := r.generator.deployment.Gateways()
	i := slices.Index(gateways, target.Gateway)
	target.Gateway = gateways[(i+1)%len(gateways)]
	return target
}

package loadgen

import (
	"context"
	"net/http"

	"github.com/flamingohold/flamingohold/internal/standin/gatewayclient"
	"github.com/flamingohold/flamingohold/internal/standin/plainservice"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// orderOutcome is the outcome of an order as its caller knows it.
type orderOutcome int

const (
	// orderUnknown means that the order may have run.
	orderUnknown orderOutcome = iota
	// orderConfirmed means that the service confirmed the order.
	orderConfirmed
	// orderNotRun means that the gateway refused the order as not run.
	orderNotRun
)

// outcomeOf returns the outcome that a response or a failed request shows to the
// caller.
func outcomeOf(response *gatewayclient.Response, err error) orderOutcome {
	switch {
	case err != nil:
		return orderUnknown
	case response.Problem != nil && response.Problem.Outcome == problem.OutcomeNotRun:
		return orderNotRun
	case response.Problem == nil && response.Status < http.StatusMultipleChoices:
		return orderConfirmed
	}
	return orderUnknown
}

// checkOrders compares the outcomes that callers know with the executions that
// the plain services have counted.
func (r *run) checkOrders(ctx context.Context) error {
	executions := make(map[string]int)
	for _, i := range r.generator.deployment.Instances() {
		if i.Service != r.generator.deployment.Spec().PlainService {
			continue
		}
		counts, err := plainservice.ReadCounts(ctx, i.UpstreamAddress)
		if err != nil {
			return err
		}
		for _, c := range counts {
			executions[c.Key] += c.Executions
		}
	}
	for key, outcomes := range r.orders {
		r.checkOrder(outcomes, executions[key])
	}
	return nil
}

// checkOrder counts an order that ran more than once, was confirmed without an
// execution, or ran although both of its requests were refused as not run.
func (r *run) checkOrder(outcomes [2]orderOutcome, executions int) {
	confirmed := outcomes[0] == orderConfirmed || outcomes[1] == orderConfirmed
	notRun := outcomes[0] == orderNotRun && outcomes[1] == orderNotRun
	switch {
	case executions > 1:
		r.result.OrdersDuplicated++
	case confirmed && executions == 0:
		r.result.OrdersLost++
	case notRun && executions > 0:
		r.result.OrdersFalselyRefused++
	}
}

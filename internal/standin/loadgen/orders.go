package loadgen

import (
	"context"
	"net/http"

	"github.com/flamingohold/flamingohold/internal/standin/caller"
	"github.com/flamingohold/flamingohold/internal/standin/plainservice"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// orderOutcome is what the caller of an order was told.
type orderOutcome int

const (
	orderUncertain orderOutcome = iota
	orderConfirmed
	orderNotRun
)

func outcomeOf(response *caller.Response, err error) orderOutcome {
	switch {
	case err != nil:
		return orderUncertain
	case response.Problem != nil && response.Problem.Outcome == problem.OutcomeNotRun:
		return orderNotRun
	case response.Problem == nil && response.Status < http.StatusMultipleChoices:
		return orderConfirmed
	}
	return orderUncertain
}

// checkOrders compares what callers were told with what the plain services ran.
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
	for key, told := range r.orders {
		r.checkOrder(told, executions[key])
	}
	return nil
}

func (r *run) checkOrder(told [2]orderOutcome, executions int) {
	confirmed := told[0] == orderConfirmed || told[1] == orderConfirmed
	refused := told[0] == orderNotRun && told[1] == orderNotRun
	switch {
	case executions > 1:
		r.result.OrdersDoubled++
	case confirmed && executions == 0:
		r.result.OrdersLost++
	case refused && executions > 0:
		r.result.OrdersFalselyRefused++
	}
}

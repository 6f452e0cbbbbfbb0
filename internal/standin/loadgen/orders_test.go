package loadgen

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an order that ran twice, not at all or in spite of a refusal,
// and is not reported.
func TestCheckOrder(t *testing.T) {
	for name, test := range map[string]struct {
		told                   [2]orderOutcome
		executions             int
		doubled, lost, refused int
	}{
		"once":                   {[2]orderOutcome{orderConfirmed, orderConfirmed}, 1, 0, 0, 0},
		"twice":                  {[2]orderOutcome{orderConfirmed, orderConfirmed}, 2, 1, 0, 0},
		"twice, uncertain":       {[2]orderOutcome{orderUncertain, orderUncertain}, 2, 1, 0, 0},
		"confirmed and lost":     {[2]orderOutcome{orderUncertain, orderConfirmed}, 0, 0, 1, 0},
		"refused and run":        {[2]orderOutcome{orderNotRun, orderNotRun}, 1, 0, 0, 1},
		"refused, then run":      {[2]orderOutcome{orderNotRun, orderConfirmed}, 1, 0, 0, 0},
		"uncertain and not run":  {[2]orderOutcome{orderUncertain, orderNotRun}, 0, 0, 0, 0},
		"uncertain and run once": {[2]orderOutcome{orderUncertain, orderNotRun}, 1, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := &run{result: newResult(0)}
			r.checkOrder(test.told, test.executions)
			require.Equal(t, test.doubled, r.result.OrdersDoubled)
			require.Equal(t, test.lost, r.result.OrdersLost)
			require.Equal(t, test.refused, r.result.OrdersFalselyRefused)
		})
	}
}

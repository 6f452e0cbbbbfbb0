package loadgen

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against missing reports of orders that ran twice, that did not run
// although they were confirmed, or that ran although they were refused.
func TestCheckOrder(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes                  [2]orderOutcome
		executions                int
		duplicated, lost, refused int
	}{
		"once":                 {[2]orderOutcome{orderConfirmed, orderConfirmed}, 1, 0, 0, 0},
		"twice":                {[2]orderOutcome{orderConfirmed, orderConfirmed}, 2, 1, 0, 0},
		"twice, unknown":       {[2]orderOutcome{orderUnknown, orderUnknown}, 2, 1, 0, 0},
		"confirmed and lost":   {[2]orderOutcome{orderUnknown, orderConfirmed}, 0, 0, 1, 0},
		"refused and run":      {[2]orderOutcome{orderNotRun, orderNotRun}, 1, 0, 0, 1},
		"refused, then run":    {[2]orderOutcome{orderNotRun, orderConfirmed}, 1, 0, 0, 0},
		"unknown and not run":  {[2]orderOutcome{orderUnknown, orderNotRun}, 0, 0, 0, 0},
		"unknown and run once": {[2]orderOutcome{orderUnknown, orderNotRun}, 1, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := &run{result: newResult(0)}
			r.checkOrder(test.outcomes, test.executions)
			require.Equal(t, test.duplicated, r.result.OrdersDuplicated)
			require.Equal(t, test.lost, r.result.OrdersLost)
			require.Equal(t, test.refused, r.result.OrdersFalselyRefused)
		})
	}
}

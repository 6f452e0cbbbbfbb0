package slope

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong intercept, slope or residual, from which all capacity
// figures are derived.
func TestFit(t *testing.T) {
	exact := Fit([]Point{{1, 12}, {2, 14}, {5, 20}, {9, 28}})
	require.InDelta(t, 10, exact.Intercept, 1e-9)
	require.InDelta(t, 2, exact.Slope, 1e-9)
	require.InDelta(t, 0, exact.Residual, 1e-9)
	require.InDelta(t, 50, exact.At(20), 1e-9)
	curved := Fit([]Point{{0, 0}, {1, 1}, {2, 4}})
	require.InDelta(t, 2, curved.Slope, 1e-9)
	require.InDelta(t, 2.0/3/4, curved.Residual, 1e-9)
	require.Zero(t, Fit([]Point{{3, 1}, {3, 2}}))
}

package slope

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against slopes that don't follow from the points, on which every
// capacity figure rests.
func TestFit(t *testing.T) {
	exact := Fit([]Point{{1, 12}, {2, 14}, {5, 20}, {9, 28}})
	require.InDelta(t, 10, exact.Base, 1e-9)
	require.InDelta(t, 2, exact.Slope, 1e-9)
	require.InDelta(t, 0, exact.Residual, 1e-9)
	require.InDelta(t, 50, exact.At(20), 1e-9)
	bent := Fit([]Point{{0, 0}, {1, 1}, {2, 4}})
	require.InDelta(t, 2, bent.Slope, 1e-9)
	require.InDelta(t, 2.0/3/4, bent.Residual, 1e-9)
	require.Zero(t, Fit([]Point{{3, 1}, {3, 2}}))
}

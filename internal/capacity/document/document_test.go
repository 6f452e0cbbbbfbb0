package document

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/capacity/measure"
	"github.com/flamingohold/flamingohold/internal/capacity/slope"
)

// Guards against a measurement that overwrites the hand-written part of the page,
// and against small values that are rounded to 0.
func TestReplaceChangesOnlyMeasuredPart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	require.NoError(t, os.WriteFile(path, []byte("a\n"+beginMarker+"\nold\n"+endMarker+"\nb\n"), 0o600))
	table := Table([]measure.Series{{
		Name: "memory", Unit: "B", SizeUnit: "stream",
		Points: []slope.Point{{X: 1, Y: 0.0123}, {X: 2000, Y: 123456.7}},
		Line:   slope.Line{Intercept: 1, Slope: 61.72, Residual: 0.024},
	}})
	require.NoError(t, ReplaceMeasured(path, table))
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "a\n"+beginMarker+"\n"+heading+
		"| `memory` | 1: 0.0123, 2000: 123457 | B | stream | 61.7 | 1 | 2% |\n"+endMarker+"\nb\n", string(content))
	require.NoError(t, os.WriteFile(path, []byte("no markers"), 0o600))
	require.Error(t, ReplaceMeasured(path, table))
}

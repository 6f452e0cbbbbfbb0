package memorylimit_test

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/memorylimit"
)

// Guards against a limit that replaces the operator's own one, or that is set for an
// unknown memory, for which the runtime would collect garbage all the time.
func TestLimitIsSetOnlyForKnownMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	memorylimit.Set(0, func(string) (string, bool) { return "", false })
	require.Equal(t, before, debug.SetMemoryLimit(-1))
	memorylimit.Set(1<<30, func(string) (string, bool) { return "2GiB", true })
	require.Equal(t, before, debug.SetMemoryLimit(-1))
	memorylimit.Set(1<<30, func(string) (string, bool) { return "", false })
	require.EqualValues(t, 644245094, debug.SetMemoryLimit(-1))
}

package processes

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against values from the wrong field or in the wrong unit.
func TestParseMemoryAndProcessorTime(t *testing.T) {
	memory, err := parseMemory("Name:\tgateway\nVmRSS:\t   99999 kB\nRssAnon:\t   12345 kB\nRssFile:\t 1 kB\n")
	require.NoError(t, err)
	require.InDelta(t, 12345*1024, memory, 0)
	_, err = parseMemory("Name:\tgateway\nVmRSS:\t   99999 kB\n")
	require.Error(t, err)
	used, err := parseProcessorTime("17 (a) name) S 1 17 17 0 -1 4194560 100 200 300 400 250 50 7 8 20 0 9 0 123 456 789")
	require.NoError(t, err)
	require.Equal(t, 3*time.Second, used)
	_, err = parseProcessorTime("17 (name) S 1 17")
	require.Error(t, err)
}

// Guards against a format of /proc that differs from the parsed one.
func TestUsageOfOwnProcess(t *testing.T) {
	before, err := usageOf(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, before.memory, float64(1<<20))
	require.Eventually(t, func() bool {
		after, err := usageOf(os.Getpid())
		return err == nil && after.processor > before.processor
	}, 20*time.Second, time.Microsecond)
}

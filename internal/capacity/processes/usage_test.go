package processes

import (
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against figures of the wrong field or unit.
func TestUsageOfOwnProcess(t *testing.T) {
	before, err := usageOf(os.Getpid())
	require.NoError(t, err)
	block := make([]byte, 64<<20)
	for i := range block {
		block[i] = byte(i)
	}
	require.Eventually(t, func() bool {
		after, err := usageOf(os.Getpid())
		return err == nil && after.processor > before.processor
	}, 20*time.Second, time.Microsecond)
	after, err := usageOf(os.Getpid())
	require.NoError(t, err)
	require.InEpsilon(t, 64<<20, after.memory-before.memory, 0.2)
	runtime.KeepAlive(block)
}

package configwatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a sidecar that asks the same gateway, which is frozen, poll after poll and gets no new configuration in time.
func TestPollAfterAFailureQueriesAnotherPeer(t *testing.T) {
	a := newAddresses([]string{"gateway-1", "gateway-2"}, "sidecar")
	for range 100 {
		require.Equal(t, "gateway-2", a.pick("gateway-1"))
	}
	a.observe("gateway-3")
	picked := map[string]bool{}
	for range 200 {
		picked[a.pick("gateway-1")] = true
	}
	require.Equal(t, map[string]bool{"gateway-2": true, "gateway-3": true}, picked)
	require.Equal(t, "gateway-1", newAddresses([]string{"gateway-1"}, "sidecar").pick("gateway-1"), "there is no other")
	require.Empty(t, newAddresses(nil, "sidecar").pick(""))
}

package scenarios_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/standin/untrustedcaller"
)

const (
	// untrustedMemoryMB bounds the peak of the resident memory in MB: a quarter of what
	// 20 callers may send at the limit of a body.
	untrustedMemoryMB = 112
	// untrustedDescriptors bounds the open descriptors: 150 connections of callers, and
	// the process's own ones.
	untrustedDescriptors = 400
	// untrustedHold is how long the callers keep their connections after they have sent
	// everything.
	untrustedHold = 500 * time.Millisecond
	// untrustedBodyBytes is the limit of a body in the processes' settings.
	untrustedBodyBytes = 4 << 20
	// answerTimeout bounds the wait for an ordinary request to be answered.
	answerTimeout = 20 * time.Second
)

// Guards against callers that exhaust the memory of a gateway or of a sidecar with
// headers without end, empty lines, pipelined requests whose responses they do not
// read, or requests of legal size with thousands of header fields.
func TestUntrustedCallersExhaustNeitherGatewayNorSidecar(t *testing.T) {
	for _, role := range []struct{ process, listener string }{
		{"gateway-1", "caller"},
		{plainService + "-1", "peer"},
	} {
		target := untrustedcaller.Target{Host: "hire.example", Path: "/hire/untrusted", SlowPath: "/hire/untrusted", Key: "key-bakery"}
		for _, caller := range untrustedcaller.Callers(target) {
			t.Run(role.process+" "+caller.Name, func(t *testing.T) {
				c := new(cluster)
				c.initialise(t.TempDir(), clusterOptions{gateways: 1, plain: 1, plainDelay: "50ms", maxBodyBytes: untrustedBodyBytes, memoryMB: untrustedMemoryMB})
				defer c.close()
				defer saveLogs(t, c)
				require.NoError(t, c.start())
				requireAnswer(t, c)
				requireBounded(t, c, c.processes[role.process], caller, c.address(role.process, role.listener))
			})
		}
	}
}

// requireBounded runs the caller against the process, and checks the bounds and that
// an ordinary request is answered afterwards.
func requireBounded(t *testing.T, c *cluster, p *process, caller untrustedcaller.Caller, address string) {
	t.Helper()
	before, err := untrustedcaller.UsageOf(p.command.Process.Pid)
	require.NoError(t, err)
	closeAll, err := caller.Run(address)
	require.NoError(t, err)
	defer closeAll()
	time.Sleep(untrustedHold)
	during, err := untrustedcaller.UsageOf(p.command.Process.Pid)
	require.NoError(t, err)
	closeAll()
	requireAnswer(t, c)
	after, err := untrustedcaller.UsageOf(p.command.Process.Pid)
	require.NoError(t, err)
	t.Logf("peak in MB: %d before, %d during, %d after; descriptors: %d, %d, %d", before.PeakBytes>>20, during.PeakBytes>>20, after.PeakBytes>>20,
		before.Descriptors, during.Descriptors, after.Descriptors)
	require.Less(t, after.PeakBytes, int64(untrustedMemoryMB)<<20, "peak of the resident memory")
	require.Less(t, max(during.Descriptors, after.Descriptors), untrustedDescriptors)
}

// requireAnswer sends ordinary requests through the gateway until one succeeds.
func requireAnswer(t *testing.T, c *cluster) {
	t.Helper()
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	require.NoError(t, poll(answerTimeout, "answer to an ordinary request", func() bool {
		request, err := http.NewRequest(http.MethodGet, "http://"+c.address("gateway-1", "caller")+"/hire/stands", nil)
		if err != nil {
			return false
		}
		request.Header.Set("Authorization", "Bearer key-bakery")
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}))
}

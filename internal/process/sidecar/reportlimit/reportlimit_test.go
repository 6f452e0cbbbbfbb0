package reportlimit_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/sidecar/reportlimit"
)

// Guards against control traffic that grows with the number of streams. The 349
// streams of one gateway cause one report per second.
func TestStreamsOfOneGatewayShareOneReport(t *testing.T) {
	l := reportlimit.New()
	now := time.Unix(1000, 0)
	reports := 0
	for range 349 {
		if l.Allow("gateway-1", now) {
			reports++
		}
	}
	require.Equal(t, 1, reports)
	require.True(t, l.Allow("gateway-2", now))
	require.False(t, l.Allow("gateway-1", now.Add(reportlimit.Interval-1)))
	require.True(t, l.Allow("gateway-1", now.Add(reportlimit.Interval)))
}

func BenchmarkAllow(b *testing.B) {
	l := reportlimit.New()
	now := time.Unix(1000, 0)
	for i := range 370 {
		l.Allow(strconv.Itoa(i), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Allow("7", now)
	}
}

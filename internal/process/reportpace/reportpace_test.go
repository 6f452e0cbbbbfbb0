package reportpace_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/reportpace"
)

// Guards against control traffic that grows with the number of streams. The 349
// streams of one gateway cause one report per second.
func TestStreamsOfOneGatewayShareOneReport(t *testing.T) {
	p := reportpace.New()
	now := time.Unix(1000, 0)
	reports := 0
	for range 349 {
		if p.Due("gateway-1", now) {
			reports++
		}
	}
	require.Equal(t, 1, reports)
	require.True(t, p.Due("gateway-2", now))
	require.False(t, p.Due("gateway-1", now.Add(reportpace.Interval-1)))
	require.True(t, p.Due("gateway-1", now.Add(reportpace.Interval)))
}

func BenchmarkDue(b *testing.B) {
	p := reportpace.New()
	now := time.Unix(1000, 0)
	for i := range 370 {
		p.Due(strconv.Itoa(i), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Due("7", now)
	}
}

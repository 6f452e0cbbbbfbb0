package ratepermit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/router/statedlimit"
)

const (
	// controlBytes is what a node may spend on control in a second, headBytes the size
	// of the heads of a request and a response.
	controlBytes = 20_000
	headBytes    = 240
)

// Guards against routers that ask so often for permits of a crowded upstream that the requests alone pass the bytes for control.
func TestRefusedRoutersAskRarelyAndUseTheLimit(t *testing.T) {
	limit := statedlimit.Limit{Upstream: statedlimit.Upstream{ID: "i-e7a4b49e60", Incarnation: 1784964654340}, Limited: true, PerSecond: 4.1, Version: 9}
	request, err := json.Marshal(permitRequest{Limit: limit, MaxWaitMillis: 300})
	require.NoError(t, err)
	response, err := json.Marshal(permitResponse{RetryInMillis: 1250})
	require.NoError(t, err)
	perExchange := headBytes + len(request) + len(response)
	for _, routers := range []int{5, 28, 370} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			exchanges, granted := press(limit, routers, 14, time.Minute)
			t.Logf("%.1f exchanges a second of %d B at an issuer, %.2f permits a second", exchanges/issuerCount, perExchange, granted)
			require.Less(t, exchanges/issuerCount*float64(perExchange), float64(controlBytes))
			require.Greater(t, granted, 0.9*limit.PerSecond)
		})
	}
}

// press lets each router want to send at the rate, and returns the requests for
// permits and the permits in a second.
func press(limit statedlimit.Limit, routers int, perSecond float64, period time.Duration) (exchanges, granted float64) {
	random := rand.New(rand.NewPCG(1, 1))
	issuers := []*Permits{newPermits("a", nil, nil), newPermits("b", nil, nil)}
	backoffs := make([][issuerCount]time.Time, routers)
	mean := float64(time.Second) / (perSecond * float64(routers))
	for now := start; now.Before(start.Add(period)); now = now.Add(time.Duration(random.ExpFloat64() * mean)) {
		router := &backoffs[random.IntN(routers)]
		for _, i := range random.Perm(issuerCount) {
			const maxWait = 300 * time.Millisecond
			if router[i].Sub(now) > maxWait {
				continue
			}
			exchanges++
			d := issuers[i].issue(limit, maxWait, now)
			if d.Granted {
				granted++
				break
			}
			router[i] = now.Add(d.RetryIn)
		}
	}
	return exchanges / period.Seconds(), granted / period.Seconds()
}

// BenchmarkIssue measures the decision on a permit.
func BenchmarkIssue(b *testing.B) {
	p := newPermits("a", nil, nil)
	limit := statedlimit.Limit{Upstream: upstream, Limited: true, PerSecond: 4, Version: 1}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.issue(limit, 300*time.Millisecond, now)
	}
}

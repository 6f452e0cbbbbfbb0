package sharedrate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/router/sharedrate"
)

const (
	// factor and slack are the users' bound on the requests to a cold upstream within
	// a second. usedShare is the part of its rate that routers use.
	factor    = 1.5
	slack     = 5
	usedShare = 0.8
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against routers whose first requests to a cold upstream pass its rate because there are many routers.
func TestRoutersTogetherStayWithinTheRateOfAColdUpstream(t *testing.T) {
	for _, routers := range []int{1, 3, 5, 28, 60, 370} {
		for _, perSecond := range []float64{0.5, 3, 10, 37} {
			t.Run(fmt.Sprint(routers, perSecond), func(t *testing.T) {
				directories := make([]*directory.Directory, routers)
				for rank := range directories {
					directories[rank] = directory.New(eventlog.Discard(), func(string, string) (float64, bool) {
						return sharedrate.PerSecond(perSecond*usedShare, rank, routers), true
					})
					directories[rank].Upsert(directory.Entry{ID: "u", Service: "desk", Address: "a:1", ColdDuration: time.Minute, ConcurrencyLimit: 8}, start)
				}
				perTenth := make([]int, 100)
				total := 0
				for step := range 1000 {
					for _, d := range directories {
						if d.Begin("u", 1, start.Add(time.Duration(step)*10*time.Millisecond)) {
							perTenth[step/10]++
							total++
						}
					}
				}
				for i := range perTenth[:91] {
					n := 0
					for _, tenth := range perTenth[i : i+10] {
						n += tenth
					}
					require.LessOrEqual(t, float64(n), factor*perSecond+slack, "second from %d ms", 100*i)
				}
				require.Greater(t, float64(total), 7*usedShare*perSecond, "the upstream gets requests")
			})
		}
	}
}

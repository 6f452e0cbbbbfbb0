package reportersubset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func fleet(dataCentres, perDataCentre int) []Upstream {
	var upstreams []Upstream
	for d := range dataCentres {
		for i := range perDataCentre {
			upstreams = append(upstreams, Upstream{ID: fmt.Sprintf("u-%d-%d", d, i), DataCentre: fmt.Sprintf("dc-%d", d)})
		}
	}
	return upstreams
}

// Guards against a router that follows more upstreams as the fleet grows, or none in other
// data centres, and against leaving one out in a small fleet.
func TestSubsetDoesNotGrowWithTheFleet(t *testing.T) {
	for _, c := range []struct{ dataCentres, perDataCentre, followed, local int }{
		{3, 4, 12, 4}, {4, 8, 32, 8}, {5, 13, 32, 13}, {11, 127, 32, 20}, {1, 60, 32, 32}, {2, 25, 32, 20},
	} {
		followed := Choose("router-1", "dc-0", fleet(c.dataCentres, c.perDataCentre))
		require.Len(t, followed, c.followed)
		local := 0
		for _, u := range fleet(1, c.perDataCentre) {
			if followed[u.ID] {
				local++
			}
		}
		require.Equal(t, c.local, local)
	}
	require.Len(t, Choose("router-1", "elsewhere", fleet(3, 30)), maxFollowed)
	require.Empty(t, Choose("router-1", "dc-0", nil))
}

// Guards against an upstream that no router follows, or that most do: its reports would
// take its link, and its load would be unknown elsewhere.
func TestRoutersSpreadOverTheUpstreams(t *testing.T) {
	upstreams := fleet(11, 127)
	followers := make(map[string]int)
	for r := range 370 {
		for id := range Choose(fmt.Sprintf("10.0.0.%d:1", r), fmt.Sprintf("dc-%d", r%11), upstreams) {
			followers[id]++
		}
	}
	most := 0
	for _, n := range followers {
		most = max(most, n)
	}
	require.GreaterOrEqual(t, len(followers), len(upstreams)*98/100)
	require.LessOrEqual(t, most, 30)
}

// Guards against following others whenever an upstream comes or goes, and against losing
// sight of one that runs work of this router.
func TestSubsetIsStable(t *testing.T) {
	upstreams := fleet(11, 127)
	before := Choose("router-1", "dc-0", upstreams)
	after := Choose("router-1", "dc-0", upstreams[1:])
	changed := 0
	for id := range after {
		if !before[id] {
			changed++
		}
	}
	require.LessOrEqual(t, changed, 1)
	for i := range upstreams {
		upstreams[i].InUse = i%100 == 0
	}
	for _, u := range upstreams {
		if u.InUse {
			require.True(t, Choose("router-1", "dc-0", upstreams)[u.ID])
		}
	}
}

package reportersubset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFollowed bounds the upstreams that are followed beside those in use, and
	// minRemote is the number of them that are in other data centres if there are so
	// many, so that a crowded data centre finds room elsewhere.
	maxFollowed = 32
	minRemote   = 12
)

// Upstream is an upstream with a reporter.
type Upstream struct {
	ID         string
	DataCentre string
	// InUse is true if the router has work in progress there. Such an upstream is
	// followed in any case, because its leaving must be known at once.
	InUse bool
}

// Choose returns the set of the upstreams that the router follows, by ID.
func Choose(router, dataCentre string, upstreams []Upstream) map[string]bool {
	followed := make(map[string]bool, min(len(upstreams), maxFollowed))
	var local, remote []ranked
	for _, u := range upstreams {
		r := ranked{u.ID, xxhash.Sum64String(router + " " + u.ID)}
		switch {
		case u.InUse || len(upstreams) <= maxFollowed:
			followed[u.ID] = true
		case u.DataCentre == dataCentre:
			local = append(local, r)
		default:
			remote = append(remote, r)
		}
	}
	chosen := first(local, maxFollowed-min(minRemote, len(remote)))
	chosen = append(chosen, first(remote, maxFollowed-len(chosen))...)
	for _, r := range chosen {
		followed[r.id] = true
	}
	return followed
}

// ranked is an upstream with its rank for one router.
type ranked struct {
	id   string
	rank uint64
}

// first returns the n upstreams with the lowest ranks, all if there are fewer.
func first(upstreams []ranked, n int) []ranked {
	slices.SortFunc(upstreams, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
	})
	return upstreams[:min(n, len(upstreams)):min(n, len(upstreams))]
}

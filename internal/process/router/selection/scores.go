package selection

import (
	"cmp"
	"slices"

	"github.com/flamingohold/flamingohold/internal/process/directory"
)

// Parts are the parts of an upstream's score without its random part, each as a share of
// an upstream's capacity.
type Parts struct {
	// Load is the load of the upstream, or the one assumed if it has not reported.
	Load float64
	// MemoryPressure is the load due to a lack of memory for the request.
	MemoryPressure float64
	// Remote, Suspect, Failures and Cold are the penalties for another data centre, for
	// an upstream that does not answer, for its failure rate and for a cold upstream.
	Remote, Suspect, Failures, Cold float64
	// Pace depends on the event time of the upstream and may be negative.
	Pace float64
}

// Scored is an upstream with the parts of its score.
type Scored struct {
	View  directory.View
	Parts Parts
	// Total is the score, the sum of the parts.
	Total float64
}

// Scores returns the upstreams that Choose may return in ascending order of their scores
// without the random part, and of their IDs where scores are equal. Choose may return
// any whose score is less than MaxJitter above the first.
func Scores(views []directory.View, r Request) []Scored {
	summary := summarise(views, r)
	scores := make([]Scored, 0, len(views))
	for i := range views {
		if v := &views[i]; isCandidate(v, &r) {
			scored := Scored{View: *v}
			scored.Total = score(v, &r, &summary, &scored.Parts)
			scores = append(scores, scored)
		}
	}
	slices.SortFunc(scores, func(a, b Scored) int {
		return cmp.Or(cmp.Compare(a.Total, b.Total), cmp.Compare(a.View.ID, b.View.ID))
	})
	return scores
}

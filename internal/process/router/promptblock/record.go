package promptblock

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Crash is an engine's end while a request had no event yet.
type Crash struct {
	// Upstream and Incarnation identify one start of an engine.
	Upstream    string
	Incarnation int64
	// Parts are the shared parts of the request's prompt.
	Parts []string
	At    time.Time
}

// record is a crash with what became known of its parts. Both sets only grow, so
// that routers agree in whichever order they learn of them.
type record struct {
	Crash

	// proven holds the parts with which a request got an event before the crash.
	proven []string
	// cleared holds the parts with which a request got an event after the crash.
	cleared []string
}

// key identifies the crash among those of all routers. Requests with the same
// parts at one start of an engine count once.
func (c Crash) key() string {
	key := c.Upstream + " " + strconv.FormatInt(c.Incarnation, 10)
	for _, p := range c.Parts {
		key += " " + p
	}
	return key
}

// implicates reports whether the part may have caused the crash.
func (r *record) implicates(part string) bool {
	return slices.Contains(r.Parts, part) && !slices.Contains(r.cleared, part)
}

// digest depends on the record and the sets.
func (r *record) digest() uint64 {
	sum := xxhash.Sum64String(r.key())
	for _, p := range r.proven {
		sum += xxhash.Sum64String("proven " + p + r.key())
	}
	for _, p := range r.cleared {
		sum += xxhash.Sum64String("cleared " + p + r.key())
	}
	return sum
}

// SharedCrash is a crash as one router tells another. The time is an age, as
// clocks differ.
type SharedCrash struct {
	Upstream    string   `json:"upstream"`
	Incarnation int64    `json:"incarnation"`
	Parts       []string `json:"parts"`
	Proven      []string `json:"proven,omitempty"`
	Cleared     []string `json:"cleared,omitempty"`
	AgeMillis   int64    `json:"age_ms"`
}

package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plan is the assignment of models and adapters to the slots of one service. It
// is immutable.
type Plan struct {
	// modelOf maps a slot to its model.
	modelOf map[string]string
	// adaptersOf maps a slot to its adapters in the order in which the slot
	// loads them.
	adaptersOf map[string][]string
}

// New returns the plan for the given models, adapters and slots, whose order
// does not matter. Each adapter is assigned to the given number of slots, or to
// all slots if there are fewer.
func New(models, adapters, slots []string, copies int) *Plan {
	p := &Plan{modelOf: make(map[string]string), adaptersOf: make(map[string][]string)}
	for slot, chosen := range assign(slots, models, 1) {
		p.modelOf[slot] = chosen[0]
	}
	for adapter, chosen := range assign(adapters, slots, copies) {
		for _, slot := range chosen {
			p.adaptersOf[slot] = append(p.adaptersOf[slot], adapter)
		}
	}
	for slot, list := range p.adaptersOf {
		slices.SortFunc(list, byScore(slot))
	}
	return p
}

// Model returns the model of the slot, or an empty string if it has none.
func (p *Plan) Model(slot string) string { return p.modelOf[slot] }

// Adapters returns the adapters of the slot in the order in which it loads
// them. The order differs between slots, so that they don't all read the same
// file at the same time.
func (p *Plan) Adapters(slot string) []string { return slices.Clone(p.adaptersOf[slot]) }

// ReadRate returns one sidecar's share, in bytes per second, of the weight
// store's rate if the given number of sidecars is live. The shares of all live
// sidecars add up to at most the rate, unless the rate is below 1 byte per
// second for each sidecar. A rate of 0 means no limit, and the share is then 0
// too.
func (p *Plan) ReadRate(bytesPerSecond int64, live int) int64 {
	if bytesPerSecond <= 0 {
		return 0
	}
	return max(1, bytesPerSecond/int64(max(1, live)))
}

// ReadDelay returns how long the slot waits before it reads from the weight store
// after a change, at least 0 and less than spread. The delay depends only on
// the slot, the version and spread.
func (p *Plan) ReadDelay(slot string, version uint64, spread time.Duration) time.Duration {
	if spread <= 0 {
		return 0
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(slot), version))
	return time.Duration(random.Int64N(int64(spread)))
}

// assign maps each item to the given number of bins: those with the highest
// scores that have capacity left. The result is empty if there are no bins.
func assign(items, bins []string, copies int) map[string][]string {
	items, bins = distinct(items), distinct(bins)
	copies = min(copies, len(bins))
	if copies <= 0 {
		return nil
	}
	capacity := (len(items)*copies + len(bins) - 1) / len(bins)
	assigned := make(map[string]int, len(bins))
	result := make(map[string][]string, len(items))
	for _, item := range items {
		result[item] = choose(item, bins, copies, capacity, assigned)
	}
	return result
}

// candidate is a bin with its score for one item.
type candidate struct {
	bin   string
	full  bool
	score uint64
}

// choose returns the given number of bins: those with the highest scores that
// have capacity left. Full bins are used only if there are too few others, which
// can happen for the last items.
func choose(item string, bins []string, copies, capacity int, assigned map[string]int) []string {
	order := make([]candidate, 0, len(bins))
	for _, bin := range bins {
		order = append(order, candidate{bin, assigned[bin] >= capacity, score(item, bin)})
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(compareBool(a.full, b.full), cmp.Compare(b.score, a.score), cmp.Compare(a.bin, b.bin))
	})
	chosen := make([]string, 0, copies)
	for _, c := range order[:copies] {
		assigned[c.bin]++
		chosen = append(chosen, c.bin)
	}
	return chosen
}

// byScore returns a comparison that orders names by their score with the key,
// highest first.
func byScore(key string) func(a, b string) int {
	return func(a, b string) int {
		return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
	}
}

// score returns the hash of key and name.
func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// distinct returns the names without duplicates, sorted by hash, so that the
// order of assignment is not alphabetical.
func distinct(names []string) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, byScore(""))
	return slices.Compact(sorted)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

package outputlength

import (
	"math"
)

const (
	// bucketsPerOctave is the number of buckets per doubling of the length.
	bucketsPerOctave = 4
	// MaxTokens is the longest output, in tokens, that is distinguished from
	// longer ones.
	MaxTokens = 65_536
	// buckets is the number of buckets for lengths from 1 to MaxTokens.
	buckets = 16*bucketsPerOctave + 1
	// priorStart and priorHazard define the prior: no output ends before
	// priorStart tokens, and in each later bucket the fraction priorHazard of the
	// remaining outputs ends. Half of the outputs are then longer than 500 tokens,
	// and a fifth are longer than 1,300.
	priorStart  = 256
	priorHazard = 0.15
	// priorWeight is the weight of the less specific estimate, in observations.
	priorWeight = 4
	// halvingThreshold is the number of observations at which all counts are
	// halved, so that older observations weigh less.
	halvingThreshold = 400
	// maxAccounts is the maximum number of pairs of account and model with
	// separate counts.
	maxAccounts = 2048
)

// Estimator holds the survival counts of one sidecar. It is not safe for
// concurrent use.
type Estimator struct {
	models   map[string]*survivalCounts
	accounts map[key]*survivalCounts
	// sequence counts the observations, to find the least recently used pair of
	// account and model.
	sequence uint64
}

type key struct {
	account string
	model   string
}

// survivalCounts holds, by bucket, the number of outputs that ended in it and
// the number that reached it.
type survivalCounts struct {
	ended   [buckets]float32
	reached [buckets]float32
	total   float32
	// lastUsed is the sequence number of the latest observation.
	lastUsed uint64
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{models: make(map[string]*survivalCounts), accounts: make(map[key]*survivalCounts)}
}

// Observe records an output of the given length in tokens. Complete is false if
// the output was truncated and would have continued.
func (e *Estimator) Observe(account, model string, tokens int, complete bool) {
	e.sequence++
	e.modelCountsOf(model).observe(tokens, complete, e.sequence)
	e.accountCountsOf(key{account, model}).observe(tokens, complete, e.sequence)
}

// Remaining returns the given quantile, from 0 to 1, of the number of further
// tokens of an output that already has the generated tokens.
func (e *Estimator) Remaining(account, model string, generated int, quantile float64) int {
	accountCounts := e.accounts[key{account, model}]
	modelCounts := e.models[model]
	targetSurvival := 1 - min(max(quantile, 0), 0.999)
	survival := 1.0
	first := bucketOf(generated + 1)
	for b := first; b < buckets; b++ {
		survival *= 1 - blend(accountCounts, blend(modelCounts, prior(b), b), b)
		if survival <= targetSurvival {
			return max(1, upperBound(b)-generated)
		}
	}
	return max(1, MaxTokens-generated)
}

func (e *Estimator) modelCountsOf(model string) *survivalCounts {
	c := e.models[model]
	if c == nil {
		c = &survivalCounts{}
		e.models[model] = c
	}
	return c
}

func (e *Estimator) accountCountsOf(k key) *survivalCounts {
	c := e.accounts[k]
	if c != nil {
		return c
	}
	if len(e.accounts) >= maxAccounts {
		e.evictOldest()
	}
	c = &survivalCounts{}
	e.accounts[k] = c
	return c
}

// evictOldest removes the least recently used pair of account and model.
func (e *Estimator) evictOldest() {
	var oldest key
	lastUsed := uint64(math.MaxUint64)
	for k, c := range e.accounts {
		if c.lastUsed < lastUsed {
			oldest, lastUsed = k, c.lastUsed
		}
	}
	delete(e.accounts, oldest)
}

func (c *survivalCounts) observe(tokens int, complete bool, sequence uint64) {
	last := bucketOf(tokens)
	for b := range last {
		c.reached[b]++
	}
	if complete {
		c.reached[last]++
		c.ended[last]++
	}
	c.lastUsed = sequence
	c.total++
	if c.total >= halvingThreshold {
		c.halve()
	}
}

func (c *survivalCounts) halve() {
	c.total /= 2
	for b := range buckets {
		c.ended[b] /= 2
		c.reached[b] /= 2
	}
}

// blend returns the probability that an output that reached bucket b ends in
// it. It combines the counts with the less specific estimate, which is weighted
// as priorWeight observations.
func blend(c *survivalCounts, general float64, b int) float64 {
	if c == nil {
		return general
	}
	return (float64(c.ended[b]) + priorWeight*general) / (float64(c.reached[b]) + priorWeight)
}

// prior returns the prior probability that an output that reached bucket b ends
// in it.
func prior(b int) float64 {
	if upperBound(b) <= priorStart {
		return 0
	}
	return priorHazard
}

// bucketOf returns the bucket of a length in tokens.
func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	b := int(math.Ceil(bucketsPerOctave*math.Log2(float64(tokens)) - 1e-9))
	return min(buckets-1, b)
}

// upperBounds holds the greatest length of each bucket, in tokens.
var upperBounds = func() (bounds [buckets]int) {
	for b := range bounds {
		bounds[b] = int(math.Exp2(float64(b)/bucketsPerOctave) + 1e-9)
	}
	return bounds
}()

func upperBound(b int) int { return upperBounds[b] }

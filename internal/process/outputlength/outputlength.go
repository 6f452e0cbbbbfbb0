package outputlength

import (
	"math"
)

const (
	bucketsPerOctave = 4
	// MaxTokens is the longest output that is told apart.
	MaxTokens = 65_536
	// buckets covers the lengths from 1 to MaxTokens.
	buckets = 16*bucketsPerOctave + 1
	// priorStart and priorHazard give the prior: no output ends before
	// priorStart tokens, then this part of the rest ends in each bucket. Half of
	// the outputs are longer than 500 tokens, and a fifth longer than 1,300.
	priorStart  = 256
	priorHazard = 0.15
	// priorWeight is the number of observations that the less specific estimate
	// counts for.
	priorWeight = 4
	// memory is the number of observations after which older ones are halved.
	memory = 400
	// maxCurves bounds the accounts that have counts of their own.
	maxCurves = 2048
)

// Estimator holds the survival counts of one sidecar. It is not safe for
// concurrent use.
type Estimator struct {
	models   map[string]*curve
	accounts map[key]*curve
	// clock counts the observations, to find the account that was not seen for
	// longest.
	clock uint64
}

type key struct {
	account string
	model   string
}

// curve holds, by bucket, the outputs that ended there and the outputs that
// reached it.
type curve struct {
	ended   [buckets]float32
	reached [buckets]float32
	total   float32
	used    uint64
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{models: make(map[string]*curve), accounts: make(map[key]*curve)}
}

// Observe records an output of the given length. Complete is false if the
// output would have gone on.
func (e *Estimator) Observe(account, model string, tokens int, complete bool) {
	e.clock++
	e.modelCurve(model).observe(tokens, complete, e.clock)
	e.accountCurve(key{account, model}).observe(tokens, complete, e.clock)
}

// Remaining returns the number of further tokens that an output with the
// generated tokens stays below with the probability of the quantile, from 0 to
// 1.
func (e *Estimator) Remaining(account, model string, generated int, quantile float64) int {
	own := e.accounts[key{account, model}]
	shared := e.models[model]
	left := 1 - min(max(quantile, 0), 0.999)
	survival := 1.0
	first := bucketOf(generated + 1)
	for b := first; b < buckets; b++ {
		survival *= 1 - blend(own, blend(shared, prior(b), b), b)
		if survival <= left {
			return max(1, upper(b)-generated)
		}
	}
	return max(1, MaxTokens-generated)
}

func (e *Estimator) modelCurve(model string) *curve {
	c := e.models[model]
	if c == nil {
		c = &curve{}
		e.models[model] = c
	}
	return c
}

func (e *Estimator) accountCurve(k key) *curve {
	c := e.accounts[k]
	if c != nil {
		return c
	}
	if len(e.accounts) >= maxCurves {
		e.forgetOldest()
	}
	c = &curve{}
	e.accounts[k] = c
	return c
}

func (e *Estimator) forgetOldest() {
	var oldest key
	used := uint64(math.MaxUint64)
	for k, c := range e.accounts {
		if c.used < used {
			oldest, used = k, c.used
		}
	}
	delete(e.accounts, oldest)
}

func (c *curve) observe(tokens int, complete bool, clock uint64) {
	last := bucketOf(tokens)
	for b := range last {
		c.reached[b]++
	}
	if complete {
		c.reached[last]++
		c.ended[last]++
	}
	c.used = clock
	c.total++
	if c.total >= memory {
		c.halve()
	}
}

func (c *curve) halve() {
	c.total /= 2
	for b := range buckets {
		c.ended[b] /= 2
		c.reached[b] /= 2
	}
}

// blend returns the chance to end in the bucket by the counts and, as if it
// came from priorWeight observations, by the less specific estimate.
func blend(c *curve, general float64, b int) float64 {
	if c == nil {
		return general
	}
	return (float64(c.ended[b]) + priorWeight*general) / (float64(c.reached[b]) + priorWeight)
}

func prior(b int) float64 {
	if upper(b) <= priorStart {
		return 0
	}
	return priorHazard
}

// bucketOf returns the bucket of a length.
func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	b := int(math.Ceil(bucketsPerOctave*math.Log2(float64(tokens)) - 1e-9))
	return min(buckets-1, b)
}

// uppers holds the longest length of each bucket.
var uppers = func() (bounds [buckets]int) {
	for b := range bounds {
		bounds[b] = int(math.Exp2(float64(b)/bucketsPerOctave) + 1e-9)
	}
	return bounds
}()

func upper(b int) int { return uppers[b] }

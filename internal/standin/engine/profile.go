package engine

import "time"

// These figures are for OPT-13B on one NVIDIA A100 40 GB. They are published by
// Kwon et al., "Efficient Memory Management for Large Language Model Serving with
// PagedAttention" (SOSP 2023), "the paper" below, and in the NVIDIA A100
// datasheet (2021).
const (
	// blockTokens is the default block size in the paper, section 7.2.
	blockTokens = 16
	// memoryTokens is the number of key-value slots for OPT-13B in the paper,
	// table 1 (15.7K).
	memoryTokens = 15_700
	// baseStep is the time to read 26 GB of weights (table 1) at the
	// datasheet's 1,555 GB/s.
	baseStep = 16_700 * time.Microsecond
	// perContextToken is the time to read one token's keys and values, 800 KB
	// (section 3), at 1,555 GB/s.
	perContextToken = 514 * time.Nanosecond
	// perPrefillToken is the time for 2 x 13e9 operations at half of the
	// datasheet's 312 TFLOPS; a utilisation of one half is an assumption.
	perPrefillToken = 167 * time.Microsecond
	// meanOutputTokens is the mean output length of ShareGPT in the paper,
	// figure 11 (337.99).
	meanOutputTokens = 338
)

// These figures are assumptions without a public source.
const (
	// outputSigma is the shape of the log-normal distribution of output
	// lengths. With 1 the 99th percentile is 6 times the mean.
	outputSigma          = 1.0
	prefillTokensPerStep = 2048
	maxSequences         = 256
	coldFactor           = 4
	coldSequences        = 4
	warmUpTokens         = 1500
	metricsLag           = time.Second
	cacheEventLag        = 500 * time.Millisecond
	cacheEventLoss       = 0.05
)

// Profile holds the timing and capacity parameters of an engine.
type Profile struct {
	// BaseStep is the duration of a step without any sequence.
	BaseStep time.Duration
	// PerContextToken is added to a step for each token in the context of its
	// sequences.
	PerContextToken time.Duration
	// PerPrefillToken is added to a step for each token that it prefills.
	PerPrefillToken time.Duration
	// PrefillTokensPerStep limits the tokens prefilled in one step: those of
	// prompts and, after a preemption, those generated before it.
	PrefillTokensPerStep int
	// MemoryTokens is the size of block memory in tokens.
	MemoryTokens int
	// MaxSequences limits the number of running sequences.
	MaxSequences int
	// ColdFactor multiplies the step time of a cold engine.
	ColdFactor float64
	// ColdSequences is the number of running sequences above which a cold
	// engine is overloaded: its step time is multiplied by the square of
	// running sequences divided by ColdSequences, and its warm-up makes no
	// progress.
	ColdSequences int
	// WarmUpTokens is the number of processed tokens after which a cold engine
	// is warm.
	WarmUpTokens int
	// Slowdown multiplies every step time.
	Slowdown float64
	// MetricsLag and CacheEventLag delay load reports and cache events.
	MetricsLag    time.Duration
	CacheEventLag time.Duration
	// CacheEventLoss is the fraction of cache events that are never published.
	CacheEventLoss float64
}

// DefaultProfile returns the profile of one accelerator.
func DefaultProfile() Profile {
	return Profile{
		BaseStep:             baseStep,
		PerContextToken:      perContextToken,
		PerPrefillToken:      perPrefillToken,
		PrefillTokensPerStep: prefillTokensPerStep,
		MemoryTokens:         memoryTokens,
		MaxSequences:         maxSequences,
		ColdFactor:           coldFactor,
		ColdSequences:        coldSequences,
		WarmUpTokens:         warmUpTokens,
		Slowdown:             1,
		MetricsLag:           metricsLag,
		CacheEventLag:        cacheEventLag,
		CacheEventLoss:       cacheEventLoss,
	}
}

// stepTime returns the duration of a step with the given work.
func (p Profile) stepTime(running, contextTokens, prefillTokens int, cold bool) time.Duration {
	d := p.BaseStep
	d += time.Duration(contextTokens) * p.PerContextToken
	d += time.Duration(prefillTokens) * p.PerPrefillToken
	factor := p.Slowdown
	if cold {
		factor *= p.ColdFactor
		if overload := float64(running) / float64(p.ColdSequences); overload > 1 {
			factor *= overload * overload
		}
	}
	return time.Duration(float64(d) * factor)
}

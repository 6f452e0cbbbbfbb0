// Package weightstore is a stand-in for the platform's store of model weights, from
// which stand-in engines load models. All readers share one rate limit, so that
// loading takes longer when several engines load at the same time. The content
// consists of zeros.
package weightstore

// Package admission decides how much work a sidecar may send to its upstream at
// once.
//
// The number of concurrent attempts is bounded by the configured concurrency,
// by a slow start after each reset, by the largest batch that the learned step
// time allows, and by the engine's block memory. For block memory, the
// controller expects each running generation to grow to a quantile of its
// remaining output and to release its memory then; the resulting peak must fit.
// Long prompts start one at a time, each after a pause as long as the previous
// prefill took, at most 2 s.
//
// A reset returns the limits to those of a cold upstream. The caller requests
// it with Reset when the upstream is known to have started. The controller
// also resets by itself when step times, times to first token, durations of
// calls to a plain service, repeated stalls, a lack of tokens or a decrease of
// the preemption counter indicate that the upstream became cold.
package admission

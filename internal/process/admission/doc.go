// Package admission decides how much work the upstream beside a sidecar may
// hold.
//
// The number of attempts at the upstream is bounded by the configured
// concurrency, by a slow start from the last reset, by the largest batch that
// the learned step time allows, and by the engine's block memory: the most that
// the running generations will occupy together, if each grows by a quantile of
// its remaining output and gives its memory back then, must fit. Long
// prompts start one at a time, with a pause as long as the last one took.
//
// A reset is asked for by Restart when the upstream is known to have started,
// and done by the controller itself when step times, times to first token,
// repeated stalls or a preemption counter that starts again show that it turned
// cold.
package admission

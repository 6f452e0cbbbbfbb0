// Package engine is a stand-in for a model engine: it batches continuously in
// real time, holds block memory with a prefix cache, preempts when memory is
// full, and serves the engine protocol of the design page with deterministic
// output.
package engine

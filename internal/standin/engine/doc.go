// Package engine is a stand-in for an inference engine, used in tests and load
// runs. It batches requests continuously in real time, accounts for key-value
// blocks with a prefix cache and preempts sequences when the blocks run out.
//
// It serves the engine protocol: OpenAI completions that can be resumed and
// cancelled, metrics, cache events and control requests. Faults are injected
// under /admin. The output is deterministic: each token's text depends only on
// prompt, request ID and token number, so that a caller can check every token
// that it receives.
package engine

// Package engine is the sidecar's client of a model engine. It starts, resumes
// and cancels generations over the OpenAI-compatible API, and reads the engine's
// models and load. Tokens arrive as numbered server-sent events; the client skips
// duplicate tokens, and reports gaps, truncated and idle streams as errors.
package engine

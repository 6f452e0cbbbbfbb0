// Package engine is the client of a model engine: it starts, resumes and
// cancels generations over the OpenAI-compatible interface with numbered
// server-sent events, and reads the engine's models and load.
package engine

// Package stream provides an http.ResponseWriter for long answers that needs
// bounded memory.
//
// The HTTP server library buffers writes without bound, does not report a
// disconnected caller, and reuses a buffer that it has already released when one
// chunk of 64 KiB or more follows an unsent one. A Writer therefore splits and
// flushes large writes, blocks while the caller reads too slowly, and checks
// whether the connection is closed.
package stream

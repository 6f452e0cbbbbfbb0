// Package stream writes long HTTP answers with bounded memory.
//
// The HTTP server library buffers writes without bound, does not report a
// disconnected caller, and reuses a buffer that it has already released when one
// chunk of 64 KiB or more follows an unsent one. A Writer therefore splits and
// flushes large writes, waits while the caller reads too slowly, and asks the
// connection whether it is closed.
package stream

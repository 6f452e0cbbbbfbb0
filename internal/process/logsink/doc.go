// Package logsink buffers log lines so that a slow reader of the log never
// blocks the process. Lines are written in batches by a goroutine; lines that do
// not fit into the buffer are dropped and counted, and the count is logged.
// Routers and reporters use it for their standard output.
package logsink

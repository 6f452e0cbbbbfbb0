// Package logsink writes log lines without ever blocking the process: lines that
// a slow reader leaves no room for are dropped and counted.
package logsink

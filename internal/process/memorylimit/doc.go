// Package memorylimit sets the soft memory limit of the Go runtime from the memory of
// the process's machine. All processes that know that memory use it.
package memorylimit

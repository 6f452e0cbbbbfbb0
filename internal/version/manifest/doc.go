// Package manifest describes one published version of the configuration: its
// number, its chunks by content hash, and the hash over both.
package manifest

// Package manifest describes one published version of the configuration: the
// version number, the hashes and sizes of its chunks, and a hash over both. The
// publisher and all processes use it; a manifest that does not pass its checks
// is never used. It also holds the limits on the sizes of chunks and bundles.
package manifest

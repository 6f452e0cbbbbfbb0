// Package configwatch keeps the configuration of one process up to date.
// Gateways and sidecars run a Watcher. It reads bundles from the configuration
// service, if one is set, and from peers, puts the newest valid bundle into
// force, and serves that bundle to peers. A process never returns to an earlier
// bundle, and all processes agree on the order of bundles.
package configwatch

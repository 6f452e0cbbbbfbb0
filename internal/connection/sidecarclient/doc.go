// Package sidecarclient is the gateways' client of the sidecars' peer interface.
// It offers attempts, reads the frames of a sidecar's answer (a link is one such
// stream of frames), and queries, revokes, cancels and acknowledges.
//
// Every call uses a new connection: an open one may have stopped delivering data
// while new ones work, and the HTTP library can retry a request on a reused
// connection without reporting it.
package sidecarclient

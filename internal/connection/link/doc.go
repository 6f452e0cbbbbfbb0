// Package link calls the sidecars' peer interface.
//
// Every call uses a new connection: an open one can have gone silent while new
// ones work, and a request on a reused connection can be repeated by the client
// library without the caller's knowledge.
package link

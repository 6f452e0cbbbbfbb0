// Package reporterclient is the router's client of the reporters. A Client streams the
// reports of its subset of the upstreams into the directory, shares with the other
// routers which upstreams are suspect, asks for reservations of room at an upstream,
// and acquires turns for copies on behalf of package relocation. A reporter that does
// not answer prevents neither a copy nor a request.
package reporterclient

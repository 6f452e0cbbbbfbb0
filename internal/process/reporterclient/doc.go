// Package reporterclient is the router's client of the reporters. A Client
// streams the reports of all upstreams that have a reporter into the directory,
// shares with the other routers which upstreams are suspect, and acquires turns
// for copies on behalf of package relocation. A reporter that does not answer
// does not prevent a copy.
package reporterclient

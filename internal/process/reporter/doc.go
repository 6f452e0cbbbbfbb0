// Package reporter implements the reporter role: a process on each instance
// whose upstream routers reach directly. It polls the status report of the
// upstream, which is cheap and current on the same instance, and streams it to
// all routers, so that they are notified at once when the upstream is leaving.
// It also grants the turns of copies over the upstream's link, and reservations of
// room at the upstream. Package reporterclient is its client.
package reporter

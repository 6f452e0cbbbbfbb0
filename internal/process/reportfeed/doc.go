// Package reportfeed is the router's side of the reporters: it follows the
// reports of all upstreams that have a reporter, and asks reporters for turns.
package reportfeed

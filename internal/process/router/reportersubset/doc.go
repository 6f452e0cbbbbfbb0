// Package reportersubset chooses the upstreams whose reporters one router follows. All
// upstreams would be too many in a large fleet: the reports of 1,400 engines take 0.4
// MB/s at each of 370 routers. The choice is deterministic, changes little when
// upstreams come and go, and prefers those in the router's own data centre, whose
// reports cross no link between data centres. Package reporterclient follows it.
package reportersubset

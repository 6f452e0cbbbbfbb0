// Package fleetview applies the changes of a mirror to the state of a router:
// the current route table, the directory of upstreams, and the data centres
// that are out of service. The platform's Decoder translates the items of the
// store; a route table is replaced only by one with a higher version.
package fleetview

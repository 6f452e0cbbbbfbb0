// Package fleetview turns the changes of a mirror into what a process believes:
// the table of routes in force, the directory of upstreams, and the data centres
// that are out of service.
package fleetview

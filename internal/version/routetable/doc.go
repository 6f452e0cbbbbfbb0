// Package routetable holds one version of the routes, services, client accounts
// and limits that a router serves. The platform's configuration source builds a
// Table, and the router looks up the route, service and client account of each
// request in it. A Table is immutable; a change of the configuration replaces
// it.
package routetable

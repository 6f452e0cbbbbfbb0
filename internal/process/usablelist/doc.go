// Package usablelist keeps the list of usable instances of each service for a
// short time, so that a gateway does not copy and compare the list for each
// request.
package usablelist

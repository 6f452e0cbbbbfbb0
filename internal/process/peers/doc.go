// Package peers lets routers find each other from a few seeds and share the
// items of the watched store, so that a router that the store does not answer
// learns of changes within a fraction of a second.
package peers

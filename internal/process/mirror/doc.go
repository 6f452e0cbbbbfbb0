// Package mirror keeps a local copy of the items of a watched store. A process
// that the store does not answer goes on with the items that its peers hold.
package mirror

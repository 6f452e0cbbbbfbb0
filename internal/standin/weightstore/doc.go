// Package weightstore is a stand-in for the platform's rate-limited store of
// model weights.
package weightstore

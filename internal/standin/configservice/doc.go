// Package configservice is a stand-in for the platform's configuration service,
// used in tests and load runs. It implements the part of Consul's key-value
// interface that the system uses: writes, and raw reads with blocking queries.
// POST /admin/configuration switches it to modes in which it is down or serves
// outdated values.
package configservice

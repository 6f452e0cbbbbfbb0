// Package decisions keeps the most recent decisions of a process about requests
// in memory, for example which instance was chosen for a request and why.
// Gateways and sidecars record them and serve them on the admin listener, from
// which the command explain reads them. The number of records is bounded; the
// oldest are overwritten.
package decisions

// Package routing selects the instance for an attempt. Each gateway has a Router,
// which decides by the load that instances reported and by the gateway's own
// running attempts.
//
// A gateway uses a subset of each service's instances: consecutive instances on a
// hash ring, starting at a point derived from the gateway's position in the list
// of gateways. Of G gateways with subsets of k out of n instances, at most
// G*k/n + 2 + 2*log2(G)/3 use the same instance. Half of a subset comes from
// the gateway's own data centre if there are enough instances in it and in the
// others. The bound then holds for each half.
//
// The load-aware policy compares one instance in the gateway's data centre with
// another of the subset, by the reported pressure plus the attempts that this
// gateway started there since the report. Old reports are ignored. The instance to
// which the prompt's prefix hashes is preferred while its load is close to that of
// the instance chosen by load.
package routing

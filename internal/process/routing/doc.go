// Package routing chooses the instance for an attempt by what a gateway knows about
// the instances' load.
//
// A gateway uses a subset of each service's instances: a number of neighbours on
// a circle of the instances, from a place given by the gateway's position in the
// list of gateways. Of G gateways with subsets of k out of n instances, at most
// G*k/n + 2 + 2*log2(G)/3 use the same instance. Up to half of a subset comes
// from the gateway's own data centre, and the bound then holds for each half.
//
// The load-aware policy compares one instance of the own data centre with one of
// the whole subset, by the reported pressure plus the attempts that this gateway
// began there since the report. Reports age out. The instance to which a prompt's
// beginning hashes is preferred while its load is close to that of the others.
package routing

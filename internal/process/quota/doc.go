// Package quota limits the rate and the concurrency of client accounts at one
// gateway.
//
// Without a lease a gateway uses an equal share of each limit: limit/G of the
// rate with a burst of at least 2 requests, and limit/G of the concurrency
// rounded up, where G is the number of gateways. An account that needs more
// than that is reported to its home gateway, which grants leases of at most the
// whole limit in sum. A lease that is not renewed within 3 s lapses, and the
// equal share is in force again, also when the home is lost or unreachable.
//
// The worst overshoot follows from these rules. Leases add up to at most the
// limit L, and equal shares of the other gateways to less than L, so that the
// allowed rate is below 2*L at any time, in any partition, and at most L once
// no account is over its equal share. Each gateway may add its burst once: the
// larger of 2 requests and one second of its share. For concurrency the bound
// is L plus the larger of L and G (rounding gives each gateway at least one).
// Requests that already run are never cut off when a share shrinks: if the home
// is lost or a partition begins while requests of an earlier division still
// run, they come on top, at most L for each such event. While gateways disagree
// about the list of gateways, each list counts as a division of its own.
package quota

// Package quota limits the rate and the concurrency of client accounts at one
// gateway.
//
// Without a lease, a gateway uses an equal share of each limit: limit/G of the
// rate with a burst of at least 2 requests, and limit/G of the concurrency
// rounded up, where G is the number of gateways. An account that may need more,
// because it uses more than half of its allowance, is reported to its home
// gateway, which grants leases whose sum is at most the limit. A lease that is
// not renewed within 3 s expires, and the gateway uses the equal share again,
// also when the home gateway is lost or unreachable.
//
// The worst-case overshoot follows from these rules. Leases add up to at most
// the limit L, and the equal shares of the other gateways to less than L. The
// allowed rate is therefore below 2*L at any time, in any partition, and at
// most L once no account exceeds its equal share. Each gateway may add its
// burst once: the larger of 2 requests and one second of its share. For
// concurrency the bound is L plus the larger of L and G, because rounding
// assigns at least one request to each gateway. Running requests are never
// cancelled when a share shrinks. If the home gateway is lost or a partition
// starts while requests admitted under an earlier division still run, these are
// added to the bound, at most L for each such event. While gateways disagree
// about the list of gateways, each list counts as a separate division.
package quota

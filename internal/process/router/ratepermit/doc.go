// Package ratepermit keeps all routers together within the rate limits that
// upstreams state. Two routers, the issuers, each issue permits for half of an
// upstream's limit; every other router asks one of them before each request to that
// upstream. The issuers follow from the upstream and the routers that are alive, so
// that they need no election. Permits go where requests are, so that no share of
// the limit lies unused at a router without requests.
//
// A permit that arrives after the request for it has given up is used by a later
// request, within latePermitLifetime.
//
// In a window of w seconds an upstream gets at most one request for each issuer,
// and w times its limit; with late permits, w + 1.5 times. Routers that disagree on the
// issuers, because they know different routers, add one request and half of the limit
// for each further issuer.
package ratepermit

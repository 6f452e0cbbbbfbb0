// Package ratepermit keeps all routers together within the rate limits that
// upstreams state. Two routers, the issuers, each issue permits for half of an
// upstream's limit; the others ask one of them before each request to that
// upstream. Issuers are chosen by the upstream among the routers that are alive, so
// that nobody has to agree on them, and a permit follows the demand, so that no
// share of the limit lies unused at a router without requests.
//
// In a window of w seconds an upstream gets at most one request for each issuer,
// and w times its limit. Routers that disagree on the issuers, because they know
// different routers, add one request and half of the limit for each further issuer.
package ratepermit

// Package quotahome divides the rate and concurrency limits of client accounts
// among the gateways that report demand for them. It runs on the home gateway
// of each account and keeps its state in memory only.
//
// The valid shares never add up to more than the limit: a new share is bounded
// by what the leases of the other gateways leave of the limit, and reaches its
// fair value when the others renew their leases. A gateway that stops reporting
// is counted with an equal share for 30 s, because it falls back to an equal
// share. A home gateway that has just started grants nothing for the duration
// of a lease, because leases granted by the previous process may still be valid.
package quotahome

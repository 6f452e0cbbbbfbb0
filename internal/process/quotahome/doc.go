// Package quotahome divides the limits of client accounts among the gateways
// that report demand for them. It runs on the account's home gateway and keeps
// soft state only.
//
// The shares in force never add up to more than the limit: a gateway's share is
// at most what the leases of the others leave, and it becomes its fair part
// when the others renew theirs. A gateway that stops reporting counts with an
// equal share for a while, because it falls back to that. A home that has just
// started grants nothing for the length of a lease, because leases of its
// predecessor may be in force.
package quotahome

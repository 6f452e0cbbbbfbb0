// Package quotaexchange carries the demand for client accounts between gateways
// over HTTP. Each account's home is the gateway with the highest hash of
// gateway and account (rendezvous hashing) in the list of gateways.
package quotaexchange

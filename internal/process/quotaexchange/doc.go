// Package quotaexchange exchanges demand for client accounts and shares of
// their limits between gateways over HTTP. Each gateway reports the demand of
// package quota to the home gateways of the accounts and applies the shares
// that they return, which package quotahome computes.
//
// The home of an account is the gateway with the highest hash of gateway and
// account (rendezvous hashing) in the list of gateways.
package quotaexchange

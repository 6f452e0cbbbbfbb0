// Package quotaexchange exchanges demand for client accounts and shares of
// their limits between gateways over HTTP. Each gateway reports the demand of
// package quota to the home gateways of the accounts and applies the shares
// that they return, which package quotahome computes.
//
// The home gateway of an account is the one with the highest hash of gateway and
// account (rendezvous hashing) in the list of gateways.
package quotaexchange

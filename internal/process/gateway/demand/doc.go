// Package demand defines the messages with which gateways divide the limits of
// client accounts. A gateway reports its demand to the account's home gateway
// (POST /v1/demand) and receives its share, which is valid for the duration of
// a lease.
package demand

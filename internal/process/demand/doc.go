// Package demand defines the messages by which gateways divide the limits of
// client accounts: a gateway reports its demand to the account's home gateway
// (POST /v1/demand) and receives its share.
package demand

// Package statedlimit holds the rate limits that upstreams state in their
// answers: the number of requests a second that an upstream accepts from all
// routers together, for as long as its answers state it. Package forwarding
// records the statements, package peers shares the limits with the other routers,
// and package ratepermit keeps all routers together within them.
package statedlimit

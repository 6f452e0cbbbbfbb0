// Package dispatch holds the policy of requests to engines whose callers compete for
// too little capacity: which services need it, how urgent a request is, and until
// when it may wait at the router. The load that it addresses has routes of two kinds
// on one service: urgent ones with a short latency target, and others that reach
// their target also if they are sent some time later. Without the policy, both kinds
// get room at engines in order of arrival, and the urgent ones are late.
//
// The policy follows from the route table alone, without network or clock. Package
// forwarding applies it.
package dispatch

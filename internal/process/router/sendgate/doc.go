// Package sendgate decides whether a request may be sent to an upstream now. It joins
// everything that restricts one: an upstream that leaves, the pause that it asks
// for, the rate limit that it states, and the rate of a cold one. Requests of callers,
// resumed runs and moves of generations all ask the same gate, so that no path can
// forget a restriction. What may change between the choice of an upstream and the first
// byte is asked again.
package sendgate

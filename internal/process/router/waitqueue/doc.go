// Package waitqueue holds the requests that wait at a router until an engine has
// room. The load that it addresses exceeds the capacity of the engines for seconds:
// requests that can wait leave room to more urgent ones, and the router bounds how
// many of them it holds.
//
// Requests of a service are in order of priority and then of arrival, and only the
// first one may look for room, so that no request overtakes a more urgent one. A
// request that is late has no reason to wait, so that the order needs no place for
// late ones. If the queue is full, the last request in order is rejected: it is the
// least urgent, and of those the one with the most time left for another try.
//
// The queue has neither network nor clock. Package forwarding uses it.
package waitqueue

// Package retrywindow bounds the requests that a router sends again to a second
// upstream after the first attempt did not succeed.
//
// All routers together stay within one bound without communicating: each router
// allows retries up to a ratio of its own requests in a sliding window, plus its
// equal share of a common slack, less a safety margin.
package retrywindow

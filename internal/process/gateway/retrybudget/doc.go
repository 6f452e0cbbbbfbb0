// Package retrybudget bounds the retries of a gateway to a fraction of its
// successful requests, so that retries cannot multiply the load on failing
// upstreams.
//
// Each success adds a tenth of a retry to the balance and each retry takes one
// from it. The balance starts at its maximum of 10 retries.
package retrybudget

// Package retrybudget bounds retries to a fraction of the successes.
package retrybudget

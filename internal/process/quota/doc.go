// Package quota limits the rate and the concurrency of client accounts at one gateway.
package quota

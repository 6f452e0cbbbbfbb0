// Package decisions keeps the recent decisions of a process about requests, so
// that operators can ask why a request went where it went.
package decisions

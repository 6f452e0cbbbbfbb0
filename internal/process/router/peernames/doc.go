// Package peernames encodes the routers that one router names to another. The addresses
// of a fleet differ little from each other, so that their differences in ascending order
// take about a byte each. Package peers sends the result.
package peernames

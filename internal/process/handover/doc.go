// Package handover keeps the order ledgers that stopping sidecars of the same
// service leave for their successors.
package handover

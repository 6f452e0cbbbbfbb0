// Package membership merges the instance list, the operators' configuration and direct
// evidence into one gateway's view of the usable instances.
package membership

// Package routing chooses the instance for an attempt by what a gateway believes about
// the instances' load.
package routing

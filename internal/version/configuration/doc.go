// Package configuration holds one version of the operators' configuration as
// the processes use it.
package configuration

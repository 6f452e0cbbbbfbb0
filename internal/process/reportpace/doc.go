// Package reportpace bounds how often a sidecar tells each gateway its load.
package reportpace

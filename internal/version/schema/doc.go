// Package schema holds the one schema of the operators' files. Checks, defaults
// and the reference page come from it.
package schema

// Package service describes a service in the operators' files: which requests
// it serves, which of them run at most once, and its limits. The methods return
// the default of a setting that is 0. Operators keep the file of a service next
// to the service's code.
package service

// Package instance describes an upstream instance as the instance list names
// it.
package instance

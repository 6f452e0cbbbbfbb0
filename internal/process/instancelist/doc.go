// Package instancelist reads the platform's instance list.
package instancelist

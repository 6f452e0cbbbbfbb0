// Package stall bounds a transfer by its progress instead of its duration, which
// depends on the size and on the link.
package stall

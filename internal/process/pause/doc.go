// Package pause provides a sleep that ends early if a context ends. Loops that
// retry or poll use it, so that they stop promptly.
package pause

// Package turnqueue lets copies over one upstream's link take turns. It answers
// the load of several routers that all move their generations away from one
// upstream within a second or two: without turns, the last small part of one
// generation waits behind the first large parts of the others.
package turnqueue

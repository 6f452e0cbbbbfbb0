// Package work defines the description of an attempt that admission control and
// fair queueing use: account, weight, sizes in tokens, priority and deadline.
package work

// Package work describes an attempt as far as admission and queueing need it.
package work

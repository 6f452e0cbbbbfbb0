// Package relocation moves running generations away from upstreams that leave.
// It answers the load of several generations that must leave one upstream over
// one link within a second or two: they take turns, each is copied while it runs
// until little is new, and only then stopped and continued elsewhere.
package relocation

// Package relocation moves running generations from upstreams that are leaving
// to other upstreams, by live migration of their memory. Several generations
// may have to leave one upstream over one link within a second or two. They are
// therefore copied one at a time: each is copied while it runs until little of
// its memory has changed since the last copy, and only then stopped and resumed
// at the target.
package relocation

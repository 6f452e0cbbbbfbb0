// Package turnqueue serialises copies over the link of one upstream: a turn is
// the exclusive right to copy over the link. Several routers may move their
// generations away from one upstream within a second or two. Without turns, the
// last small copy of one generation would wait behind the first large copies of
// the others. The reporter beside the upstream holds the queue and grants turns
// by priority.
package turnqueue

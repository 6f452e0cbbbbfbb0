// Package peers implements a gossip protocol among routers. Routers discover
// each other from a few seeds. A small number of them, the readers, follow the
// metadata store; the others long-poll the readers for changes of its items. A
// router that cannot reach the store therefore still receives changes within a
// fraction of a second. Large values travel as differences, so that a change costs
// a small link little. The same messages share the evidence of package promptblock.
package peers

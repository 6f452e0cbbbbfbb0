// Package mirror keeps a local replica of the items of the metadata store, a
// key-value store with watches. A Follower fills the Mirror from the store;
// package peers fills it from the mirrors of other routers, so that a process
// that cannot reach the store still receives changes. The newer revision of a key
// always wins, in whichever order batches arrive. Deletions while the store is
// unstable are marked as unconfirmed. Large values can be encoded for a receiver: as
// the steps from a version that it holds, or compressed.
package mirror

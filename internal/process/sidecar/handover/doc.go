// Package handover stores the ledgers of stopping sidecars until their
// successors fetch them. Each sidecar has a store for the other sidecars of its
// service. A stopping sidecar puts its closed ledger into the store of one peer,
// and the next holder of the slot takes it from there.
//
// A document can be taken once, only by the same instance or the next holder of
// the slot, and only within TTL.
package handover

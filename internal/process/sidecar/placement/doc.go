// Package placement assigns models and adapters to the slots of a service. The
// plan depends only on the published configuration, so that all processes
// derive the same plan without exchanging messages.
//
// Each slot has one model and some of the adapters. A slot is assigned the
// model with the highest hash of slot and model that still has capacity
// (rendezvous hashing with bounded load), where the capacity of a model is its
// equal share of the slots, rounded up. A slot that is added or removed
// therefore changes the model of few others. Adapters are assigned to slots in
// the same way.
package placement

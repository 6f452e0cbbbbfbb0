// Package placement assigns models and adapters to the slots of a service by the
// published configuration alone, so that all processes agree without messages.
//
// Each slot holds one model and some of the adapters. A slot takes the model
// with the highest hash of slot and model that still has room, where a model has
// room for its equal part of the slots, rounded up. A slot that comes or goes
// therefore moves few others. Adapters go to slots in the same way.
package placement

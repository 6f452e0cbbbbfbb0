// Package fleet describes what operators configure for the whole fleet: data
// centres, the weight store's rate, and policies.
package fleet

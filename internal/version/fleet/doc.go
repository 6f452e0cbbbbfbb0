// Package fleet describes the operators' settings for the whole fleet: the data
// centres and their states, the read rate of the weight store, and the policy
// that selects the mechanisms for routing, admission and retries. A data centre
// that is not listed is out of service.
package fleet

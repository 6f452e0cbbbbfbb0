// Package configuration holds one version of the operators' configuration in
// the form in which gateways and sidecars use it: the fleet, the services and
// the client accounts, with lookups by key, name, model, host and path.
// Configurations are immutable. OlderThan defines the order of versions on which
// all processes agree.
package configuration

// Package deployment starts and stops local deployments: gateways, sidecars and
// the stand-ins for the systems around them, each in a process of its own on a
// loopback address.
//
// The load tool, the demonstration and the capacity measurements use it. The file
// deployment.json of an example describes a deployment. The file processes.json in
// the run folder lists its processes, so that a later command can find and stop
// them.
package deployment

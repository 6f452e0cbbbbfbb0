// Package deployment starts and stops local deployments: gateways, sidecars and
// the stand-ins for the systems around them, each in a process of its own on a
// loopback address.
//
// The load tool, the demonstration and the capacity measurements use it. A
// deployment is described by the file deployment.json of an example and lives in
// a run folder, whose file processes.json lists the processes, so that a later
// command can find and stop them.
package deployment

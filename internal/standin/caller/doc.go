// Package caller is the client of a gateway as the demonstration and the load
// tool use it. It checks each streamed answer against the stand-in engine's
// known output.
package caller

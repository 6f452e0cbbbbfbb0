// Package reservation decides, beside one engine, which generations get room there.
// It addresses the load in which many routers choose an engine by the same report, 20 to
// 90 ms old, and fill the same room several times: 28 routers in front of 52 engines,
// of which 2 to 6 have room for a prompt.
//
// A reservation keeps the room of a prompt until the engine's own report shows it, for
// a second at most, so that the room is free again after that time if a router fails
// after a grant. Package reporter uses it.
package reservation

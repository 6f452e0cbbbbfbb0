// Package reservation decides, beside one engine, which generations get room there.
// It answers the load in which many routers choose an engine by the same report, 20 to
// 90 ms old, and fill the same room several times: 28 routers in front of 52 engines,
// of which 2 to 6 have room for a prompt.
//
// Only work that runs or is about to arrive takes up memory. A grant holds the room of
// a prompt until the engine's own report shows it, at most for a second, so that a
// router that dies takes room away only for that time. Package reporter uses it.
package reservation

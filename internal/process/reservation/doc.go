// Package reservation decides, beside one engine, which generations get room there.
// It answers the load in which many routers choose an engine by the same report and
// fill the same room several times.
package reservation

// Package engineorder is the client of an engine's control interface. It sends
// orders to load or unload a model or an adapter, or to change the engine's role.
// Only the sidecar of the engine sends orders to it.
//
// Each order carries the fencing number of the sidecar's slot, which counts the
// instances that have held the slot. An engine that checks the number refuses
// the orders of an earlier holder once it has received one of a later holder. For
// an engine that does not check it, the client reads the engine's state before it
// sends an order, so that it does not repeat an order that is already in effect,
// and reads it again afterwards, so that it detects an order without effect.
//
// The following double or late executions remain possible:
//
//   - An engine that does not check the number can receive an order of an
//     earlier holder that was paused between reading the state and sending. If
//     the order arrives after the later holder's verification, it is detected
//     only when the later holder compares the state again, and undone by a new
//     order.
//   - An order whose answer was lost may be in progress when it is sent again.
//     The engine then executes it twice. All orders state a result rather than a
//     change, so that the effect is the same; weights are read twice.
//   - Two processes of one holder, an old one that was paused and its successor
//     in the same instance, have the same number. No engine can distinguish their
//     orders.
//   - The number depends on the platform's counter: if the instance list assigns
//     the same number to two holders, their orders cannot be distinguished.
package engineorder

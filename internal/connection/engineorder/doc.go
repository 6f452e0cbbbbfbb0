// Package engineorder gives an engine control orders: to load or unload a model
// or an adapter, or to change its role. Only the sidecar beside the engine gives
// it orders.
//
// Each order carries the fencing number of the sidecar's slot, which counts the
// instances that have held the slot. An engine that checks the number refuses
// the orders of an earlier holder once it has seen one of a later holder. For an
// engine that does not check it, the state is read before an order is sent, so
// that an order whose effect holds is not sent again, and read afterwards, so
// that an order that did not take effect is noticed.
//
// The following double or late executions remain possible:
//
//   - An engine that does not check the number can be given an order by an
//     earlier holder that was paused between reading the state and sending. If
//     it comes after the later holder's verification, it is noticed only when
//     the later holder compares the state again, and undone by a new order.
//   - An order whose answer was lost may be in progress when it is sent again.
//     The engine then carries it out twice. All orders state a result rather
//     than a change, so that the effect is the same; weights are read twice.
//   - Two processes of one holder, an old one that was paused and its successor
//     in the same instance, have the same number. Their orders are not told
//     apart by any engine.
//   - A number is only as good as the platform's counter: if the instance list
//     gives two holders the same number, their orders are not told apart.
package engineorder

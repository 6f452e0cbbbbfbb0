// Package enginecontrol is the client of an engine's control interface. It sends
// control requests to load or unload a model or an adapter, or to change the
// engine's role. Only the sidecar of the engine sends control requests to it.
//
// Each control request carries the fencing number of the sidecar's slot, which
// counts the instances that have held the slot. An engine that checks the number
// refuses the control requests of an earlier holder once it has received one of a
// later holder. For an engine that does not check it, the client reads the
// engine's state before it sends a control request, so that it does not send one
// that is already in effect, and reads it again afterwards, so that it detects a
// control request without effect.
//
// The following double or late executions remain possible:
//
//   - An engine that does not check the number can receive a control request of
//     an earlier holder that was paused between reading the state and sending. If
//     it arrives after the later holder's verification, it is detected only when
//     the later holder compares the state again, and undone by a new control
//     request.
//   - A control request whose answer was lost may be in progress when it is sent
//     again. The engine then executes it twice. All control requests state a
//     result rather than a change, so that the effect is the same; weights are
//     read twice.
//   - Two processes of one holder, an earlier one that was paused and its successor
//     in the same instance, have the same number. No engine can distinguish their
//     control requests.
//   - The number depends on the platform's counter: if the instance list assigns
//     the same number to two holders, their control requests cannot be
//     distinguished.
package enginecontrol

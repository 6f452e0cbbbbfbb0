// Package explanation holds the messages with which a router explains where it would
// send a request now, and the handler that serves them. Package forwarding creates the
// answers with the code that decides on requests; the command "flamingohold route"
// shows them.
package explanation

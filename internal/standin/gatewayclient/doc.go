// Package gatewayclient is a client of the gateways for the demonstration, the
// load tool and the capacity measurements.
//
// It sends prompts, requests for plain services and requests for order keys. It
// checks the tokens of each streamed answer against the output of the stand-in
// engine, which is known in advance, and so finds lost and duplicate tokens and
// tokens of other generations.
package gatewayclient

// Package attempt defines the messages of the protocol between gateways and
// sidecars. A gateway offers a caller's request to a sidecar as an Attempt. It
// can then query the attempt's Status, revoke it and acknowledge received
// tokens. The package also names the header fields of these calls.
package attempt

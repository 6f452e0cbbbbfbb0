// Package bodyend confirms the end of a body that only the end of its connection
// delimits. The connection ends in the same way if the peer is killed, so that the body
// is complete only if the peer still accepts connections afterwards.
package bodyend

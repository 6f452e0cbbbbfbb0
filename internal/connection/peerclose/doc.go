// Package peerclose distinguishes a connection that its peer has closed from one that was
// reset.
//
// The system reports a reset to the next call only. If that is a write, the read beside it
// gets io.EOF, as if the peer had closed the connection, and a part of a body that only the
// end of the connection delimits looks complete. This happens where a peer answers before it
// has read the request, and then resets the connection or closes it with bytes unread.
//
// Clients of upstreams and of other processes read their answers from such connections.
package peerclose

// Package demonstration shows the main functions of a running deployment on the
// terminal: a streamed completion, an order that is executed once although it is
// sent twice, and the trace of a request. The program standin runs it on an
// example. It fails if the completion is incomplete or the order was not executed
// exactly once.
package demonstration

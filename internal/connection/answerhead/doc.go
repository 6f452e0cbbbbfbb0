// Package answerhead checks the heads of HTTP/1.1 answers while they are received, before
// they are parsed.
//
// The parser of the standard library takes every status of three characters that form a
// number, such as 000, and its client passes it on as the status of an answer. It also takes
// names of fields that contain blanks, and joins a line that begins with one to the field
// before it; a length in such a line is missed, and the body ends elsewhere.
//
// The clients of upstreams and of other processes use this package. A malformed head is an
// error of the connection, so that nothing of the answer is used.
package answerhead

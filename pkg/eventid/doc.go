// Package eventid defines the identifier of one server-sent event of an
// answer, with which a caller resumes the answer through any gateway.
package eventid

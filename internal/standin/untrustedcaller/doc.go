// Package untrustedcaller provides callers that try to exhaust the memory of a
// process: with headers and request lines that do not end, empty lines before a
// request, pipelined requests whose responses they do not read, and requests of
// legal size with very many header fields. Tests run them against a process and
// compare its memory and its open descriptors with fixed bounds.
package untrustedcaller

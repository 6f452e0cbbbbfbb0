// Package bytemeter counts the bytes of HTTP/1.1 requests on one connection before the
// HTTP library's parser buffers them, so that a caller that sends a header, a line or
// empty lines without end is refused after a bounded number of bytes. Package listener
// uses it.
//
// The parser decides where a header and a request end, and tells the meter. The meter
// only cuts the data into pieces after which the parser may have done so. A verdict
// does not depend on how the network splits the data.
package bytemeter

// Package instancelist reads the platform's instance list over HTTP. A Reader
// follows the list with long polls and passes each valid list to a function.
// Failed, malformed and suddenly empty responses are refused, so that the last
// valid list stays in use.
package instancelist

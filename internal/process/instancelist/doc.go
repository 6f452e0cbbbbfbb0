// Package instancelist reads the platform's instance list over HTTP. A Reader
// follows the list with long polls and delivers each valid list to its user.
// Failed, malformed and suddenly empty answers are refused, so that the last
// valid list stays in use.
package instancelist

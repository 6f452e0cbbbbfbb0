package eventid

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is returned for text that is not an event identifier.
var ErrMalformed = errors.New("malformed event identifier")

const maxBytes = 256

// ID identifies a token of a generation. The zero ID identifies none.
type ID struct {
	// Generation is "<instance>.<sidecar incarnation>.<sequence>" and contains
	// no colon.
	Generation string
	// Token is the number of the token, counted from 1.
	Token uint64
}

// Parse parses the format of String. It returns ErrMalformed for any other text
// and for text longer than 256 bytes.
func Parse(text string) (ID, error) {
	if len(text) > maxBytes {
		return ID{}, ErrMalformed
	}
	generation, number, found := strings.Cut(text, ":")
	if !found || strings.Count(generation, ".") != 2 {
		return ID{}, ErrMalformed
	}
	token, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return ID{}, ErrMalformed
	}
	i := ID{Generation: generation, Token: token}
	if i.Instance() == "" || i.Incarnation() == "" {
		return ID{}, ErrMalformed
	}
	return i, nil
}

// Instance returns the name of the instance that runs the generation.
func (i ID) Instance() string {
	instance, _, _ := strings.Cut(i.Generation, ".")
	return instance
}

// Incarnation returns the sidecar incarnation that admitted the generation.
func (i ID) Incarnation() string {
	_, rest, _ := strings.Cut(i.Generation, ".")
	incarnation, _, _ := strings.Cut(rest, ".")
	return incarnation
}

// String returns "<generation>:<token>".
func (i ID) String() string {
	return string(i.Append(nil))
}

// Append appends the format of String to the buffer and returns the extended
// buffer.
func (i ID) Append(buffer []byte) []byte {
	buffer = append(buffer, i.Generation...)
	buffer = append(buffer, ':')
	return strconv.AppendUint(buffer, i.Token, 10)
}

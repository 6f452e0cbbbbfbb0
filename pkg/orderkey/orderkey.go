package orderkey

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	mintedPrefix    = "fhk1"
	maxLength       = 255 // bytes
	millisPerSecond = 1000
)

// ErrMalformed is returned for a key that is empty, too long, or not made of
// visible ASCII characters.
var ErrMalformed = errors.New("idempotency key must be 1 to 255 visible ASCII characters")

// Key is a caller's idempotency key. A Key from Parse or Mint is valid.
type Key struct {
	text        string
	instance    string
	incarnation string
	created     time.Time
}

// Mint returns a new key that only the given sidecar incarnation accepts.
func Mint(instance, incarnation string) Key {
	text := strings.Join([]string{mintedPrefix, instance, incarnation, uuid.NewString()}, ".")
	return Key{text: text, instance: instance, incarnation: incarnation}
}

// Parse parses a key that a caller sent. It returns ErrMalformed if the text is
// not a valid key.
func Parse(text string) (Key, error) {
	if len(text) == 0 || len(text) > maxLength {
		return Key{}, ErrMalformed
	}
	for _, r := range text {
		if r <= ' ' || r > '~' {
			return Key{}, ErrMalformed
		}
	}
	k := Key{text: text}
	parts := strings.Split(text, ".")
	if len(parts) == 4 && parts[0] == mintedPrefix {
		k.instance = parts[1]
		k.incarnation = parts[2]
		return k, nil
	}
	if u, err := uuid.Parse(text); err == nil && u.Version() == 7 {
		k.created = versionSevenTime(u)
	}
	return k, nil
}

// versionSevenTime returns the creation time of a version 7 UUID, whose first 48
// bits are Unix milliseconds (RFC 9562, section 5.7).
func versionSevenTime(u uuid.UUID) time.Time {
	var millis int64
	for _, b := range u[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.Unix(millis/millisPerSecond, millis%millisPerSecond*int64(time.Millisecond))
}

// String returns the key as the caller sent it.
func (k Key) String() string { return k.text }

// Bound returns the instance and the sidecar incarnation to which a minted key
// is bound. The last result is false for keys that were not minted.
func (k Key) Bound() (instance, incarnation string, ok bool) {
	return k.instance, k.incarnation, k.instance != ""
}

// Created returns the creation time that a version 7 UUID carries, as read from
// the caller's clock. The second result is false for other keys.
func (k Key) Created() (time.Time, bool) { return k.created, !k.created.IsZero() }

// Home returns the slot that holds the records of the key, chosen by rendezvous
// hashing: removing a slot moves only the keys of that slot. It returns "" if
// there are no slots.
func (k Key) Home(slots []string) string {
	var home string
	var highestWeight uint64
	for _, slot := range slots {
		weight := xxhash.Sum64String(slot + "\x00" + k.text)
		if home == "" || weight > highestWeight || (weight == highestWeight && slot > home) {
			home, highestWeight = slot, weight
		}
	}
	return home
}

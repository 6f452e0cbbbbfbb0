package account

import (
	"crypto/sha256"
	"encoding/hex"
)

// Account is an entry of the file accounts.flamingohold.json.
type Account struct {
	// Name is unique in the bundle.
	Name string `json:"name"`
	// KeySHA256 is the hash of the account's key in lower-case hex. The key
	// itself is in no file.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the account's share in fair queueing, 0 for 1.
	Weight int `json:"weight,omitempty"`
	// RequestsPerSecond and Concurrency are limits over all gateways, 0 for
	// none.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty"`
	// Priority orders waiting work, lower first.
	Priority int `json:"priority,omitempty"`
}

// HashKey returns the hash of a client account key as KeySHA256 holds it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

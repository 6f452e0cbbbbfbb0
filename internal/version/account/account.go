package account

import (
	"crypto/sha256"
	"encoding/hex"
)

// Account is an entry of the file accounts.flamingohold.json.
type Account struct {
	// Name is unique in the bundle.
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the account's key in lower-case hex. The key
	// itself must not be in any file.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the account's weight in fair queueing, 0 for 1.
	Weight int `json:"weight,omitempty"`
	// RequestsPerSecond and Concurrency limit the rate of requests and the number
	// of running requests over all gateways, 0 for no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty"`
	// Priority is the priority of waiting requests, lower values first.
	Priority int `json:"priority,omitempty"`
}

// HashKey returns the hash of a client account's key in the form of KeySHA256.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Package account describes a client account in the operators' files: the hash
// of its key, its limits, and its weight and priority in queues. A key itself
// is never stored, only its hash.
package account

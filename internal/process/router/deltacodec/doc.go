// Package deltacodec compresses large values, alone or as the difference from an
// earlier version, with Zstandard. Routers use it to exchange the configuration.
// Each encoded value has a checksum, so that a difference that is applied to the
// wrong version is an error.
package deltacodec

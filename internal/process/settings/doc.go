// Package settings reads and validates the settings of a gateway or sidecar:
// its name, addresses, data centre, limits and the file with the secret shared
// by all processes. A process needs them before it can fetch the operators'
// configuration. The commands gateway and sidecar read them from a JSON
// file; environment variables override the file, and flags override both.
package settings

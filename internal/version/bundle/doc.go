// Package bundle encodes a configuration into a manifest and content-addressed
// chunks, and decodes it again.
package bundle

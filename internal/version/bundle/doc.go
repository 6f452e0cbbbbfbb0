// Package bundle encodes a configuration into a manifest and content-addressed
// chunks, and decodes them again. The collect command encodes a bundle, and each
// process decodes it before adoption. Equal content results in equal chunks, so
// a process reads only the chunks that a change affects.
package bundle

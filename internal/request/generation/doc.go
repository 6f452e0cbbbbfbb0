// Package generation keeps the tokens of one generation until the caller has
// them, so that a cut connection costs no token and repeats none.
package generation

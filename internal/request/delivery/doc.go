// Package delivery tracks which tokens of one generation were delivered to a
// caller. It decides for each frame whether to deliver it, and reports gaps and
// frames of other generations, so that the caller receives the tokens 1, 2, 3, ...
// exactly once although links duplicate, reorder and lose frames.
package delivery

// Package answer tracks the position of one caller's answer in the token stream
// of one generation. It decides for each frame whether to deliver it, and reports
// gaps and frames of other generations, so that the caller receives the tokens
// 1, 2, 3, ... exactly once although links repeat, reorder and lose frames.
package answer

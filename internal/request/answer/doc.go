// Package answer assembles one generation's tokens for one caller. It decides
// which frames to deliver, whatever order, repetition or loss the links cause.
package answer
